#include <rosemarytrail/placement/internal/run_time_history.hpp>

#include <algorithm>
#include <chrono>

namespace rosemarytrail::placement::internal {

namespace {

using seconds = std::chrono::duration<double>;

/** @brief The declared value counts as much as so many run times. */
constexpr double declared_weight = 3.0;
/** @brief Older run times fade once so many were seen. */
constexpr double most_weight = 20.0;
/** @brief Names kept; the table starts anew beyond. */
constexpr std::size_t most_names = 65536;

} // namespace

index run_time_history::intern(index team, const std::string& name)
{
    const std::string key = std::to_string(team) + '/' + name;
    const auto it = numbers_.find(key);
    if (it != numbers_.end()) {
        return it->second;
    }
    if (numbers_.size() >= most_names) {
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
    auto& past = records_[history];
    past.weight = std::min(past.weight + 1.0, most_weight);
    const double seen = seconds{run_time}.count();
    past.mean_seconds += (seen - past.mean_seconds) / past.weight;
}

duration run_time_history::estimate(const job_state& job) const
{
    const double declared = seconds{job.spec.run_time}.count();
    if (job.history >= records_.size()) {
        return job.spec.run_time;
    }
    const auto& past = records_[job.history];
    const double prior = declared > 0.0 ? declared_weight : 0.0;
    const double weight = past.weight + prior;
    if (weight <= 0.0) {
        return duration::zero();
    }
    const double sum = past.mean_seconds * past.weight + declared * prior;
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
    // What has run past its estimate is expected to go on for half its age.
    const auto overdue = now + (now - task.since) / 2;
    return task.since + expected > now ? task.since + expected : overdue;
}

} // namespace rosemarytrail::placement::internal
