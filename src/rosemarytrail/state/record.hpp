#ifndef ROSEMARYTRAIL_STATE_RECORD_HPP
#define ROSEMARYTRAIL_STATE_RECORD_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/resources.hpp>
#include <rosemarytrail/core/result_code.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rosemarytrail::state {

/** @brief A daemon joins the cell. */
struct member_joined
{
    incarnation_id member{};
    /** @brief Address of the peer RPC interface, `ip:port`. */
    std::string peer_address;
    /** @brief Address of the HTTP interface, `ip:port`. */
    std::string api_address;
    std::string region;
    zone_id zone{};
    /**
     * @brief Number of partitions; the record is void unless it equals that of
     * the first member.
     */
    std::uint32_t partitions{};
};

/** @brief A daemon leaves, or the writer removes it. */
struct member_left
{
    incarnation_id member{};
};

/** @brief An operator publishes a document. */
struct document_published
{
    /** @brief Name, such as `team/salmon` or `key/k1`. */
    std::string name;
    /** @brief Revision that is replaced; zero for a new document. */
    record_number replaces{};
    /** @brief JSON document, validated by the fold. */
    std::string content;
};

/** @brief The writer claims a partition; the record number is the epoch. */
struct partition_claimed
{
    partition_id partition{};
    /** @brief Epoch that is replaced; zero if never claimed. */
    record_number replaces{};
};

/** @brief A VM is assigned to its first partition. */
struct vm_assigned
{
    vm_id vm{};
    partition_id partition{};
    resources capacity{};
};

/** @brief The holder of a partition transfers a VM to another one. */
struct vm_handed_over
{
    vm_id vm{};
    partition_id from{};
    /** @brief Epoch of the partition `from`. */
    record_number epoch{};
    partition_id to{};
};

/** @brief The holder of a partition transfers allowance to another one. */
struct allowance_handed_over
{
    team_id team{};
    partition_id from{};
    record_number epoch{};
    partition_id to{};
    resources amount{};
};

/** @brief A job is accepted into a partition. */
struct job_accepted
{
    job_id job{};
    team_id team{};
    partition_id partition{};
    /** @brief JSON document, validated on submission and by the fold. */
    std::string document;
    /**
     * @brief Submission id chosen by the caller; a repeated id of a team makes
     * the record void.
     */
    std::string submission;
};

/** @brief The holder of a partition transfers a queued job to another one. */
struct job_handed_over
{
    job_id job{};
    partition_id from{};
    record_number epoch{};
    partition_id to{};
};

/** @brief A job is cancelled. */
struct job_cancelled
{
    job_id job{};
};

/** @brief Final result of a task. */
struct task_finished
{
    task_ref task{};
    std::uint32_t attempt{};
    /** @brief `ok`, `task_failed`, or why the task is not retried. */
    result_code code{result_code::ok};
};

/** @brief Tasks of a partition ended; written by the holder. */
struct tasks_finished
{
    partition_id partition{};
    record_number epoch{};
    std::vector<task_finished> tasks;
};

/** @brief A job is rejected as a whole, such as one that never fits. */
struct job_rejected
{
    job_id job{};
    partition_id partition{};
    record_number epoch{};
    result_code code{result_code::ok};
};

/** @brief An operator declares that nothing runs on a VM any longer. */
struct vm_declared_lost
{
    vm_id vm{};
};

/** @brief The writer will run a request at most once; stream `intents`. */
struct intent_opened
{
    team_id team{};
    service_id service{};
    /** @brief Idempotency key chosen by the caller. */
    std::string key;
    /** @brief Hash of method, path and body. */
    std::uint64_t fingerprint{};
};

/** @brief The writer reports how a request ended; stream `intents`. */
struct intent_closed
{
    team_id team{};
    service_id service{};
    std::string key;
    /** @brief False if the request certainly did not run; frees the key. */
    bool ran{true};
    /** @brief False if the request ran but its response is unknown. */
    bool answered{true};
    /** @brief Response status, returned if the request is repeated. */
    std::uint32_t status{};
    std::string content_type;
    /** @brief Response body. */
    std::string body;
};

/** @brief The writer has completed the takeover of a partition. */
struct partition_settled
{
    partition_id partition{};
    record_number epoch{};
};

/** @brief Record of any kind. */
using record =
    std::variant<member_joined, member_left, document_published,
                 partition_claimed, vm_assigned, vm_handed_over,
                 allowance_handed_over, job_accepted, job_handed_over,
                 job_cancelled, tasks_finished, job_rejected, vm_declared_lost,
                 intent_opened, intent_closed, partition_settled>;

/** @brief Records that a process appends as one log entry. */
struct batch
{
    incarnation_id writer{};
    /** @brief Incremented for each batch of the writer, starting at one. */
    std::uint64_t sequence{};
    std::vector<record> records;
    /**
     * @brief Index of each record in the log entry. Set only by `decode`, and
     * only if it skipped records; otherwise the index is that in `records`.
     */
    std::vector<std::uint32_t> indices;
};

/**
 * @brief Estimates how many bytes a record adds to an entry.
 * @param value Record to measure.
 * @return Upper bound in bytes.
 */
[[nodiscard]] std::size_t encoded_size(const record& value) noexcept;

/**
 * @brief Encodes a batch with Cap'n Proto.
 * @param value Batch of at most `records_per_batch` records.
 * @return Encoded entry for the log.
 */
[[nodiscard]] std::string encode(const batch& value);

/**
 * @brief Decodes a batch and skips records of unknown kinds.
 *
 * An entry starts with a checksum, which detects torn and modified entries.
 * @param bytes Encoded entry from the log.
 * @param unknown Incremented by the number of skipped records.
 * @param why Set to `record_torn` if nothing is returned.
 * @return The batch, or nothing if the entry is invalid.
 */
[[nodiscard]] std::optional<batch> decode(std::string_view bytes,
                                          std::uint64_t& unknown, reason& why);

} // namespace rosemarytrail::state

#endif
