#ifndef ROSEMARYTRAIL_CELL_FEED_READER_HPP
#define ROSEMARYTRAIL_CELL_FEED_READER_HPP

#include <rosemarytrail/cell/ports.hpp>
#include <rosemarytrail/http/client.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemarytrail::cell {

/** @brief How a feed is followed. */
struct feed_reader_options
{
    feed which{feed::ledger};
    /** @brief How long a read may wait at the store. */
    duration wait{std::chrono::milliseconds{800}};
    /** @brief Shortest time between two reads, to bound the calls. */
    duration min_interval{std::chrono::milliseconds{0}};
    /** @brief Pause after a read that failed. */
    duration retry_delay{std::chrono::milliseconds{100}};
};

/** @brief Receives what a reader finds. */
class feed_listener
{
public:
    virtual ~feed_listener() = default;

    /** @brief All records follow anew: the history was lost. */
    virtual void on_reset() = 0;

    /** @param record Next record. */
    virtual void on_record(const feed_record& record) = 0;

    /** @brief A page has ended and the reader is at the feed's end. */
    virtual void on_caught_up() = 0;
};

/**
 * @brief Follows a feed: first the newest record of each key, then the log.
 *
 * Runs on one event loop. A reader whose history was lost begins anew.
 */
class feed_reader
{
public:
    /**
     * @brief Prepares a reader; nothing is read yet.
     * @param options How to follow the feed.
     * @param loop Loop that it runs on.
     * @param source Store.
     * @param target Receives the records; outlives the reader.
     */
    feed_reader(const feed_reader_options& options, http::event_loop& loop,
                store& source, feed_listener& target);
    feed_reader(const feed_reader&) = delete;
    feed_reader& operator=(const feed_reader&) = delete;
    ~feed_reader();

    /** @brief Begins to read. */
    void start();

    /** @param min_interval Shortest time between two reads from now on. */
    void set_min_interval(duration min_interval) noexcept;

    /** @return True once the whole feed was read after the last reset. */
    [[nodiscard]] bool loaded() const noexcept;

    /** @return Offset that is read next. */
    [[nodiscard]] std::int64_t offset() const noexcept;

    /** @return When the latest read that reached the feed's end was sent. */
    [[nodiscard]] time_point fresh_as_of() const noexcept;

    /**
     * @brief Reads once more at once, beside the read that waits.
     * @param done Called once; true if all records up to now were applied.
     */
    void catch_up(std::function<void(bool)> done);

private:
    struct internal_state;
    std::shared_ptr<internal_state> state_;
};

} // namespace rosemarytrail::cell

#endif
