#include <rosemarytrail/placement/internal/straggler_search.hpp>

#include <rosemarytrail/placement/internal/task_termination.hpp>

#include <algorithm>
#include <chrono>

namespace rosemarytrail::placement::internal {

namespace {

constexpr std::size_t max_scanned_tasks = 64;
constexpr std::size_t min_siblings = 3;
/** @brief Run time limit, as a multiple of the median of the siblings. */
constexpr std::uint32_t straggler_multiple = 3;
constexpr std::uint32_t max_straggler_stops = 3;
constexpr duration min_age = std::chrono::seconds{1};

[[nodiscard]] bool is_straggler(const job_state& job, const task_state& task,
                                time_point now)
{
    const bool can_be = job.spec.policy == job_class::batch &&
                        task.phase == task_phase::running &&
                        task.straggler_stops < max_straggler_stops &&
                        job.run_times.size() >= min_siblings;
    if (!can_be) {
        return false;
    }
    const auto median = job.run_times[job.run_times.size() / 2];
    // The limit doubles with each stop, so that a task that is merely larger
    // than its siblings can finish.
    const auto bound = median * (straggler_multiple << task.straggler_stops);
    return now - task.since > std::max<duration>(bound, min_age);
}

void stop_straggler(context& c, task_key task)
{
    auto& state = c.tables.task(task);
    auto& avoided = c.tables.jobs[task.job].avoided;
    ++state.straggler_stops;
    if (avoided.size() + 1 < c.tables.vms.accepting()) {
        avoided.push_back(state.vm);
    }
    stop_task(c, task, result_code::straggler);
}

} // namespace

void straggler_search::run(context& c, time_point now)
{
    const auto n = std::min(max_scanned_tasks, c.tables.committed().size());
    for (std::size_t it = 0; it < n; ++it) {
        next_ = next_ + 1 < c.tables.committed().size() ? next_ + 1 : 0;
        const auto task = c.tables.committed()[next_];
        if (is_straggler(c.tables.jobs[task.job], c.tables.task(task), now)) {
            stop_straggler(c, task);
        }
    }
}

} // namespace rosemarytrail::placement::internal
