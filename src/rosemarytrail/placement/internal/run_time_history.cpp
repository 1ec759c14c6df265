#include <rosemarytrail/placement/internal/run_time_history.hpp>

#include <algorithm>
#include <chrono>

namespace rosemarytrail::placement::internal {

namespace {

using seconds = std::chrono::duration<double>;

/** @brief Weight of the declared run time, in observed run times. */
constexpr double declared_weight = 3.0;
/** @brief Number of observations from which older ones decay. */
constexpr double max_weight = 20.0;
/** @brief Maximum number of names; the table is cleared when it is full. */
constexpr std::size_t max_names = 65536;

} // namespace

index run_time_history::intern(index team, const std::string& name)
{
    const std::string key = std::to_string(team) + '/' + name;
    const auto it = numbers_.find(key);
    if (it != numbers_.end()) {
        return it->second;
    }
    if (numbers_.size() >= max_names) {
        numbers_.clear();
        records_.clear();
    }
    const auto n = static_cast<index>(records_.size());
    records_.emplace_back();
    numbers_.emplace(key, n);
    return n;
}

void run_time_history::add(index history, duration run_time)
{
    if (history >= records_.size()) {
        return;
    }
    auto& entry = records_[history];
    entry.weight = std::min(entry.weight + 1.0, max_weight);
    const double observed = seconds{run_time}.count();
    entry.mean_seconds += (observed - entry.mean_seconds) / entry.weight;
}

duration run_time_history::estimate(const job_state& job) const
{
    const double declared = seconds{job.spec.run_time}.count();
    if (job.history >= records_.size()) {
        return job.spec.run_time;
    }
    const auto& entry = records_[job.history];
    const double prior = declared > 0.0 ? declared_weight : 0.0;
    const double weight = entry.weight + prior;
    if (weight <= 0.0) {
        return duration::zero();
    }
    const double sum = entry.mean_seconds * entry.weight + declared * prior;
    return std::chrono::duration_cast<duration>(seconds{sum / weight});
}

time_point run_time_history::expected_end(const job_state& job,
                                          const task_state& task,
                                          time_point now) const
{
    if (task.phase == task_phase::stopping) {
        return now + std::chrono::seconds{1};
    }
    if (job.spec.policy == job_class::service) {
        return time_point::max();
    }
    const auto expected = estimate(job);
    if (expected == duration::zero()) {
        return time_point::max();
    }
    // A task past its estimate is expected to run for half its age more.
    const auto overdue = now + (now - task.since) / 2;
    return task.since + expected > now ? task.since + expected : overdue;
}

} // namespace rosemarytrail::placement::internal
