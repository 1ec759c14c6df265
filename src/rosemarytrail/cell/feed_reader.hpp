#ifndef ROSEMARYTRAIL_CELL_FEED_READER_HPP
#define ROSEMARYTRAIL_CELL_FEED_READER_HPP

#include <rosemarytrail/cell/ports.hpp>
#include <rosemarytrail/cell/read_pacing.hpp>
#include <rosemarytrail/http/client.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemarytrail::cell {

/** @brief Timing parameters of a feed reader. */
struct feed_reader_options
{
    feed which{feed::ledger};
    /** @brief How long a read may wait at the store for a new record. */
    duration wait{std::chrono::milliseconds{800}};
    /** @brief Minimum time between two reads, which limits the call rate. */
    duration min_interval{std::chrono::milliseconds{0}};
    read_pacing_options pacing;
};

/** @brief Receives the records of a feed. */
class feed_listener
{
public:
    virtual ~feed_listener() = default;

    /** @brief Discards the previous records, because the history was lost; all
     * records follow again. */
    virtual void on_reset() = 0;

    /**
     * @brief Applies a record.
     * @param record Next record of the feed.
     */
    virtual void on_record(const feed_record& record) = 0;

    /** @brief Called after a page whose last record is the end of the feed. */
    virtual void on_caught_up() = 0;

    /**
     * @brief Called when a read fails.
     * @param result Result of the read.
     * @param failures Number of failed reads since the last successful one.
     */
    virtual void on_read_failed(store_result result, std::size_t failures) = 0;

    /**
     * @brief Called when reads succeed again.
     * @param outage Time since the first failed read.
     */
    virtual void on_read_regained(duration outage) = 0;
};

/**
 * @brief Follows a feed: first the newest record of each key, then the log.
 *
 * Runs on a single event loop. If the store no longer keeps the next offset,
 * the reader resets and loads the feed again.
 */
class feed_reader
{
public:
    /**
     * @brief Constructs a reader; reading begins with `start`.
     * @param options Feed and timing parameters.
     * @param loop Event loop that the reader runs on.
     * @param source Store that is read.
     * @param target Receives the records; outlives the reader.
     */
    feed_reader(const feed_reader_options& options, http::event_loop& loop,
                store& source, feed_listener& target);
    feed_reader(const feed_reader&) = delete;
    feed_reader& operator=(const feed_reader&) = delete;
    ~feed_reader();

    /** @brief Starts reading; has no effect on a reader that runs. */
    void start();

    /** @brief Stops reading; after the next `start`, the whole feed is loaded
     * again. */
    void stop();

    /** @return True between `start` and `stop`. */
    [[nodiscard]] bool running() const noexcept;

    /** @param min_interval New minimum time between two reads. */
    void set_min_interval(duration min_interval) noexcept;

    /** @return True if the whole feed has been read since the last reset. */
    [[nodiscard]] bool loaded() const noexcept;

    /** @return Offset of the next read. */
    [[nodiscard]] std::int64_t offset() const noexcept;

    /** @return Time at which the last read that reached the end of the feed was
     * sent. */
    [[nodiscard]] time_point fresh_as_of() const noexcept;

    /**
     * @brief Sends an additional read at once, concurrent with the waiting one.
     * @param done Called once; true if all records up to now were applied. If
     * the feed is not loaded, it is called at once with false.
     */
    void catch_up(std::function<void(bool)> done);

private:
    struct internal_state;
    std::shared_ptr<internal_state> state_;
    bool running_{false};
};

} // namespace rosemarytrail::cell

#endif
