#include <rosemarytrail/state/internal/codec.hpp>
#include <rosemarytrail/state/record.hpp>

#include <exception>

namespace rosemarytrail::state {

namespace {

using internal::to_string;

member_joined read_record(schema::MemberJoined::Reader in)
{
    return {.member = incarnation_id{to_string(in.getMember())},
            .peer_address = to_string(in.getPeerAddress()),
            .api_address = to_string(in.getApiAddress()),
            .region = to_string(in.getRegion()),
            .zone = zone_id{to_string(in.getZone())},
            .partitions = in.getPartitions()};
}

member_left read_record(schema::MemberLeft::Reader in)
{
    return {.member = incarnation_id{to_string(in.getMember())}};
}

document_published read_record(schema::DocumentPublished::Reader in)
{
    return {.name = to_string(in.getName()),
            .replaces = in.getReplaces(),
            .content = to_string(in.getContent())};
}

partition_claimed read_record(schema::PartitionClaimed::Reader in)
{
    return {.partition = in.getPartition(), .replaces = in.getReplaces()};
}

partition_settled read_record(schema::PartitionSettled::Reader in)
{
    return {.partition = in.getPartition(), .epoch = in.getEpoch()};
}

vm_assigned read_record(schema::VmAssigned::Reader in)
{
    return {.vm = vm_id{to_string(in.getVm())},
            .partition = in.getPartition(),
            .capacity = internal::read(in.getCapacity())};
}

vm_handed_over read_record(schema::VmHandedOver::Reader in)
{
    return {.vm = vm_id{to_string(in.getVm())},
            .from = in.getFrom(),
            .epoch = in.getEpoch(),
            .to = in.getTo()};
}

allowance_handed_over read_record(schema::AllowanceHandedOver::Reader in)
{
    return {.team = team_id{to_string(in.getTeam())},
            .from = in.getFrom(),
            .epoch = in.getEpoch(),
            .to = in.getTo(),
            .amount = internal::read(in.getAmount())};
}

job_accepted read_record(schema::JobAccepted::Reader in)
{
    return {.job = job_id{to_string(in.getJob())},
            .team = team_id{to_string(in.getTeam())},
            .partition = in.getPartition(),
            .document = to_string(in.getDocument()),
            .submission = to_string(in.getSubmission())};
}

job_handed_over read_record(schema::JobHandedOver::Reader in)
{
    return {.job = job_id{to_string(in.getJob())},
            .from = in.getFrom(),
            .epoch = in.getEpoch(),
            .to = in.getTo()};
}

job_cancelled read_record(schema::JobCancelled::Reader in)
{
    return {.job = job_id{to_string(in.getJob())}};
}

tasks_finished read_record(schema::TasksFinished::Reader in)
{
    tasks_finished value{
        .partition = in.getPartition(), .epoch = in.getEpoch(), .tasks = {}};
    for (const auto it : in.getTasks()) {
        value.tasks.push_back({.task = {.job = job_id{to_string(it.getJob())},
                                        .index = it.getIndex()},
                               .attempt = it.getAttempt(),
                               .code = static_cast<result_code>(it.getCode())});
    }
    return value;
}

job_rejected read_record(schema::JobRejected::Reader in)
{
    return {.job = job_id{to_string(in.getJob())},
            .partition = in.getPartition(),
            .epoch = in.getEpoch(),
            .code = static_cast<result_code>(in.getCode())};
}

vm_declared_lost read_record(schema::VmDeclaredLost::Reader in)
{
    return {.vm = vm_id{to_string(in.getVm())}};
}

intent_opened read_record(schema::IntentOpened::Reader in)
{
    return {.team = team_id{to_string(in.getTeam())},
            .service = service_id{to_string(in.getService())},
            .key = to_string(in.getKey()),
            .fingerprint = in.getFingerprint()};
}

intent_closed read_record(schema::IntentClosed::Reader in)
{
    const auto body = in.getBody().asChars();
    return {.team = team_id{to_string(in.getTeam())},
            .service = service_id{to_string(in.getService())},
            .key = to_string(in.getKey()),
            .ran = in.getRan(),
            .answered = in.getAnswered(),
            .status = in.getStatus(),
            .content_type = to_string(in.getContentType()),
            .body = std::string{body.begin(), body.size()}};
}

/** @brief Reads a record; returns nothing if its kind is unknown. */
std::optional<record> read_any(schema::Record::Reader in)
{
    using schema::Record;
    switch (in.which()) {
    case Record::NONE:
        return std::nullopt;
    case Record::MEMBER_JOINED:
        return read_record(in.getMemberJoined());
    case Record::MEMBER_LEFT:
        return read_record(in.getMemberLeft());
    case Record::DOCUMENT_PUBLISHED:
        return read_record(in.getDocumentPublished());
    case Record::PARTITION_CLAIMED:
        return read_record(in.getPartitionClaimed());
    case Record::VM_ASSIGNED:
        return read_record(in.getVmAssigned());
    case Record::VM_HANDED_OVER:
        return read_record(in.getVmHandedOver());
    case Record::ALLOWANCE_HANDED_OVER:
        return read_record(in.getAllowanceHandedOver());
    case Record::JOB_ACCEPTED:
        return read_record(in.getJobAccepted());
    case Record::JOB_HANDED_OVER:
        return read_record(in.getJobHandedOver());
    case Record::JOB_CANCELLED:
        return read_record(in.getJobCancelled());
    case Record::TASKS_FINISHED:
        return read_record(in.getTasksFinished());
    case Record::JOB_REJECTED:
        return read_record(in.getJobRejected());
    case Record::VM_DECLARED_LOST:
        return read_record(in.getVmDeclaredLost());
    case Record::INTENT_OPENED:
        return read_record(in.getIntentOpened());
    case Record::INTENT_CLOSED:
        return read_record(in.getIntentClosed());
    case Record::PARTITION_SETTLED:
        return read_record(in.getPartitionSettled());
    }
    return std::nullopt;
}

/** @brief Reads the records of known kinds and their indices. */
void read_records(schema::Batch::Reader in, batch& out, std::uint64_t& unknown)
{
    const auto records = in.getRecords();
    const bool readable = in.getVersion() == internal::schema_version;
    for (unsigned i = 0; i < records.size(); ++i) {
        std::optional<record> it;
        if (readable) {
            it = read_any(records[i]);
        }
        if (!it) {
            ++unknown;
            continue;
        }
        out.records.push_back(std::move(*it));
        out.indices.push_back(i);
    }
    if (out.records.size() == records.size()) {
        out.indices.clear();
    }
}

std::optional<batch> read_batch(const kj::Array<capnp::word>& words,
                                std::uint64_t& unknown)
{
    capnp::FlatArrayMessageReader reader{
        words, internal::reader_options(words.size())};
    const auto in = reader.getRoot<schema::Batch>();
    if (in.getVersion() == 0 || in.getSequence() == 0 ||
        in.getWriter().size() == 0 ||
        in.getRecords().size() > records_per_batch) {
        return std::nullopt;
    }
    batch out{.writer = incarnation_id{to_string(in.getWriter())},
              .sequence = in.getSequence()};
    std::uint64_t skipped = 0;
    read_records(in, out, skipped);
    unknown += skipped;
    return out;
}

} // namespace

std::optional<batch> decode(std::string_view bytes, std::uint64_t& unknown,
                            reason& why)
{
    // Cap'n Proto reports malformed messages with exceptions. Their text is not
    // requested, because formatting it may spawn a symbolizer process.
    try {
        const auto words = internal::decode_message(bytes);
        auto out = words ? read_batch(*words, unknown) : std::nullopt;
        if (out) {
            return out;
        }
    } catch (const kj::Exception&) {  // NOLINT(bugprone-empty-catch)
    } catch (const std::exception&) { // NOLINT(bugprone-empty-catch)
    }
    why = {.code = result_code::record_torn,
           .detail = "entry of " + std::to_string(bytes.size()) +
                     " bytes cannot be read"};
    return std::nullopt;
}

} // namespace rosemarytrail::state
