#ifndef ROSEMARYTRAIL_PLACEMENT_SCHEDULER_HPP
#define ROSEMARYTRAIL_PLACEMENT_SCHEDULER_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/job_spec.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/resources.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace rosemarytrail::placement {

/** @brief VM of the partition, as seen by the scheduler. */
struct vm_view
{
    vm_id vm{};
    rack_id rack{};
    zone_id zone{};
    resources capacity{};
    /**
     * @brief Whether it may receive new tasks: fenced, listed and not leaving.
     */
    bool accepting{true};
    /**
     * @brief Whether tasks accepted before the takeover may start on it; see
     * the two stages of a takeover in docs/DESIGN.md.
     */
    bool fenced{true};
};

/** @brief Team, as seen by the partition. */
struct team_view
{
    team_id team{};
    double weight{1.0};
    /** @brief Maximum resources that the team may commit in this partition. */
    resources allowance{};
    /** @brief Resources the team uses in other partitions; may be stale. */
    resources used_elsewhere{};
    /** @brief Maximum resources in the whole fleet; zero if unknown. */
    resources limit{};
};

/** @brief Totals of the whole fleet, the base of all shares. */
struct fleet_totals
{
    resources capacity{};
    /** @brief Largest VM of the fleet; a larger task can never run. */
    resources largest_vm{};
};

/** @brief Action that a decision requests. */
enum class decision_kind : std::uint8_t
{
    /** @brief Start the task on the VM. */
    start,
    /**
     * @brief Checkpoint and stop the task; it is queued again and resumes
     * later.
     */
    checkpoint,
    /** @brief Stop the task; it is queued again. */
    stop,
    /** @brief Fail the job with the given code; it can never run. */
    reject
};

/** @brief Decision of the scheduler, carried out by the caller. */
struct decision
{
    decision_kind kind{decision_kind::start};
    task_ref task{};
    std::uint32_t attempt{};
    vm_id vm{};
    resources request{};
    /**
     * @brief Reason: `ok` for a start, otherwise a result code from 400 to 499.
     */
    result_code code{result_code::ok};
};

/** @brief How a task ended on its VM. */
enum class task_end : std::uint8_t
{
    succeeded,
    failed,
    /** @brief Stopped or checkpointed at our request; queued again. */
    evicted,
    /** @brief Its VM was lost or its lease expired; queued again. */
    lost,
    /** @brief The worker rejected the start; the task did not run. */
    refused
};

/** @brief Explanation of why a job waits. */
struct wait_report
{
    /** @brief First condition that blocks the job; `ok` if none does. */
    result_code code{result_code::ok};
    std::string detail{};
    /** @brief Time since which the condition holds. */
    time_point since{};
};

/** @brief Options of a scheduler. */
struct scheduler_options
{
    /** @brief Target delay from submission to start of urgent jobs. */
    duration urgent_target{std::chrono::milliseconds{6800}};
    /**
     * @brief How long a job waits for capacity before VMs are drained or
     * reserved for it.
     */
    duration reservation_delay{std::chrono::seconds{2}};
    /**
     * @brief Number of distinct VMs a job fails on before it is rejected, if
     * none of its tasks has succeeded.
     */
    std::uint32_t distinct_failures{3};
    /**
     * @brief Maximum fraction of the VMs that may be quarantined; at the limit,
     * other faulty VMs stay in use.
     *
     * One VM may be quarantined at any nonzero fraction if there are at least
     * four.
     */
    double quarantine_fraction{0.1};
    /**
     * @brief Delay before the first retry; doubles per failure, with jitter.
     */
    duration retry_base{std::chrono::milliseconds{200}};
    /** @brief Maximum delay before a retry. */
    duration retry_cap{std::chrono::seconds{30}};
    /** @brief Seed of the random generator for the jitter. */
    std::uint64_t seed{1};
};

/**
 * @brief Assigns tasks to VMs in one partition.
 *
 * It does no I/O and reads no clock. The resources of a task are committed from
 * the start decision until the caller reports the end of the task, also while
 * the result of the start is unknown.
 */
