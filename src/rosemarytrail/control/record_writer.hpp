#ifndef ROSEMARYTRAIL_CONTROL_RECORD_WRITER_HPP
#define ROSEMARYTRAIL_CONTROL_RECORD_WRITER_HPP

#include <rosemarytrail/backends/log_client.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/core/time_source.hpp>
#include <rosemarytrail/state/append_queue.hpp>
#include <rosemarytrail/state/cell_state.hpp>
#include <rosemarytrail/state/record.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace rosemarytrail::control {

/** @brief What became of a record that this process wrote. */
struct write_outcome
{
    /** @brief The fold's verdict; nothing if the record was never sent. */
    std::optional<state::record_verdict> verdict{};
};

/**
 * @brief Appends records through a group commit and tells each of their
 * writers what the fold made of them.
 */
class record_writer
{
public:
    using callback = std::function<void(const write_outcome&)>;

    /**
     * @brief Makes a writer.
     * @param options Bounds; the writer's incarnation among them.
     * @param log Log to append to; outlives the writer.
     * @param clock Present time for the log's answers; outlives the writer.
     * @param stream Stream to append to.
     */
    record_writer(state::append_queue_options options,
                  backends::log_client& log, const time_source& clock,
                  std::string stream);

    /**
     * @brief Queues a record.
     * @param value Record to append.
     * @param done Called once the fold has seen it, or when it is dropped.
     * @param why Set if false is returned.
     * @return False if the queue is full; then `done` is not called.
     */
    [[nodiscard]] bool push(state::record value, callback done, reason& why);

    /**
     * @brief Sends the next append if one is due.
     * @param now Present time.
     */
    void tick(time_point now);

    /**
     * @brief Learns that the fold applied a batch of this writer.
     * @param sequence Sequence number of the batch.
     * @param verdicts Verdict on each of its records.
     */
    void applied(std::uint64_t sequence,
                 std::span<const state::record_verdict> verdicts);

    /** @brief Drops all records that were never sent. */
    void drop_unsent();

    /** @return Appends that failed since the last success. */
    [[nodiscard]] std::uint32_t failures() const noexcept { return failures_; }

    /** @return Records that wait, those in flight included. */
    [[nodiscard]] std::size_t waiting() const noexcept;

    /** @return Appends sent, repeats included. */
    [[nodiscard]] std::uint64_t appends() const noexcept { return appends_; }

    /** @return Bytes sent, repeats included. */
    [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }

private:
    void answered(const backends::append_outcome& outcome);

    state::append_queue queue_;
    backends::log_client& log_;
    const time_source& clock_;
    std::string stream_;
    std::map<std::uint64_t, std::vector<callback>> waiting_;
    std::optional<std::uint64_t> in_flight_{};
    std::uint32_t failures_{};
    std::uint64_t appends_{};
    std::uint64_t bytes_{};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace rosemarytrail::control

#endif
