#ifndef ROSEMARYTRAIL_STATE_APPEND_QUEUE_HPP
#define ROSEMARYTRAIL_STATE_APPEND_QUEUE_HPP

#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/state/record.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rosemarytrail::state {

/** @brief Identity, rate limit and queue limits of a writer. */
struct append_queue_options
{
    incarnation_id writer{};
    /** @brief Maximum appends per second; further ones are delayed. */
    double appends_per_second{20.0};
    /** @brief Maximum bytes per append; further records start a new batch. */
    std::size_t batch_bytes{std::size_t{64} << 10U};
    /** @brief Maximum queued records; more are rejected with `queue_full`. */
    std::size_t max_queued_records{20000};
    /** @brief Delay after the first failed append; doubles per failure. */
    duration retry_base{std::chrono::milliseconds{100}};
    /** @brief Upper limit of the retry delay. */
    duration retry_cap{std::chrono::seconds{5}};
};

/** @brief Encoded log entry that is ready to be appended. */
struct pending_append
{
    std::uint64_t sequence{};
    std::string payload;
};

/**
 * @brief Group commit for the records of one process.
 *
 * One append is in flight at a time; further records are batched meanwhile. An
 * append whose response was lost is resent with the same sequence number, and
 * the fold drops the duplicate. The class performs no I/O.
 */
class append_queue
{
public:
    /** @param options Identity and limits of the writer. */
    explicit append_queue(append_queue_options options);

    /**
     * @brief Queues a record.
     * @param value Record to append.
     * @param why Set to `queue_full` if nothing is returned.
     * @return Sequence number of the batch that will contain the record.
     * Whether the record took effect is known once the fold has applied that
     * batch.
     */
    [[nodiscard]] std::optional<std::uint64_t> push(record value, reason& why);

    /**
     * @brief Returns the next append if one is due.
     * @param now Current time.
     * @return Entry to append, or nothing. After `failed` the same entry is
     * returned again until `appended` is called.
     */
    [[nodiscard]] std::optional<pending_append> next(time_point now);

    /**
     * @brief Records that the batch in flight was appended to the log.
     * @param now Current time.
     */
    void appended(time_point now);

    /**
     * @brief Records that no response arrived; the same batch will be resent.
     * @param retry_after Delay before the next attempt, if the log gave one.
     * @param now Current time.
     */
    void failed(std::optional<duration> retry_after, time_point now);

    /**
     * @brief Records that the log rejected the batch, so did not append it.
     *
     * The batch will be retried. If every earlier attempt was rejected too, its
     * records are not in the log and can be dropped; if an earlier attempt got
     * no response, they may be in the log and cannot.
     * @param retry_after Delay before the next attempt, if the log gave one.
     * @param now Current time.
     */
    void rejected(std::optional<duration> retry_after, time_point now);

    /**
     * @brief Drops all records of a batch that is certainly not in the log.
     * @param sequence Batch to drop, including the records of other callers. A
     * batch that is in flight, or may be in the log, cannot be dropped.
     * @return True if the records were dropped and will never be in the log.
     */
    [[nodiscard]] bool drop(std::uint64_t sequence);

    /**
     * @brief Drops some records of a batch that is certainly not in the log.
     * @param sequence Batch that contains the records.
     * @param predicate Returns true for each record to drop.
     * @return True if at least one record was dropped; dropped records will
     * never be in the log.
     */
    [[nodiscard]] bool
    drop(std::uint64_t sequence,
         const std::function<bool(const record&)>& predicate);

    /** @return Number of queued records, including those in flight. */
    [[nodiscard]] std::size_t waiting() const noexcept;

private:
    /** @brief Batch that is certainly not in the log. */
    struct open_batch
    {
        batch value;
        std::size_t bytes{};
    };

    /** @brief Batch that is in flight or may be in the log. */
    struct sent_batch
    {
        pending_append entry;
        std::size_t records{};
        /** @brief Batch before encoding; requeued if the log rejects it. */
        open_batch source;
        /** @brief Whether an earlier attempt got no response. */
        bool maybe_in_log{false};
        /** @brief Whether a response is outstanding. */
        bool in_flight{};
    };

    [[nodiscard]] bool fits_last_batch(std::size_t bytes) const noexcept;
    void send_front();
    void retry_later(std::optional<duration> retry_after, time_point now);

    append_queue_options options_;
    std::deque<open_batch> open_;
    std::optional<sent_batch> sent_;
    std::size_t waiting_{};
    std::uint64_t next_sequence_{1};
    /** @brief Earliest time of the next append. */
    time_point not_before_{};
    duration retry_delay_{};
};

} // namespace rosemarytrail::state

#endif
