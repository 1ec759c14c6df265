#ifndef ROSEMARYTRAIL_FLEET_RELOCATION_HPP
#define ROSEMARYTRAIL_FLEET_RELOCATION_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/job.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Timing parameters and limits of moving tasks off workers. */
struct relocation_options
{
    /** @brief Maximum duration of a stop, including the write of the
     * checkpoint. */
    duration max_stop{std::chrono::milliseconds{900}};
    /** @brief Work between two checkpoints that a task writes by itself. */
    duration checkpoint_interval{std::chrono::milliseconds{1000}};
    /** @brief Time that a task needs to resume from a checkpoint. */
    duration restore{std::chrono::milliseconds{500}};
    /** @brief Added to the duration of a stop: covers the delivery of the
     * notice, the request and the result, which the next poll returns. */
    duration stop_margin{std::chrono::milliseconds{400}};
    /** @brief How long a lost task counts as unavailable, even if it runs
     * again. */
    duration loss_memory{std::chrono::milliseconds{5500}};
    /** @brief Minimum time between two moves from a worker that drains for an
     * unknown time. */
    duration slow_move_interval{std::chrono::milliseconds{2000}};
    /** @brief Minimum time between two passes over the closing workers. */
    duration pass_interval{std::chrono::milliseconds{50}};
    /** @brief Fraction of the tasks of the evacuated zones moved per second. */
    double evacuation_rate{0.05};
    /** @brief Minimum fraction of the usable capacity that is available, below
     * which no task is moved out of an evacuated zone. */
    double min_available{0.1};
    /** @brief Declared durations are too short by up to this factor. */
    double estimate_error{1.5};
};

/** @brief Whether and how the tasks of a step can be moved. */
enum class task_mobility : std::uint8_t
{
    /** @brief A stop would lose the work done. */
    fixed,
    /** @brief Each task resumes from a checkpoint. */
    checkpointing,
    /** @brief The members resume from a checkpoint, all together. */
    checkpointing_gang,
    /** @brief Tasks run until the job is cancelled. */
    long_running
};

/**
 * @brief Determines how the tasks of a step can be moved.
 * @param spec Step.
 * @return Mobility of its tasks.
 */
[[nodiscard]] task_mobility mobility_of(const step_spec& spec);

/** @brief Why a worker accepts no new tasks. */
enum class closing_cause : std::uint8_t
{
    /** @brief It shuts down, not before a known time. */
    departure,
    /** @brief It shuts down at an unknown time. */
    unknown_departure,
    /** @brief Its zone is evacuated, and the worker stays. */
    evacuation
};

/** @brief What a decision about a task waits for, or why it was made. */
enum class relocation_verdict : std::uint8_t
{
    moves,
    /** @brief It can't be moved, or it ends before a move would help. */
    stays,
    /** @brief It is stopped later, so that it works on until then. */
    not_due,
    /** @brief Its start or stop has not been confirmed. */
    in_transition,
    no_capacity,
    /** @brief Too many other tasks of its step are unavailable. */
    max_unavailable,
    /** @brief Moves are limited to a rate. */
    rate
};

/** @brief Tasks in evacuated zones, by what they wait for. */
struct evacuation_backlog
{
    /** @brief They can't be moved, or end soon. */
    std::size_t staying{};
    /** @brief Their stop or start has not been confirmed. */
    std::size_t in_transition{};
    std::size_t no_capacity{};
    std::size_t max_unavailable{};
    std::size_t rate{};

    /** @param verdict Decision about one task. */
    void count(relocation_verdict verdict) noexcept;
};

/** @brief Task on a closing worker. */
struct closing_task
{
    std::uint32_t index{};
    closing_cause cause{closing_cause::departure};
    /** @brief Earliest time at which the worker shuts down. */
    time_point leaves_at;
    /** @brief Its worker responds and reports it as running. */
    bool at_work{false};
    /** @brief When it is expected to end; the latest time if it runs until it
     * is cancelled. */
    time_point expected_end;
    /** @brief The rate of moves from its worker allows another one; only used
     * if the time of departure is unknown. */
    bool rate_allows{true};
};

