#include <rosemarytrail/documents/document.hpp>
#include <rosemarytrail/state/generated/snapshot.capnp.h>
#include <rosemarytrail/state/internal/cell_data.hpp>
#include <rosemarytrail/state/internal/codec.hpp>

#include <exception>
#include <variant>

namespace rosemarytrail::state::internal {

namespace {

void read_members(schema::Snapshot::Reader in, cell_data& data)
{
    for (const auto it : in.getMembers()) {
        const auto details = it.getDetails();
        member_state member{.member =
                                incarnation_id{to_string(details.getMember())},
                            .peer_address = to_string(details.getPeerAddress()),
                            .api_address = to_string(details.getApiAddress()),
                            .region = to_string(details.getRegion()),
                            .zone = zone_id{to_string(details.getZone())},
                            .joined = it.getJoined()};
        data.members.emplace(member.member, member);
    }
}

template <typename Changes>
void read_changes(capnp::List<schema::MemberChange>::Reader in, Changes& out)
{
    for (const auto it : in) {
        out.push_back({.number = it.getNumber(),
                       .member = incarnation_id{to_string(it.getMember())},
                       .region = to_string(it.getRegion()),
                       .kind = static_cast<change_kind>(it.getKind())});
    }
}

void read_partitions(schema::Snapshot::Reader in, cell_data& data)
{
    const auto list = in.getPartitions();
    data.partitions.resize(list.size());
    data.jobs.set_partitions(list.size());
    for (unsigned i = 0; i < list.size(); ++i) {
        data.partitions[i] = {
            .holder = incarnation_id{to_string(list[i].getHolder())},
            .epoch = list[i].getEpoch(),
            .settled = list[i].getSettled(),
            .previous_holders_truncated = list[i].getFormerLost()};
        for (const auto it : list[i].getFormer()) {
            data.partitions[i].previous_holders.push_back(
                {.holder = incarnation_id{to_string(it.getHolder())},
                 .epoch = it.getEpoch()});
        }
    }
}

bool read_vms(schema::Snapshot::Reader in, cell_data& data)
{
    for (const auto it : in.getVms()) {
        if (it.getPartition() >= data.partitions.size()) {
            return false;
        }
        data.vms.emplace(vm_id{to_string(it.getVm())},
                         vm_state{.partition = it.getPartition(),
                                  .assigned = it.getAssigned(),
                                  .capacity = read(it.getCapacity()),
                                  .lost = it.getLost()});
    }
    return true;
}

bool read_documents(schema::Snapshot::Reader in, cell_data& data)
{
    for (const auto it : in.getDocuments()) {
        document_state document{.content = to_string(it.getContent()),
                                .revision = it.getRevision()};
        reason why;
        const auto parsed = documents::parse_published(document.content, why);
        if (!parsed) {
            return false;
        }
        if (const auto* team = std::get_if<team_spec>(&*parsed)) {
            data.teams[team->team] = *team;
        } else if (const auto* key = std::get_if<key_spec>(&*parsed)) {
            data.keys[key->key] = *key;
        }
        data.documents.emplace(to_string(it.getName()), std::move(document));
    }
    return true;
}

bool read_allowances(schema::Snapshot::Reader in, cell_data& data)
{
    for (const auto it : in.getAllowances()) {
        const auto parts = it.getParts();
        if (parts.size() != data.partitions.size()) {
            return false;
        }
        auto& allowances = data.allowances[team_id{to_string(it.getTeam())}];
        for (const auto part : parts) {
            allowances.push_back(read(part));
        }
    }
    return true;
}

void read_withdrawn(schema::Snapshot::Reader in, cell_data& data)
{
    for (const auto it : in.getWithdrawn()) {
        auto& hashes = data.withdrawn[key_id{to_string(it.getKey())}];
        for (const auto hash : it.getHashes()) {
            hashes.insert(to_string(hash));
        }
    }
}

job_spec read_spec(schema::JobSpec::Reader in)
{
    return {.name = to_string(in.getName()),
            .team = team_id{to_string(in.getTeam())},
            .policy = static_cast<job_class>(in.getPolicy()),
            .service = service_id{to_string(in.getService())},
            .tasks = in.getTasks(),
            .request = read(in.getRequest()),
            .run_time = duration{in.getRunTimeUs()},
            .urgent = in.getUrgent(),
            .priority = in.getPriority(),
            .max_attempts = in.getMaxAttempts(),
            .checkpointable = in.getCheckpointable()};
}

bool read_jobs(schema::Snapshot::Reader in, cell_data& data)
{
    for (const auto it : in.getJobs()) {
        if (it.getPartition() >= data.partitions.size()) {
            return false;
        }
        job_state state{.job = job_id{to_string(it.getJob())},
                        .spec = read_spec(it.getSpec()),
                        .partition = it.getPartition(),
                        .accepted = it.getAccepted(),
                        .phase = static_cast<job_phase>(it.getPhase()),
                        .code = static_cast<result_code>(it.getCode())};
        for (const auto outcome : it.getFinished()) {
            state.finished.emplace_hint(
                state.finished.end(), outcome.getIndex(),
                static_cast<result_code>(outcome.getCode()));
        }
        data.jobs.restore({.state = std::move(state),
                           .submission = to_string(it.getSubmission())});
    }
    return true;
}

void read_counts(schema::Snapshot::Reader in, cell_data& data)
{
    for (const auto it : in.getWriters()) {
        data.writers.set(
            incarnation_id{to_string(it.getWriter())},
            {.sequence = it.getSequence(), .offset = it.getOffset()});
    }
    for (const auto it : in.getPassedOver()) {
        data.skipped_records[static_cast<result_code>(it.getCode())] =
            it.getCount();
    }
}

std::optional<cell_data> read_all(const kj::Array<capnp::word>& words)
{
    capnp::FlatArrayMessageReader reader{words, reader_options(words.size())};
    const auto in = reader.getRoot<schema::Snapshot>();
    if (in.getVersion() != schema_version) {
        return std::nullopt;
    }
    cell_data data;
    data.next_offset = in.getNextOffset();
    read_members(in, data);
    read_changes(in.getHistoryBase(), data.history.base);
    read_changes(in.getHistory(), data.history.changes);
    data.history.last_compacted = in.getHistoryDropped();
    read_partitions(in, data);
    read_withdrawn(in, data);
    read_counts(in, data);
    if (!read_vms(in, data) || !read_documents(in, data) ||
        !read_allowances(in, data) || !read_jobs(in, data)) {
        return std::nullopt;
    }
    return data;
}

} // namespace

std::optional<cell_data> read_snapshot(std::string_view bytes, reason& why)
{
    try {
        const auto words = decode_message(bytes);
        auto data = words ? read_all(*words) : std::nullopt;
        if (data) {
            return data;
        }
    } catch (const kj::Exception&) {  // NOLINT(bugprone-empty-catch)
    } catch (const std::exception&) { // NOLINT(bugprone-empty-catch)
    }
    why = {.code = result_code::record_torn,
           .detail = "snapshot of " + std::to_string(bytes.size()) +
                     " bytes cannot be read"};
    return std::nullopt;
}

} // namespace rosemarytrail::state::internal
