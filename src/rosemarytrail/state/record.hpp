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
    /** @brief Address of its peer RPC, `ip:port`. */
    std::string peer_address;
    /** @brief Address of its HTTP interface, `ip:port`. */
    std::string api_address;
    std::string region;
    zone_id zone{};
    /** @brief Void unless equal to that of the first member ever. */
    std::uint32_t partitions{};
};

/** @brief A daemon leaves, by itself or struck off by the writer. */
struct member_left
{
    incarnation_id member{};
};

/** @brief An operator publishes a document. */
struct document_published
{
    /** @brief Name, such as `team/salmon` or `key/k1`. */
    std::string name;
    /** @brief Revision that it replaces; zero for a new document. */
    record_number replaces{};
    /** @brief JSON, checked by the fold. */
    std::string content;
};

/** @brief The writer claims a partition; its number becomes the epoch. */
struct partition_claimed
{
    partition_id partition{};
    /** @brief Epoch that it replaces; zero if never claimed. */
    record_number replaces{};
};

/** @brief A VM comes into a partition for the first time. */
struct vm_assigned
{
    vm_id vm{};
    partition_id partition{};
    resources capacity{};
};

/** @brief The holder of one partition gives a VM to another. */
struct vm_handed_over
{
    vm_id vm{};
    partition_id from{};
    /** @brief Epoch of the giving partition. */
    record_number epoch{};
    partition_id to{};
};

/** @brief The holder of one partition gives allowance to another. */
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
    /** @brief Document, checked before and by the fold. */
    std::string document;
    /** @brief Submission id of the caller; a second one for a team is void. */
    std::string submission;
};

/** @brief The holder of one partition gives a queued job to another. */
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

/** @brief A task ended for good. */
struct task_finished
{
    task_ref task{};
    std::uint32_t attempt{};
    /** @brief `ok`, `task_failed`, or why it will not be tried again. */
    result_code code{result_code::ok};
};

/** @brief Tasks of one partition ended; written by its holder. */
struct tasks_finished
{
    partition_id partition{};
    record_number epoch{};
    std::vector<task_finished> tasks;
};

/** @brief A whole job ends without its tasks, such as one that never fits. */
struct job_rejected
{
    job_id job{};
    partition_id partition{};
    record_number epoch{};
    result_code code{result_code::ok};
};

/** @brief An operator's word that nothing runs on a VM any more. */
struct vm_declared_lost
{
    vm_id vm{};
};

/** @brief The writer wants to run a request at most once; stream `intents`. */
struct intent_opened
{
    team_id team{};
    service_id service{};
    /** @brief Idempotency key that the caller chose. */
    std::string key;
    /** @brief Hash of method, path and body. */
    std::uint64_t fingerprint{};
};

/** @brief The writer says how a request ended; stream `intents`. */
struct intent_closed
{
    team_id team{};
    service_id service{};
    std::string key;
    /** @brief False if it certainly did not run; frees the key. */
    bool ran{true};
    /** @brief False if the request ran but its answer is not known. */
    bool answered{true};
    /** @brief Status of the answer, for a repeat of the request. */
    std::uint32_t status{};
    std::string content_type;
    /** @brief Body of the answer. */
    std::string body;
};

/** @brief The writer's takeover of a partition is complete. */
struct partition_settled
{
    partition_id partition{};
    record_number epoch{};
};

/** @brief Any record. */
using record =
    std::variant<member_joined, member_left, document_published,
                 partition_claimed, vm_assigned, vm_handed_over,
                 allowance_handed_over, job_accepted, job_handed_over,
                 job_cancelled, tasks_finished, job_rejected, vm_declared_lost,
                 intent_opened, intent_closed, partition_settled>;

/** @brief Records that one process appended as one log entry. */
struct batch
{
    incarnation_id writer{};
    /** @brief Grows by one with each batch of the writer, from one. */
    std::uint64_t sequence{};
    std::vector<record> records;
    /**
     * @brief Index of each record in the entry, if some were left out; empty
     * if the index is the place in `records`. Only `decode` sets it.
     */
    std::vector<std::uint32_t> indices;
};

/**
 * @brief Estimates what a record adds to an entry.
 * @param value Record to weigh.
 * @return Bytes, never too few.
 */
[[nodiscard]] std::size_t encoded_size(const record& value) noexcept;

/**
 * @brief Encodes a batch with Cap'n Proto.
 * @param value Batch of at most `records_per_batch` records.
 * @return Bytes for the log.
 */
[[nodiscard]] std::string encode(const batch& value);

/**
 * @brief Decodes a batch; records of unknown kinds are left out.
 *
 * An entry starts with a checksum, so that one that was torn or changed on its
 * way is told from a whole one.
 * @param bytes Bytes from the log.
 * @param unknown Raised by the number of records left out.
 * @param why Set if nothing is returned: `record_torn`.
 * @return The batch.
 */
[[nodiscard]] std::optional<batch> decode(std::string_view bytes,
                                          std::uint64_t& unknown, reason& why);

} // namespace rosemarytrail::state

#endif
