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

/** @brief Bounds of a writer. */
struct append_queue_options
{
    incarnation_id writer{};
    /** @brief Most appends a second of this writer. */
    double appends_per_second{20.0};
    /** @brief Most bytes of one append. */
    std::size_t batch_bytes{std::size_t{64} << 10U};
    /** @brief Most records that wait; more are refused with `queue_full`. */
    std::size_t waiting_records{20000};
    /** @brief First wait after a failed append; doubles up to the cap. */
    duration retry_base{std::chrono::milliseconds{100}};
    duration retry_cap{std::chrono::seconds{5}};
};

/** @brief Entry to append now. */
struct pending_append
{
    std::uint64_t sequence{};
    std::string payload;
};

/**
 * @brief Group commit of one process: one append in flight, the rest waits.
 *
 * An append whose answer was lost is sent again with the same sequence number;
 * the fold drops the repeat. It does no I/O.
 */
class append_queue
{
public:
    /** @param options Bounds of the writer. */
    explicit append_queue(append_queue_options options);

    /**
     * @brief Queues a record.
     * @param value Record to append.
     * @param why Set if nothing is returned: `queue_full`.
     * @return Sequence number of the batch that will hold it. Whether the
     * record took effect is known when the fold has applied that batch.
     */
    [[nodiscard]] std::optional<std::uint64_t> push(record value, reason& why);

    /**
     * @brief Takes the next append if one is due.
     * @param now Present time.
     * @return What to append, or nothing. A batch that was once taken stays
     * the same until `appended` or `refused_for_good`.
     */
    [[nodiscard]] std::optional<pending_append> next(time_point now);

    /**
     * @brief Reports that the batch in flight is in the log.
     * @param now Present time.
     */
    void appended(time_point now);

    /**
     * @brief Reports a lost answer; the same batch will be sent again.
     * @param retry_after When to try again, if the log said so.
     * @param now Present time.
     */
    void failed(std::optional<duration> retry_after, time_point now);

    /**
     * @brief Reports that the log refused the batch, so it is not in the log.
     *
     * Unless an earlier sending of it was unanswered, its records count as
     * never sent again and can be dropped; else it will be sent again.
     * @param retry_after When to try again, if the log said so.
     * @param now Present time.
     */
    void refused(std::optional<duration> retry_after, time_point now);

    /**
     * @brief Drops all records of a batch that was never sent.
     * @param sequence Batch whose records are given up, those of other callers
     * too; one that was ever sent cannot be dropped.
     * @return True if they will never be in the log.
     */
    [[nodiscard]] bool drop(std::uint64_t sequence);

    /**
     * @brief Drops some records of a batch that was never sent.
     * @param sequence Batch that holds the records.
     * @param which Tells whether a record is given up.
     * @return True if at least one was there and none of them will ever be in
     * the log.
     */
    [[nodiscard]] bool drop(std::uint64_t sequence,
                            const std::function<bool(const record&)>& which);

    /** @return Records that wait, those in flight included. */
    [[nodiscard]] std::size_t waiting() const noexcept;

private:
    /** @brief Batch that was never sent. */
    struct open_batch
    {
        batch value;
        std::size_t bytes{};
    };

    /** @brief Batch that was sent at least once. */
    struct sent_batch
    {
        pending_append entry;
        std::size_t records{};
        /** @brief As it was queued, should it go back. */
        open_batch source;
        /** @brief A sending of it was not answered. */
        bool maybe_in_log{false};
        /** @brief Whether its answer is awaited. */
        bool awaited{};
    };

    [[nodiscard]] bool has_room(std::size_t bytes) const noexcept;
    void send_front();
    void retry_later(std::optional<duration> retry_after, time_point now);

    append_queue_options options_;
    std::deque<open_batch> open_;
    std::optional<sent_batch> sent_;
    std::size_t waiting_{};
    std::uint64_t next_sequence_{1};
    /** @brief Before this nothing is sent. */
    time_point not_before_{};
    duration retry_wait_{};
};

} // namespace rosemarytrail::state

#endif
