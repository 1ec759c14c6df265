#include <rosemarytrail/placement/internal/straggler_search.hpp>

#include <rosemarytrail/placement/internal/ending.hpp>

#include <algorithm>
#include <chrono>

namespace rosemarytrail::placement::internal {

namespace {

constexpr std::size_t most_looked_at = 64;
constexpr std::size_t least_siblings = 3;
/** @brief Run time over the median of the siblings that is too long. */
constexpr std::uint32_t multiple = 3;
constexpr std::uint32_t most_straggles = 3;
constexpr duration least_age = std::chrono::seconds{1};

[[nodiscard]] bool is_straggler(const job_state& job, const task_state& task,
                                time_point now)
{
    const bool can_be = job.spec.policy == job_class::batch &&
                        task.phase == task_phase::running &&
                        task.straggles < most_straggles &&
                        job.run_times.size() >= least_siblings;
    if (!can_be) {
        return false;
    }
    const auto median = job.run_times[job.run_times.size() / 2];
    // Doubled each time, so that a task that is merely larger can end.
    const auto bound = median * (multiple << task.straggles);
    return now - task.since > std::max<duration>(bound, least_age);
}

void stop_straggler(context& c, task_key task)
{
    auto& state = c.book.task(task);
    auto& avoided = c.book.jobs[task.job].avoided;
    ++state.straggles;
    if (avoided.size() + 1 < c.book.vms.accepting()) {
        avoided.push_back(state.vm);
    }
    stop_task(c, task, result_code::straggler);
}

} // namespace

void straggler_search::run(context& c, time_point now)
{
    const auto n = std::min(most_looked_at, c.book.committed().size());
    for (std::size_t it = 0; it < n; ++it) {
        next_ = next_ + 1 < c.book.committed().size() ? next_ + 1 : 0;
        const auto task = c.book.committed()[next_];
        if (is_straggler(c.book.jobs[task.job], c.book.task(task), now)) {
            stop_straggler(c, task);
        }
    }
}

} // namespace rosemarytrail::placement::internal
