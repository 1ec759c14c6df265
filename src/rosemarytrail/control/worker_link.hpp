#ifndef ROSEMARYTRAIL_CONTROL_WORKER_LINK_HPP
#define ROSEMARYTRAIL_CONTROL_WORKER_LINK_HPP

#include <rosemarytrail/backends/worker_client.hpp>
#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/core/time_source.hpp>
#include <rosemarytrail/state/freshness.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace rosemarytrail::control {

/** @brief Answer of a worker to the batch that carried some commands. */
struct worker_answer
{
    const backends::worker_outcome& outcome;
    /** @brief Commands of the batch, in the order of the reports. */
    std::span<const backends::worker_command> commands;
};

/**
 * @brief Talks to one worker: one batch in flight, the rest waits.
 *
 * A command stays queued until the worker reports on it, so that one whose
 * answer was lost is sent again to the same VM; commands are idempotent.
 */
class worker_link
{
public:
    using callback = std::function<void(const worker_answer&, time_point now)>;

    /**
     * @brief Makes a link that was never in contact.
     * @param vm VM of the worker.
     * @param workers Client to send with; outlives the link.
     * @param clock Present time for answers; outlives the link.
     * @param spans Lease and bounds.
     * @param answered Receives each answer to a batch that was obeyed.
     */
    worker_link(vm_id vm, backends::worker_client& workers,
                const time_source& clock, const state::freshness_options& spans,
                callback answered);

    /** @param address Address of the worker, `ip:port`. */
    void set_address(std::string address);

    /** @param epoch Epoch that commands carry. */
    void set_epoch(record_number epoch) noexcept { epoch_ = epoch; }

    /** @param command Command to send. */
    void enqueue(backends::worker_command command);

    /**
     * @brief Sends a batch if one is due.
     * @param may_act Whether this process may start and renew.
     * @param period Span between batches without commands.
     * @param now Present time.
     */
    void tick(bool may_act, duration period, time_point now);

    /** @return True if the worker took the epoch and gave its inventory. */
    [[nodiscard]] bool contacted() const noexcept { return contacted_; }

    /**
     * @brief Tells whether the worker answered lately.
     * @param now Present time.
     * @return True if an answer came within two command bounds.
     */
    [[nodiscard]] bool reachable(time_point now) const noexcept;

    /**
     * @brief Tells whether every task on the worker must have stopped.
     *
     * The last token lapses at most a command bound after the answer that
     * brought it; what it could renew or start lapses a lease later.
     * @param now Present time.
     * @return True if the worker was in contact and that time has passed.
     */
    [[nodiscard]] bool lapsed(time_point now) const noexcept;

    /** @return VM of the worker. */
    [[nodiscard]] const vm_id& vm() const noexcept { return vm_; }

    /** @return Commands that wait or are in flight. */
    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return commands_.size();
    }

    /** @brief Forgets all commands, such as after `lapsed`. */
    void drop_commands();

private:
    void send(bool may_act, time_point now);
    void on_outcome(const backends::worker_outcome& outcome, std::size_t sent,
                    time_point asked);

    vm_id vm_;
    backends::worker_client& workers_;
    const time_source& clock_;
    state::freshness_options spans_;
    callback answered_;
    std::string address_;
    record_number epoch_{};
    std::uint64_t token_{};
    std::vector<backends::worker_command> commands_;
    std::uint64_t generation_{};
    bool in_flight_{false};
    bool contacted_{false};
    time_point last_answer_{};
    time_point next_send_{};
    duration retry_wait_{};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace rosemarytrail::control

#endif
