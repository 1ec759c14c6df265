#include <rosemarytrail/fleet/job_limits.hpp>

namespace rosemarytrail::fleet {

std::uint64_t count_tasks(const job_spec& job) noexcept
{
    std::uint64_t result = 0;
    for (const auto& it : job.steps) {
        result += it.tasks;
    }
    return result;
}

result_code check_limits(const job_spec& job, const job_limits& limits) noexcept
{
    if (job.steps.size() > limits.max_steps ||
        count_tasks(job) > limits.max_tasks) {
        return result_code::job_too_many_tasks;
    }
    if (job.occurrences == 0) {
        return result_code::ok;
    }
    // The interval is checked before the product, which may be out of range.
    const bool in_range =
        job.occurrences <= limits.max_occurrences && job.first_due_ms >= 0 &&
        job.first_due_ms <= limits.max_due_ms && job.interval_ms >= 0 &&
        job.interval_ms <= limits.max_due_ms / job.occurrences &&
        job.first_due_ms + job.occurrences * job.interval_ms <=
            limits.max_due_ms;
    return in_range ? result_code::ok : result_code::job_times_out_of_range;
}

} // namespace rosemarytrail::fleet
