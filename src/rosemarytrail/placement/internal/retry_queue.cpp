#include <rosemarytrail/placement/internal/retry_queue.hpp>

#include <algorithm>
#include <chrono>

namespace rosemarytrail::placement::internal {

namespace {

constexpr std::uint32_t max_doublings = 16;

} // namespace

void retry_queue::defer(allocation_state& tables, task_key task, time_point now)
{
    const auto wait = wait_for(tables, task, now);
    tables.defer(task);
    entries_.push({.due = now + wait,
                   .serial = tables.jobs[task.job].serial,
                   .task = task,
                   .attempt = tables.task(task).attempt});
}

void retry_queue::make_due_ready(allocation_state& tables, time_point now)
{
    while (!entries_.empty() && entries_.top().due <= now) {
        const auto it = entries_.top();
        entries_.pop();
        const auto& job = tables.jobs[it.task.job];
        if (job.serial != it.serial || job.phase != job_phase::live) {
            continue;
        }
        const auto& state = tables.task(it.task);
        if (state.phase == task_phase::retrying &&
            state.attempt == it.attempt) {
            tables.make_ready(it.task);
        }
    }
}

duration retry_queue::wait_for(allocation_state& tables, task_key task,
                               time_point now)
{
    auto& job = tables.jobs[task.job];
    const bool is_in_budget =
        job.budget.take(now) && tables.teams[job.team].budget.take(now);
    const auto failures = std::max(tables.task(task).failures, 1U);
    const auto doublings = std::min(failures - 1, max_doublings);
    const duration doubled = base_ * (std::int64_t{1} << doublings);
    const auto longest = is_in_budget ? std::min(cap_, doubled) : cap_;
    const std::chrono::duration<double, duration::period> wait =
        longest * (0.5 + 0.5 * next_fraction());
    return std::chrono::duration_cast<duration>(wait);
}

double retry_queue::next_fraction() noexcept
{
    // SplitMix64.
    std::uint64_t n = (random_ += 0x9e3779b97f4a7c15ULL);
    n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    n = (n ^ (n >> 27U)) * 0x94d049bb133111ebULL;
    n ^= n >> 31U;
    return static_cast<double>(n >> 11U) / 9007199254740992.0;
}

} // namespace rosemarytrail::placement::internal
