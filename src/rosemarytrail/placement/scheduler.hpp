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

/** @brief VM of the partition as the scheduler sees it. */
struct vm_view
{
    vm_id vm{};
    rack_id rack{};
    zone_id zone{};
    resources capacity{};
    /** @brief Fenced, listed and not leaving: it may get new tasks. */
    bool accepting{true};
    /**
     * @brief Whether tasks accepted before the takeover may start on it; see
     * the two stages of a takeover in docs/DESIGN.md.
     */
    bool fenced{true};
};

/** @brief Team as the partition sees it. */
struct team_view
{
    team_id team{};
    double weight{1.0};
    /** @brief Most that the team may have running in this partition. */
    resources allowance{};
    /** @brief In use by the team in other partitions; lags. */
    resources used_elsewhere{};
    /** @brief Most in the whole fleet; zero if it is not known. */
    resources limit{};
};

/** @brief Size of the whole fleet; shares are measured against it. */
struct fleet_totals
{
    resources capacity{};
    /** @brief Largest VM of the fleet; what exceeds it can never run. */
    resources largest_vm{};
};

/** @brief What a decision asks for. */
enum class decision_kind : std::uint8_t
{
    /** @brief Start the task on the VM. */
    start,
    /** @brief Checkpoint the task, so that it can go on elsewhere. */
    checkpoint,
    /** @brief Stop the task; it will be queued again. */
    stop,
    /** @brief The job can never run; end it with the code. */
    reject
};

/** @brief One decision, to be carried out by the caller. */
struct decision
{
    decision_kind kind{decision_kind::start};
    task_ref task{};
    std::uint32_t attempt{};
    vm_id vm{};
    resources request{};
    /** @brief Why: `ok` for a start, else a code from 400 on. */
    result_code code{result_code::ok};
};

/** @brief How a task left its VM. */
enum class task_end : std::uint8_t
{
    succeeded,
    failed,
    /** @brief Stopped or checkpointed on our word; queued again. */
    evicted,
    /** @brief The VM vanished or the lease lapsed; queued again. */
    lost,
    /** @brief The worker refused the start; nothing ran. */
    refused
};

/** @brief Answer to "why does it wait". */
struct wait_report
{
    /** @brief First thing that holds it back; `ok` if it does not wait. */
    result_code code{result_code::ok};
    std::string detail{};
    /** @brief Since when that has been so. */
    time_point since{};
};

/** @brief Settings of a scheduler. */
struct scheduler_options
{
    /** @brief Target for the start of urgent work. */
    duration urgent_target{std::chrono::milliseconds{6800}};
    /** @brief How long a gang waits before VMs are drained for it. */
    duration gang_patience{std::chrono::seconds{2}};
    /** @brief Distinct VMs that a job fails on before it is given up. */
    std::uint32_t distinct_failures{3};
    /** @brief Largest fraction of the VMs that may be set aside. */
    double set_aside_fraction{0.1};
    /** @brief First wait before a retry; doubles, with jitter. */
    duration retry_base{std::chrono::milliseconds{200}};
    /** @brief Longest wait before a retry. */
    duration retry_cap{std::chrono::seconds{30}};
    /** @brief Seed of the jitter. */
    std::uint64_t seed{1};
};

/**
 * @brief Decides what runs where in one partition.
 *
 * It does no I/O and reads no clock. What was decided counts as committed from
 * the decision on, until the caller reports how the task ended: an unknown
 * answer leaves it committed.
 */
class scheduler
{
public:
    virtual ~scheduler() = default;

    /**
     * @brief Adds a VM or replaces what is known of it.
     * @param vm VM to add.
     */
    virtual void upsert_vm(const vm_view& vm) = 0;

    /**
     * @brief Removes a VM; its tasks must have been ended before.
     * @param vm VM to remove.
     */
    virtual void remove_vm(const vm_id& vm) = 0;

    /**
     * @brief Adds a team or replaces what is known of it.
     * @param team Team to add.
     */
    virtual void upsert_team(const team_view& team) = 0;

    /**
     * @brief Replaces the totals of the fleet.
     * @param totals New totals.
     */
    virtual void set_fleet(const fleet_totals& totals) = 0;

    /**
     * @brief Queues the tasks of a job.
     * @param job Id of the job.
     * @param spec What it asks for.
     * @param before_takeover Whether it was accepted before this holder's
     * claim, so that it starts only when all VMs are fenced.
     * @param now Present time.
     */
    virtual void add_job(const job_id& job, const job_spec& spec,
                         bool before_takeover, time_point now) = 0;

    /**
     * @brief Forgets the queued tasks of a job; running ones are returned.
     * @param job Job to cancel.
     * @param now Present time.
     * @return Stop decisions for the tasks that may be running.
     */
    [[nodiscard]] virtual std::vector<decision> cancel_job(const job_id& job,
                                                           time_point now) = 0;

    /**
     * @brief Takes over a task found in a worker's inventory or in the log.
     * @param task Task that runs.
     * @param attempt Its attempt.
     * @param vm VM that it runs on.
     * @param started When it started, as its worker tells; siblings' run times
     * are compared from there.
     */
    virtual void adopt_task(const task_ref& task, std::uint32_t attempt,
                            const vm_id& vm, time_point started) = 0;

    /**
     * @brief Marks a task as ended for good, from the log.
     * @param task Task that ended before this holder's claim.
     */
    virtual void skip_task(const task_ref& task) = 0;

    /**
     * @brief Reports that a task runs.
     * @param task Task that runs.
     * @param now Present time.
     */
    virtual void task_started(const task_ref& task, time_point now) = 0;

    /**
     * @brief Reports how a task ended.
     * @param task Task that ended.
     * @param end How it ended.
     * @param now Present time.
     */
    virtual void task_ended(const task_ref& task, task_end end,
                            time_point now) = 0;

    /**
     * @brief Decides what to do next.
     * @param now Present time.
     * @param most Most decisions to return.
     * @return Decisions, which count as taken.
     */
    [[nodiscard]] virtual std::vector<decision> decide(time_point now,
                                                       std::size_t most) = 0;

    /**
     * @brief Says why a job waits.
     * @param job Job to explain.
     * @param now Present time.
     * @return First thing that holds it back; nothing if it is not queued here.
     */
    [[nodiscard]] virtual std::optional<wait_report>
    explain(const job_id& job, time_point now) const = 0;

    /**
     * @brief Adds up the running tasks of a team.
     * @param team Team to look up.
     * @return What it has committed in this partition.
     */
    [[nodiscard]] virtual resources used_by(const team_id& team) const = 0;

    /**
     * @brief Adds up the queued tasks of a team.
     * @param team Team to look up.
     * @return What it has queued in this partition.
     */
    [[nodiscard]] virtual resources queued_by(const team_id& team) const = 0;

    /**
     * @brief Adds up the tasks on a VM.
     * @param vm VM to look up.
     * @return What is committed on it.
     */
    [[nodiscard]] virtual resources committed_on(const vm_id& vm) const = 0;
};

/**
 * @brief Makes a scheduler.
 * @param options Its settings.
 * @return A scheduler without VMs, teams or jobs.
 */
[[nodiscard]] std::unique_ptr<scheduler>
make_scheduler(const scheduler_options& options);

} // namespace rosemarytrail::placement

#endif
