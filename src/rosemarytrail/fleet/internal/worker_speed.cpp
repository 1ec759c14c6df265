#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>

namespace rosemarytrail::fleet {

namespace {

using internal::task_phase;
using internal::tracked_step;
using internal::tracked_worker;

/** @brief Minimum number of finished tasks of a step for a meaningful
 * median. */
constexpr std::size_t min_siblings = 4;
/** @brief Weight of one finished task in the slowness of its worker. */
constexpr double finished_weight = 0.15;
/** @brief Minimum progress in percent that a projection assumes. */
constexpr std::int32_t min_percent = 5;
/** @brief Minimum run time of a task before its progress is evaluated. */
constexpr duration min_run_time{std::chrono::milliseconds{600}};
/** @brief Weight of one progress report of a task far behind its siblings. */
constexpr double straggler_weight = 0.3;
constexpr double min_slowness = 0.5;
constexpr double max_slowness = 10.0;

[[nodiscard]] std::vector<duration> finished_durations(const tracked_step& step)
{
    std::vector<duration> result;
    for (const auto& task : step.tasks) {
        if (task.phase == task_phase::done && task.run_duration > duration{}) {
            result.push_back(task.run_duration);
        }
    }
    return result;
}

[[nodiscard]] duration median(std::vector<duration> durations)
{
    const auto middle =
        durations.begin() + static_cast<std::ptrdiff_t>(durations.size() / 2);
    std::ranges::nth_element(durations, middle);
    return *middle;
}

void update_slowness(tracked_worker& worker, double ratio, double weight)
{
    worker.slowness =
        std::clamp(worker.slowness * (1 - weight) + ratio * weight,
                   min_slowness, max_slowness);
}

} // namespace

// Adapts to workers of different speed and to degraded ones: the tasks of a
// step are identical, so their run times compare the workers independently of
// the declared duration.
void dispatcher::state::update_speeds(const tracked_step& step)
{
    auto durations = finished_durations(step);
    if (durations.size() < min_siblings) {
        return;
    }
    const auto typical =
        static_cast<double>(median(std::move(durations)).count());
    for (const auto& task : step.tasks) {
        const auto worker = workers.find(task.completed_on);
        if (task.run_duration > duration{} && worker != workers.end()) {
            update_slowness(worker->second,
                            static_cast<double>(task.run_duration.count()) /
                                typical,
                            finished_weight);
        }
    }
}

// Detects a worker that becomes slow by the progress of its tasks, long before
// the first of them ends.
void dispatcher::state::update_speed_by_progress(tracked_worker& worker,
                                                 const tracked_step& step,
                                                 const running_row& row,
                                                 time_point now)
{
    const auto& task = step.tasks[row.task.index];
    if (step.spec->long_running || step.spec->scavenger ||
        task.phase != task_phase::running || now - task.since < min_run_time) {
        return;
    }
    auto durations = finished_durations(step);
    if (durations.size() < min_siblings) {
        return;
    }
    const auto typical =
        static_cast<double>(median(std::move(durations)).count());
    const auto passed = static_cast<double>((now - task.since).count());
    const auto percent = std::max(row.percent, min_percent);
    const double projected = passed * 100.0 / percent;
    if (projected > 2 * typical) {
        update_slowness(worker, projected / typical, straggler_weight);
    }
}

} // namespace rosemarytrail::fleet
