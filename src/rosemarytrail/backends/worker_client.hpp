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

/** @brief What a command asks of a worker. */
enum class command_kind : std::uint8_t
{
    /** @brief Start a task; idempotent by task and attempt. */
    start,
    /** @brief Keep the state of a task, then stop it. */
    checkpoint,
    /** @brief Stop a task. */
    stop,
    /** @brief Limit the processor time of a task. */
    throttle,
    /** @brief Forget the outcome of an ended task. */
    acknowledge
};

/** @brief One command to a worker. */
struct worker_command
{
    command_kind kind{command_kind::start};
    task_ref task{};
    std::uint32_t attempt{};
    /** @brief Committed to the task; for `start` and `throttle`. */
    resources request{};
    /** @brief Expected run time; zero runs until stopped; for `start`. */
    duration run_time{};
    /** @brief Service that the task serves, if any; for `start`. */
    service_id service{};
};

/** @brief Commands to one worker, and the renewal of its leases. */
struct worker_batch
{
    /** @brief Epoch of the VM; the worker refuses a lower one. */
    record_number epoch{};
    /**
     * @brief Token from the worker's last answer; the worker refuses commands
     * whose token has lapsed. Zero sends no command: it raises the epoch and
     * asks for an inventory.
     */
    std::uint64_t token{};
    /** @brief Leases of all running tasks are extended to this from receipt. */
    duration lease{};
    /** @brief Whether to extend the leases. */
    bool renew{false};
    std::vector<worker_command> commands;
};

/** @brief How far a task has come on a worker. */
enum class task_phase : std::uint8_t
{
    running,
    succeeded,
    failed,
    /** @brief Stopped by command. */
    stopped,
    /** @brief Stopped after its state was kept. */
    checkpointed,
    /** @brief Stopped because its lease lapsed. */
    lapsed
};

/** @brief Task as its worker sees it. */
struct task_report
{
    task_ref task{};
    std::uint32_t attempt{};
    task_phase phase{task_phase::running};
    /** @brief Committed to the task. */
    resources request{};
    /** @brief In use, as measured a while ago. */
    resources used{};
    /** @brief Time since the start. */
    duration age{};
    service_id service{};
};

/** @brief Answer to one command, in the order of the batch. */
struct command_report
{
    /** @brief `ok`, `worker_full`, or another code from 600 on. */
    result_code code{result_code::ok};
};

/** @brief What became of a batch. */
struct worker_outcome
{
    /**
     * @brief `ok` if the worker obeyed; `worker_epoch_refused` and
     * `worker_token_refused` if it did nothing; `worker_unreachable` if
     * nothing was sent; `worker_answer_unknown` if it may have obeyed.
     */
    result_code code{result_code::worker_answer_unknown};
    /** @brief Epoch that the worker holds. */
    record_number epoch{};
    /** @brief Token for the next commands. */
    std::uint64_t token{};
    /** @brief Span from receipt for which the token counts. */
    duration token_span{};
    resources capacity{};
    /** @brief Requests in its slots, as reported for balancing. */
    std::uint32_t busy_slots{};
    std::vector<command_report> commands;
    /** @brief All tasks running, and ended ones not yet acknowledged. */
    std::vector<task_report> tasks;
};

/** @brief The workers' command interface. */
class worker_client
{
public:
    virtual ~worker_client() = default;

    /**
     * @brief Sends a batch to one worker.
     * @param address Worker's address, `ip:port`.
     * @param batch Commands and renewal.
     * @param done Called once with the outcome.
     */
    virtual void send(const std::string& address, worker_batch batch,
                      std::function<void(worker_outcome)> done) = 0;
};

} // namespace rosemarytrail::backends

#endif
