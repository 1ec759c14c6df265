#ifndef ROSEMARYTRAIL_BACKENDS_WORKER_CLIENT_HPP
#define ROSEMARYTRAIL_BACKENDS_WORKER_CLIENT_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/job_spec.hpp>
#include <rosemarytrail/core/resources.hpp>
#include <rosemarytrail/core/result_code.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rosemarytrail::backends {

/** @brief Kind of a worker command. */
enum class command_kind : std::uint8_t
{
    /** @brief Starts a task; idempotent per task and attempt. */
    start,
    /** @brief Checkpoints a task, then stops it. */
    checkpoint,
    /** @brief Stops a task. */
    stop,
    /** @brief Limits the CPU time of a task. */
    throttle,
    /** @brief Discards the outcome of a terminated task. */
    acknowledge
};

/** @brief Command to a worker. */
struct worker_command
{
    command_kind kind{command_kind::start};
    task_ref task{};
    std::uint32_t attempt{};
    /** @brief Resources committed to the task; for `start` and `throttle`. */
    resources request{};
    /** @brief Expected run time; zero if it runs until stopped; for `start`. */
    duration run_time{};
    /** @brief Service that the task belongs to, if any; for `start`. */
    service_id service{};
};

/** @brief Commands to a worker, with the renewal of its leases. */
struct worker_batch
{
    /** @brief Epoch of the VM; the worker rejects a lower one. */
    record_number epoch{};
    /**
     * @brief Token from the worker's last response; the worker rejects
     * commands whose token has expired. Zero sends no commands: the batch
     * raises the epoch and requests an inventory.
     */
    std::uint64_t token{};
    /** @brief Lease duration of all running tasks, from receipt of the batch.
     */
    duration lease{};
    /** @brief Whether to renew the leases. */
    bool renew{false};
    std::vector<worker_command> commands;
};

/** @brief Phase of a task on a worker. */
enum class task_phase : std::uint8_t
{
    running,
    succeeded,
    failed,
    /** @brief Stopped by a command. */
    stopped,
    /** @brief Stopped after a checkpoint. */
    checkpointed,
    /** @brief Stopped because its lease expired. */
    lapsed
};

/** @brief State of a task as reported by its worker. */
struct task_report
{
    task_ref task{};
    std::uint32_t attempt{};
    task_phase phase{task_phase::running};
    /** @brief Resources committed to the task. */
    resources request{};
    /** @brief Resources in use at the last measurement. */
    resources used{};
    /** @brief Time since the start. */
    duration age{};
    service_id service{};
};

/** @brief Result of a command, in the order of the batch. */
struct command_report
{
    /** @brief `ok`, `worker_full`, or another code from 600 on. */
    result_code code{result_code::ok};
};

/** @brief Outcome of a batch. */
struct worker_outcome
{
    /**
     * @brief `ok` if the worker executed the batch; `worker_epoch_refused` or
     * `worker_token_refused` if it rejected the batch; `worker_unreachable` if
     * it executed nothing; `worker_answer_malformed` or
     * `worker_answer_unknown` if it may have executed the batch.
     */
    result_code code{result_code::worker_answer_unknown};
    /** @brief Current epoch of the worker. */
    record_number epoch{};
    /** @brief Token for the next commands. */
    std::uint64_t token{};
    /** @brief How long the token is valid after receipt. */
    duration token_span{};
    resources capacity{};
    /** @brief Occupied request slots, for load balancing. */
    std::uint32_t busy_slots{};
    std::vector<command_report> commands;
    /** @brief Running tasks, and terminated ones not yet acknowledged. */
    std::vector<task_report> tasks;
};

/** @brief Client of the workers' command interface. */
class worker_client
{
public:
    virtual ~worker_client() = default;

    /**
     * @brief Sends a batch to one worker.
     * @param address Worker's address, `ip:port`.
     * @param batch Commands and lease renewal.
     * @param done Called once with the outcome.
     */
    virtual void send(const std::string& address, worker_batch batch,
                      std::function<void(worker_outcome)> done) = 0;
};

} // namespace rosemarytrail::backends

#endif