/** @brief Step with tasks on closing workers. */
struct closing_step
{
    step_key key;
    task_mobility mobility{task_mobility::fixed};
    /** @brief Number of tasks, also those on other workers. */
    std::size_t size{};
    /** @brief Number of tasks that are not at work, or were lost recently. */
    std::size_t unavailable{};
    std::uint32_t max_unavailable{};
    std::vector<closing_task> tasks;

    /** @return Number of tasks that moves may make unavailable at a time. */
    [[nodiscard]] std::size_t unavailable_limit() const noexcept
    {
        return max_unavailable == 0 ? 1 : max_unavailable;
    }
};

/** @brief Capacity of the workers that accept tasks. */
class relocation_capacity
{
public:
    relocation_capacity() = default;
    relocation_capacity(const relocation_capacity&) = delete;
    relocation_capacity& operator=(const relocation_capacity&) = delete;
    virtual ~relocation_capacity() = default;

    /**
     * @brief Reserves capacity for tasks of a step until the end of the pass.
     * @param step Step.
     * @param tasks Number of tasks.
     * @return False if the usable workers can't accept all of them now; then
     * nothing is reserved.
     */
    [[nodiscard]] virtual bool reserve(const step_key& step,
                                       std::size_t tasks) = 0;

    /** @return Fraction of the usable workers' capacity that is available. */
    [[nodiscard]] virtual double available_share() const = 0;
};

/** @brief Limits the moves out of evacuated zones to a rate.
 *
 * A gang moves as a whole and may exceed what has accrued; further moves then
 * wait until the excess is made up for. */
class evacuation_budget
{
public:
    /**
     * @brief Adds what has accrued since the last call.
     * @param tasks Number of tasks in the evacuated zones.
     * @param options Limits.
     * @param now Current time.
     */
    void accrue(std::size_t tasks, const relocation_options& options,
                time_point now);

    /** @return True if a task or a gang may be moved now. */
    [[nodiscard]] bool allows_move() const noexcept { return tokens_ >= 1; }

    /** @param tasks Number of tasks that were moved. */
    void spend(std::size_t tasks) noexcept;

private:
    double tokens_{};
    /** @brief Largest number of tasks since no zone was evacuated. */
    std::size_t largest_{};
    std::optional<time_point> accrued_at_;
};

/** @brief Decision about one task on a closing worker. */
struct task_relocation
{
    task_key task;
    closing_cause cause{closing_cause::departure};
    relocation_verdict verdict{relocation_verdict::stays};
};

/**
 * @brief Decides which tasks on closing workers are stopped now, so that they
 * continue elsewhere.
 * @param steps Steps with tasks on closing workers.
 * @param capacity Capacity elsewhere.
 * @param budget Limit on moves out of evacuated zones.
 * @param options Timing parameters and limits.
 * @param now Current time.
 * @return A decision for each of these tasks, and for all members of a gang
 * that moves.
 */
[[nodiscard]] std::vector<task_relocation>
plan_relocation(std::span<const closing_step> steps,
                relocation_capacity& capacity, evacuation_budget& budget,
                const relocation_options& options, time_point now);

/** @brief Progress of a run, for an estimate of its end. */
struct run_progress
{
    /** @brief Start of the run, and the time of its last report. */
    time_point started;
    time_point reported_at;
    std::int32_t percent{};
    /** @brief The run began with the work saved in a checkpoint. */
    bool resumed{false};
    std::int64_t estimate_ms{};
    /** @brief Run time of the worker's tasks relative to other workers. */
    double slowness{1.0};
};

/**
 * @brief Estimates the end of a run, rather too late than too early.
 * @param run Progress of the run.
 * @param options Error of declared durations.
 * @return When it is expected to end.
 */
[[nodiscard]] time_point expected_end(const run_progress& run,
                                      const relocation_options& options);

} // namespace rosemarytrail::fleet

#endif
