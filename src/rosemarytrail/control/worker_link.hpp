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

/** @brief Response of a worker to a batch of commands. */
struct worker_response
{
    const backends::worker_outcome& outcome;
    /** @brief Commands of the batch, in the order of the reports. */
    std::span<const backends::worker_command> commands;
};

/**
 * @brief Sends commands to one worker, with one batch in flight at a time.
 *
 * A command stays queued until the worker reports on it, so that it is sent
 * again to the same VM if a response is lost; commands are idempotent.
 */
class worker_link
{
public:
    using callback =
        std::function<void(const worker_response&, time_point now)>;

    /**
     * @brief Constructs a link to a worker that was not contacted yet.
     * @param vm VM of the worker.
     * @param workers Client to send with; outlives the link.
     * @param clock Time source for responses; outlives the link.
     * @param freshness Lease duration and command timeouts.
     * @param on_response Receives the response to each batch that was executed.
     */
    worker_link(vm_id vm, backends::worker_client& workers,
                const time_source& clock,
                const state::freshness_options& freshness,
                callback on_response);

    /** @param address Address of the worker, `ip:port`. */
    void set_address(std::string address);

    /** @param epoch Epoch sent with each command. */
    void set_epoch(record_number epoch) noexcept { epoch_ = epoch; }

    /** @param command Command to queue. */
    void enqueue(backends::worker_command command);

    /**
     * @brief Sends a batch if one is due.
     * @param may_act Whether this process may start tasks and renew leases.
     * @param period Interval between batches without commands.
     * @param now Current time.
     */
    void tick(bool may_act, duration period, time_point now);

    /** @return True if the worker accepted the epoch and sent its inventory. */
    [[nodiscard]] bool contacted() const noexcept { return contacted_; }

    /**
     * @brief Checks whether the worker responded recently.
     * @param now Current time.
     * @return True if a response arrived within two command timeouts.
     */
    [[nodiscard]] bool reachable(time_point now) const noexcept;

    /**
     * @brief Checks whether every task on the worker must have stopped.
     *
     * The last token expires at most a command timeout after the response that
     * issued it; leases that it renewed or granted expire one lease later. The
     * margin for clock drift is added.
     * @param now Current time.
     * @return True if the worker was in contact and that time has passed.
     */
    [[nodiscard]] bool expired(time_point now) const noexcept;

    /** @return VM of the worker. */
    [[nodiscard]] const vm_id& vm() const noexcept { return vm_; }

    /** @return Number of commands that are queued or in flight. */
    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return commands_.size();
    }

    /** @brief Drops all commands, for example after `expired`. */
    void drop_commands();

private:
    void send(bool may_act, time_point now);
    void on_outcome(const backends::worker_outcome& outcome, std::size_t sent,
                    time_point sent_at);

    vm_id vm_;
    backends::worker_client& workers_;
    const time_source& clock_;
    state::freshness_options freshness_;
    callback on_response_;
    std::string address_;
    record_number epoch_{};
    std::uint64_t token_{};
    std::vector<backends::worker_command> commands_;
    std::uint64_t generation_{};
    bool in_flight_{false};
    bool contacted_{false};
    time_point last_response_{};
    time_point next_send_{};
    duration retry_wait_{};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace rosemarytrail::control

#endif
