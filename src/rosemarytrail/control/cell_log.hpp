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
    /** @brief Its records; empty if the entry was torn. */
    state::batch records;
    /** @brief Verdict on each record; empty for a repeat. */
    std::vector<state::record_verdict> verdicts;
};

/** @brief How often snapshots are written, so that old entries may go. */
struct snapshot_options
{
    /** @brief Entries between two snapshots. */
    std::uint64_t entries{2000};
    /** @brief Longest time between two, if there are new entries at all. */
    duration period{std::chrono::minutes{10}};
};

/** @brief Receives what happens along the log. */
class cell_log_listener
{
public:
    virtual ~cell_log_listener() = default;

    /** @param entry Entry that was applied to the state. */
    virtual void on_applied(const applied_entry& entry) = 0;

    /** @brief The state was replaced by a snapshot. */
    virtual void on_restored() = 0;

    /**
     * @brief The tail of the log was read and applied.
     * @param asked When the read was sent.
     * @param next_offset Offset after the tail.
     */
    virtual void on_tail(time_point asked, std::uint64_t next_offset) = 0;
};

/**
 * @brief Follows the cell's stream: snapshot, then entries to the tail, then
 * long polls. Keeps recent entries to relay them to peers.
 */
class cell_log
{
public:
    /**
     * @brief Makes a follower that has read nothing.
     * @param log Log to read.
     * @param clock Present time for the log's answers.
     * @param stream Stream to follow.
     * @param listener Receives what happens; outlives the follower.
     */
    cell_log(backends::log_client& log, const time_source& clock,
             std::string stream, cell_log_listener& listener);

    /**
     * @brief Sends the next read if none is in flight and one is due.
     * @param now Present time.
     */
    void tick(time_point now);

    /**
     * @brief Applies entries that a peer relayed.
     * @param entries Entries in the order of their offsets.
     */
    void apply_relayed(std::span<const backends::log_entry> entries);

    /**
     * @brief Entries kept for peers.
     * @param from First offset.
     * @param bytes Most bytes of payload.
     * @return Entries from that offset on; empty if it is not kept.
     */
    [[nodiscard]] std::vector<backends::log_entry>
    relay(std::uint64_t from, std::size_t bytes) const;

    /** @return State after all entries applied. */
    [[nodiscard]] const state::cell_state& state() const noexcept
    {
        return state_;
    }

    /** @return True once the tail was reached for the first time. */
    [[nodiscard]] bool caught_up() const noexcept { return caught_up_; }

    /** @return True if the last reads failed. */
    [[nodiscard]] bool down() const noexcept;

    /**
     * @brief Writes a snapshot if one is due.
     * @param when How often.
     * @param now Present time.
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
    void on_entries(const backends::read_outcome& outcome, time_point asked);
    void on_snapshot(const backends::read_outcome& outcome);
    void read_failed();
    void write_snapshot(std::uint64_t next);
    void on_snapshot_written(const backends::append_outcome& outcome,
                             std::uint64_t next);
    void apply_entry(std::uint64_t offset, const std::string& payload);
    void keep(std::uint64_t offset, const std::string& payload);
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
    std::deque<backends::log_entry> kept_;
    std::size_t kept_bytes_{};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace rosemarytrail::control

#endif
