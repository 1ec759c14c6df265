#include <rosemarytrail/fleet/internal/books.hpp>

#include <algorithm>

namespace rosemarytrail::fleet {

namespace {

using internal::step_book;
using internal::task_phase;
using internal::worker_book;

/** @brief Minimum number of finished tasks of a step for a meaningful
 * median. */
constexpr std::size_t enough_siblings = 4;
/** @brief Weight of one finished task in the slowness of its worker. */
constexpr double finished_weight = 0.15;
/** @brief Minimum progress in percent that a projection assumes. */
constexpr std::int32_t enough_percent = 5;
/** @brief Minimum run time of a task before its progress is evaluated. */
constexpr duration enough_time{std::chrono::milliseconds{600}};
/** @brief Weight of one progress report of a task far behind its siblings. */
constexpr double behind_weight = 0.3;
constexpr double least_slowness = 0.5;
constexpr double most_slowness = 10.0;

[[nodiscard]] std::vector<duration> finished_lengths(const step_book& step)
{
    std::vector<duration> result;
    for (const auto& task : step.tasks) {
        if (task.phase == task_phase::done && task.done_after > duration{}) {
            result.push_back(task.done_after);
        }
    }
    return result;
}

[[nodiscard]] duration median(std::vector<duration> lengths)
{
    const auto middle =
        lengths.begin() + static_cast<std::ptrdiff_t>(lengths.size() / 2);
    std::ranges::nth_element(lengths, middle);
    return *middle;
}

void learn(worker_book& worker, double ratio, double weight)
{
    worker.slowness =
        std::clamp(worker.slowness * (1 - weight) + ratio * weight,
                   least_slowness, most_slowness);
}

} // namespace

// Adapts to workers of different speed and to degraded ones: the tasks of a
// step are identical, so their run times compare the workers independently of
// the declared duration.
void dispatcher::books::learn_speeds(const step_book& step)
{
    auto lengths = finished_lengths(step);
    if (lengths.size() < enough_siblings) {
        return;
    }
    const auto typical =
        static_cast<double>(median(std::move(lengths)).count());
    for (const auto& task : step.tasks) {
        const auto worker = workers.find(task.done_on);
        if (task.done_after > duration{} && worker != workers.end()) {
            learn(worker->second,
                  static_cast<double>(task.done_after.count()) / typical,
                  finished_weight);
        }
    }
}

// Detects a worker that becomes slow by the progress of its tasks, long before
// the first of them ends.
void dispatcher::books::note_progress(worker_book& worker,
                                      const step_book& step,
                                      const running_row& row, time_point now)
{
    const auto& task = step.tasks[row.task.index];
    if (step.spec->long_running || step.spec->scavenger ||
        task.phase != task_phase::running || now - task.since < enough_time) {
        return;
    }
    auto lengths = finished_lengths(step);
    if (lengths.size() < enough_siblings) {
        return;
    }
    const auto typical =
        static_cast<double>(median(std::move(lengths)).count());
    const auto passed = static_cast<double>((now - task.since).count());
    const auto percent = std::max(row.percent, enough_percent);
    const double projected = passed * 100.0 / percent;
    if (projected > 2 * typical) {
        learn(worker, projected / typical, behind_weight);
    }
}

} // namespace rosemarytrail::fleet