class scheduler
{
public:
    virtual ~scheduler() = default;

    /**
     * @brief Adds a VM or updates it.
     * @param vm VM to add.
     */
    virtual void upsert_vm(const vm_view& vm) = 0;

    /**
     * @brief Removes a VM; the caller must have ended its tasks.
     * @param vm VM to remove.
     */
    virtual void remove_vm(const vm_id& vm) = 0;

    /**
     * @brief Adds a team or updates it.
     * @param team Team to add.
     */
    virtual void upsert_team(const team_view& team) = 0;

    /**
     * @brief Sets the totals of the fleet.
     * @param totals New totals.
     */
    virtual void set_fleet(const fleet_totals& totals) = 0;

    /**
     * @brief Queues the tasks of a job.
     * @param job Id of the job.
     * @param spec Specification of the job.
     * @param before_takeover Whether the job was accepted before the claim of
     * this holder. Such a job starts only once all VMs are fenced, because the
     * previous holder may have started it.
     * @param now Current time.
     */
    virtual void add_job(const job_id& job, const job_spec& spec,
                         bool before_takeover, time_point now) = 0;

    /**
     * @brief Removes the queued tasks of a job and stops the others.
     * @param job Job to cancel.
     * @param now Current time.
     * @return Stop decisions for the tasks that may be running.
     */
    [[nodiscard]] virtual std::vector<decision> cancel_job(const job_id& job,
                                                           time_point now) = 0;

    /**
     * @brief Adopts a running task found in a worker's inventory or in the log.
     * @param task Running task.
     * @param attempt Attempt number of the task.
     * @param vm VM that it runs on.
     * @param started Start time reported by the worker; the run time that
     * straggler detection compares counts from it.
     */
    virtual void adopt_task(const task_ref& task, std::uint32_t attempt,
                            const vm_id& vm, time_point started) = 0;

    /**
     * @brief Marks a task as ended, according to the log.
     * @param task Task that ended before the claim of this holder.
     */
    virtual void mark_task_ended(const task_ref& task) = 0;

    /**
     * @brief Reports that a task runs.
     * @param task Running task.
     * @param now Current time.
     */
    virtual void task_started(const task_ref& task, time_point now) = 0;

    /**
     * @brief Reports how a task ended.
     * @param task Task that ended.
     * @param end How it ended.
     * @param now Current time.
     */
    virtual void task_ended(const task_ref& task, task_end end,
                            time_point now) = 0;

    /**
     * @brief Makes the next decisions.
     * @param now Current time.
     * @param max_decisions Maximum number of decisions to return; the others
     * stay queued for the next call.
     * @return Decisions; the scheduler treats them as in effect.
     */
    [[nodiscard]] virtual std::vector<decision>
    decide(time_point now, std::size_t max_decisions) = 0;

    /**
     * @brief Explains why a job waits.
     * @param job Job to explain.
     * @param now Current time.
     * @return First condition that blocks the job; empty if the job is
     * unknown, cancelled or rejected.
     */
    [[nodiscard]] virtual std::optional<wait_report>
    explain(const job_id& job, time_point now) const = 0;

    /**
     * @brief Returns the resources of the committed tasks of a team.
     * @param team Team to look up.
     * @return Resources that it has committed in this partition.
     */
    [[nodiscard]] virtual resources used_by(const team_id& team) const = 0;

    /**
     * @brief Returns the resources of the queued tasks of a team.
     * @param team Team to look up.
     * @return Resources that its queued tasks request in this partition.
     */
    [[nodiscard]] virtual resources queued_by(const team_id& team) const = 0;

    /**
     * @brief Returns the resources of the committed tasks on a VM.
     * @param vm VM to look up.
     * @return Resources committed on the VM.
     */
    [[nodiscard]] virtual resources committed_on(const vm_id& vm) const = 0;
};

/**
 * @brief Creates a scheduler.
 * @param options Options of the scheduler.
 * @return Scheduler without VMs, teams or jobs.
 */
[[nodiscard]] std::unique_ptr<scheduler>
make_scheduler(const scheduler_options& options);

} // namespace rosemarytrail::placement

#endif
