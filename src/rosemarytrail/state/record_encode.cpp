#include <rosemarytrail/state/internal/codec.hpp>
#include <rosemarytrail/state/record.hpp>

#include <algorithm>

namespace rosemarytrail::state {

namespace {

using internal::to_text;

/** @brief Fixed size of the largest record kind, including pointers. */
constexpr std::size_t fixed_bytes = 96;
/** @brief Upper bound of a text's terminator and padding. */
constexpr std::size_t text_padding = 8;

/** @brief Writes a record of any kind into its schema type. */
struct record_writer
{
    schema::Record::Builder out;

    void operator()(const member_joined& value)
    {
        auto it = out.initMemberJoined();
        it.setMember(to_text(value.member.str()));
        it.setPeerAddress(to_text(value.peer_address));
        it.setApiAddress(to_text(value.api_address));
        it.setRegion(to_text(value.region));
        it.setZone(to_text(value.zone.str()));
        it.setPartitions(value.partitions);
    }

    void operator()(const member_left& value)
    {
        out.initMemberLeft().setMember(to_text(value.member.str()));
    }

    void operator()(const document_published& value)
    {
        auto it = out.initDocumentPublished();
        it.setName(to_text(value.name));
        it.setReplaces(value.replaces);
        it.setContent(to_text(value.content));
    }

    void operator()(const partition_claimed& value)
    {
        auto it = out.initPartitionClaimed();
        it.setPartition(value.partition);
        it.setReplaces(value.replaces);
    }

    void operator()(const partition_settled& value)
    {
        auto it = out.initPartitionSettled();
        it.setPartition(value.partition);
        it.setEpoch(value.epoch);
    }

    void operator()(const vm_assigned& value)
    {
        auto it = out.initVmAssigned();
        it.setVm(to_text(value.vm.str()));
        it.setPartition(value.partition);
        internal::write(it.initCapacity(), value.capacity);
    }

    void operator()(const vm_handed_over& value)
    {
        auto it = out.initVmHandedOver();
        it.setVm(to_text(value.vm.str()));
        it.setFrom(value.from);
        it.setEpoch(value.epoch);
        it.setTo(value.to);
    }

    void operator()(const allowance_handed_over& value)
    {
        auto it = out.initAllowanceHandedOver();
        it.setTeam(to_text(value.team.str()));
        it.setFrom(value.from);
        it.setEpoch(value.epoch);
        it.setTo(value.to);
        internal::write(it.initAmount(), value.amount);
    }

    void operator()(const job_accepted& value)
    {
        auto it = out.initJobAccepted();
        it.setJob(to_text(value.job.str()));
        it.setTeam(to_text(value.team.str()));
        it.setPartition(value.partition);
        it.setDocument(to_text(value.document));
        it.setSubmission(to_text(value.submission));
    }

    void operator()(const job_handed_over& value)
    {
        auto it = out.initJobHandedOver();
        it.setJob(to_text(value.job.str()));
        it.setFrom(value.from);
        it.setEpoch(value.epoch);
        it.setTo(value.to);
    }

    void operator()(const job_cancelled& value)
    {
        out.initJobCancelled().setJob(to_text(value.job.str()));
    }

    void operator()(const tasks_finished& value)
    {
        auto it = out.initTasksFinished();
        it.setPartition(value.partition);
        it.setEpoch(value.epoch);
        const auto n = static_cast<unsigned>(value.tasks.size());
        auto tasks = it.initTasks(n);
        for (unsigned i = 0; i < n; ++i) {
            const task_finished& task = value.tasks[i];
            tasks[i].setJob(to_text(task.task.job.str()));
            tasks[i].setIndex(task.task.index);
            tasks[i].setAttempt(task.attempt);
            tasks[i].setCode(static_cast<std::uint16_t>(task.code));
        }
    }

    void operator()(const job_rejected& value)
    {
        auto it = out.initJobRejected();
        it.setJob(to_text(value.job.str()));
        it.setPartition(value.partition);
        it.setEpoch(value.epoch);
        it.setCode(static_cast<std::uint16_t>(value.code));
    }

