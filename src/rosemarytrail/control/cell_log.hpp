#ifndef ROSEMARYTRAIL_CONTROL_CELL_LOG_HPP
#define ROSEMARYTRAIL_CONTROL_CELL_LOG_HPP

#include <rosemarytrail/backends/log_client.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/core/time_source.hpp>
#include <rosemarytrail/state/cell_state.hpp>
#include <rosemarytrail/state/record.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace rosemarytrail::control {

/** @brief Entry that the fold has just applied. */
struct applied_entry
{
    std::uint64_t offset{};
    /** @brief Records of the entry; empty if the entry was torn. */
    state::batch records;
    /** @brief Result of each record; empty for a repeated batch. */
    std::vector<state::record_result> results;
};

/** @brief Snapshot interval; snapshots allow old entries to be trimmed. */
struct snapshot_options
{
    /** @brief Number of entries after which a snapshot is written. */
    std::uint64_t entries{2000};
    /** @brief Maximum interval between snapshots if there are new entries. */
    duration period{std::chrono::minutes{10}};
};

/** @brief Receives the events of a log follower. */
class cell_log_listener
{
public:
    virtual ~cell_log_listener() = default;

    /** @param entry Entry that was just applied to the state. */
    virtual void on_applied(const applied_entry& entry) = 0;

    /** @brief Called after a snapshot has replaced the state. */
    virtual void on_restored() = 0;

    /**
     * @brief Called after the tail of the log was read and applied.
     * @param sent_at Time at which the read was sent.
     * @param next_offset Offset after the tail.
     */
    virtual void on_tail(time_point sent_at, std::uint64_t next_offset) = 0;
};

/**
 * @brief Follows the cell's stream: reads a snapshot, the entries to the tail,
 * then long-polls. Retains recent entries to relay them to peers.
 */
class cell_log
{
public:
    /**
     * @brief Constructs a follower at the start of the stream.
     * @param log Log to read.
     * @param clock Time source for responses of the log.
     * @param stream Stream to follow.
     * @param listener Receives the events; outlives the follower.
     */
    cell_log(backends::log_client& log, const time_source& clock,
             std::string stream, cell_log_listener& listener);

    /**
     * @brief Sends the next read if none is in flight and one is due.
     * @param now Current time.
     */
    void tick(time_point now);

    /**
     * @brief Applies entries that a peer relayed.
     * @param entries Entries in offset order.
     */
    void apply_relayed(std::span<const backends::log_entry> entries);

    /**
     * @brief Returns entries retained for peers.
     * @param from First offset.
     * @param bytes Maximum payload in bytes.
     * @return Entries from that offset on; empty if it is not retained.
     */
    [[nodiscard]] std::vector<backends::log_entry>
    relay(std::uint64_t from, std::size_t bytes) const;

    /** @return State after all applied entries. */
    [[nodiscard]] const state::cell_state& state() const noexcept
    {
        return state_;
    }

    /** @return True once the tail has been reached for the first time. */
    [[nodiscard]] bool caught_up() const noexcept { return caught_up_; }

    /** @return True if several consecutive reads have failed. */
    [[nodiscard]] bool down() const noexcept;

    /**
     * @brief Writes a snapshot if one is due.
     * @param when Snapshot interval.
     * @param now Current time.
     */
    void maybe_snapshot(const snapshot_options& when, time_point now);

private:
    enum class stage : std::uint8_t
    {
        find_snapshot,
        read_snapshot,
        follow
    };

    void find_snapshot(time_point now);
    void read_snapshot(time_point now);
    void follow(time_point now);
    void on_entries(const backends::read_outcome& outcome, time_point sent_at);
    void on_snapshot(const backends::read_outcome& outcome);
    void read_failed();
    void write_snapshot(std::uint64_t next);
    void on_snapshot_written(const backends::append_outcome& outcome,
                             std::uint64_t next);
    void apply_entry(std::uint64_t offset, const std::string& payload);
    void retain(std::uint64_t offset, const std::string& payload);
    [[nodiscard]] std::string snapshot_stream() const;

    backends::log_client& log_;
    const time_source& clock_;
    std::string stream_;
    cell_log_listener& listener_;
    state::cell_state state_;
    stage stage_{stage::find_snapshot};
    std::uint64_t snapshot_offset_{};
    bool reading_{false};
    bool caught_up_{false};
    bool snapshot_in_flight_{false};
    std::uint64_t last_snapshot_{};
    std::uint32_t snapshot_failures_{};
    std::optional<time_point> snapshot_since_{};
    time_point next_snapshot_{};
    std::uint32_t failures_{};
    time_point next_read_{};
    std::deque<backends::log_entry> retained_;
    std::size_t retained_bytes_{};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace rosemarytrail::control

#endif
