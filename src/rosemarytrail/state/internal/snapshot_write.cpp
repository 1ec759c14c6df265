#include <rosemarytrail/state/generated/snapshot.capnp.h>
#include <rosemarytrail/state/internal/cell_data.hpp>
#include <rosemarytrail/state/internal/codec.hpp>

namespace rosemarytrail::state::internal {

namespace {

template <typename Container>
unsigned count(const Container& values)
{
    return static_cast<unsigned>(values.size());
}

void write_members(schema::Snapshot::Builder out, const cell_data& data)
{
    auto list = out.initMembers(count(data.members));
    unsigned i = 0;
    for (const auto& it : data.members) {
        auto member = list[i++];
        member.setJoined(it.second.joined);
        auto details = member.initDetails();
        details.setMember(to_text(it.second.member.str()));
        details.setPeerAddress(to_text(it.second.peer_address));
        details.setApiAddress(to_text(it.second.api_address));
        details.setRegion(to_text(it.second.region));
        details.setZone(to_text(it.second.zone.str()));
    }
}

template <typename Changes>
void write_changes(capnp::List<schema::MemberChange>::Builder list,
                   const Changes& changes)
{
    unsigned i = 0;
    for (const member_change& it : changes) {
        auto change = list[i++];
        change.setNumber(it.number);
        change.setMember(to_text(it.member.str()));
        change.setRegion(to_text(it.region));
        change.setKind(static_cast<std::uint8_t>(it.kind));
    }
}

void write_partitions(schema::Snapshot::Builder out, const cell_data& data)
{
    auto list = out.initPartitions(count(data.partitions));
    unsigned i = 0;
    for (const partition_state& it : data.partitions) {
        auto partition = list[i++];
        partition.setHolder(to_text(it.holder.str()));
        partition.setEpoch(it.epoch);
        partition.setSettled(it.settled);
        partition.setFormerLost(it.previous_holders_truncated);
        auto previous = partition.initFormer(count(it.previous_holders));
        unsigned k = 0;
        for (const previous_holder& holder : it.previous_holders) {
            previous[k].setHolder(to_text(holder.holder.str()));
            previous[k].setEpoch(holder.epoch);
            ++k;
        }
    }
}

void write_vms(schema::Snapshot::Builder out, const cell_data& data)
{
    auto list = out.initVms(count(data.vms));
    unsigned i = 0;
    for (const auto& it : data.vms) {
        auto vm = list[i++];
        vm.setVm(to_text(it.first.str()));
        vm.setPartition(it.second.partition);
        vm.setAssigned(it.second.assigned);
        vm.setLost(it.second.lost);
        write(vm.initCapacity(), it.second.capacity);
    }
}

void write_documents(schema::Snapshot::Builder out, const cell_data& data)
{
    auto list = out.initDocuments(count(data.documents));
    unsigned i = 0;
    for (const auto& it : data.documents) {
        auto document = list[i++];
        document.setName(to_text(it.first));
        document.setContent(to_text(it.second.content));
        document.setRevision(it.second.revision);
    }
}

void write_allowances(schema::Snapshot::Builder out, const cell_data& data)
{
    auto list = out.initAllowances(count(data.allowances));
    unsigned i = 0;
    for (const auto& it : data.allowances) {
        auto team = list[i++];
        team.setTeam(to_text(it.first.str()));
        auto parts = team.initParts(count(it.second));
        unsigned k = 0;
        for (const resources& part : it.second) {
            write(parts[k++], part);
        }
    }
}

void write_withdrawn(schema::Snapshot::Builder out, const cell_data& data)
{
    auto list = out.initWithdrawn(count(data.withdrawn));
    unsigned i = 0;
    for (const auto& it : data.withdrawn) {
        auto key = list[i++];
        key.setKey(to_text(it.first.str()));
        auto hashes = key.initHashes(count(it.second));
        unsigned k = 0;
        for (const std::string& hash : it.second) {
            hashes.set(k++, to_text(hash));
        }
    }
}

void write_spec(schema::JobSpec::Builder out, const job_spec& value)
{
    out.setName(to_text(value.name));
    out.setTeam(to_text(value.team.str()));
    out.setPolicy(static_cast<std::uint8_t>(value.policy));
    out.setService(to_text(value.service.str()));
    out.setTasks(value.tasks);
    write(out.initRequest(), value.request);
    out.setRunTimeUs(value.run_time.count());
    out.setUrgent(value.urgent);
    out.setPriority(value.priority);
    out.setMaxAttempts(value.max_attempts);
    out.setCheckpointable(value.checkpointable);
}

void write_job(schema::Job::Builder out, const job_table::entry& value)
{
    const job_state& state = value.state;
    out.setJob(to_text(state.job.str()));
    write_spec(out.initSpec(), state.spec);
    out.setSubmission(to_text(value.submission));
    out.setPartition(state.partition);
    out.setAccepted(state.accepted);
    out.setPhase(static_cast<std::uint8_t>(state.phase));
    out.setCode(static_cast<std::uint16_t>(state.code));
    auto outcomes = out.initFinished(count(state.finished));
    unsigned i = 0;
    for (const auto& it : state.finished) {
        outcomes[i].setIndex(it.first);
        outcomes[i].setCode(static_cast<std::uint16_t>(it.second));
        ++i;
    }
}

void write_jobs(schema::Snapshot::Builder out, const cell_data& data)
{
    auto list = out.initJobs(count(data.jobs));
    unsigned i = 0;
    data.jobs.for_each(
        [&](const job_table::entry& it) { write_job(list[i++], it); });
}

void write_writers(schema::Snapshot::Builder out, const cell_data& data)
{
    auto list = out.initWriters(count(data.writers.all()));
    unsigned i = 0;
    for (const auto& it : data.writers.all()) {
        auto writer = list[i++];
        writer.setWriter(to_text(it.first.str()));
        writer.setSequence(it.second.sequence);
        writer.setOffset(it.second.offset);
    }
}

void write_skipped_records(schema::Snapshot::Builder out, const cell_data& data)
{
    auto list = out.initPassedOver(count(data.skipped_records));
    unsigned i = 0;
    for (const auto& it : data.skipped_records) {
        list[i].setCode(static_cast<std::uint16_t>(it.first));
        list[i].setCount(it.second);
        ++i;
    }
}

} // namespace

std::string write_snapshot(const cell_data& data)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::Snapshot>();
    out.setVersion(schema_version);
    out.setNextOffset(data.next_offset);
    write_members(out, data);
    const member_history& history = data.history;
    write_changes(out.initHistoryBase(count(history.base)), history.base);
    write_changes(out.initHistory(count(history.changes)), history.changes);
    out.setHistoryDropped(history.last_compacted);
    write_partitions(out, data);
    write_vms(out, data);
    write_documents(out, data);
    write_allowances(out, data);
    write_withdrawn(out, data);
    write_jobs(out, data);
    write_writers(out, data);
    write_skipped_records(out, data);
    return encode_message(message);
}

} // namespace rosemarytrail::state::internal