    void operator()(const vm_declared_lost& value)
    {
        out.initVmDeclaredLost().setVm(to_text(value.vm.str()));
    }

    void operator()(const intent_opened& value)
    {
        auto it = out.initIntentOpened();
        it.setTeam(to_text(value.team.str()));
        it.setService(to_text(value.service.str()));
        it.setKey(to_text(value.key));
        it.setFingerprint(value.fingerprint);
    }

    void operator()(const intent_closed& value)
    {
        auto it = out.initIntentClosed();
        it.setTeam(to_text(value.team.str()));
        it.setService(to_text(value.service.str()));
        it.setKey(to_text(value.key));
        it.setRan(value.ran);
        it.setAnswered(value.answered);
        it.setStatus(value.status);
        it.setContentType(to_text(value.content_type));
        const auto* data =
            reinterpret_cast<const capnp::byte*>(value.body.data());
        it.setBody(capnp::Data::Reader(data, value.body.size()));
    }
};

/** @brief Computes the size of the variable-length fields of a record. */
struct record_size_visitor
{
    template <typename... Text>
    static std::size_t texts(const Text&... values) noexcept
    {
        return (std::size_t{0} + ... + (values.size() + text_padding));
    }

    std::size_t operator()(const member_joined& it) const noexcept
    {
        return texts(it.member.str(), it.peer_address, it.api_address,
                     it.region, it.zone.str());
    }
    std::size_t operator()(const member_left& it) const noexcept
    {
        return texts(it.member.str());
    }
    std::size_t operator()(const document_published& it) const noexcept
    {
        return texts(it.name, it.content);
    }
    std::size_t operator()(const partition_claimed& /*it*/) const noexcept
    {
        return 0;
    }
    std::size_t operator()(const partition_settled& /*it*/) const noexcept
    {
        return 0;
    }
    std::size_t operator()(const vm_assigned& it) const noexcept
    {
        return texts(it.vm.str());
    }
    std::size_t operator()(const vm_handed_over& it) const noexcept
    {
        return texts(it.vm.str());
    }
    std::size_t operator()(const allowance_handed_over& it) const noexcept
    {
        return texts(it.team.str());
    }
    std::size_t operator()(const job_accepted& it) const noexcept
    {
        return texts(it.job.str(), it.team.str(), it.document, it.submission);
    }
    std::size_t operator()(const job_handed_over& it) const noexcept
    {
        return texts(it.job.str());
    }
    std::size_t operator()(const job_cancelled& it) const noexcept
    {
        return texts(it.job.str());
    }
    std::size_t operator()(const tasks_finished& it) const noexcept
    {
        std::size_t sum = 0;
        for (const task_finished& task : it.tasks) {
            sum += texts(task.task.job.str()) + 4 * sizeof(capnp::word);
        }
        return sum;
    }
    std::size_t operator()(const job_rejected& it) const noexcept
    {
        return texts(it.job.str());
    }
    std::size_t operator()(const vm_declared_lost& it) const noexcept
    {
        return texts(it.vm.str());
    }
    std::size_t operator()(const intent_opened& it) const noexcept
    {
        return texts(it.team.str(), it.service.str(), it.key);
    }
    std::size_t operator()(const intent_closed& it) const noexcept
    {
        return texts(it.team.str(), it.service.str(), it.key, it.content_type,
                     it.body);
    }
};

} // namespace

std::size_t encoded_size(const record& value) noexcept
{
    return fixed_bytes + std::visit(record_size_visitor{}, value);
}

std::string encode(const batch& value)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::Batch>();
    out.setVersion(internal::schema_version);
    out.setWriter(to_text(value.writer.str()));
    out.setSequence(value.sequence);
    const auto n = static_cast<unsigned>(
        std::min<std::size_t>(value.records.size(), records_per_batch));
    auto records = out.initRecords(n);
    for (unsigned i = 0; i < n; ++i) {
        std::visit(record_writer{records[i]}, value.records[i]);
    }
    return internal::encode_message(message);
}

} // namespace rosemarytrail::state
