#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_ALLOWANCE_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_ALLOWANCE_HPP

#include <rosemarytrail/placement/internal/context.hpp>

namespace rosemarytrail::placement::internal {

/** @return Resources committed when a job starts: one task or a whole gang. */
[[nodiscard]] inline resources start_demand(const job_state& job) noexcept
{
    const bool is_gang = job.spec.policy == job_class::gang;
    return job.spec.request * (is_gang ? job.unended() : 1);
}

/**
 * @brief Checks whether the allowance of its team permits a job to start.
 *
 * The previous holder may have started tasks on unfenced VMs, so the free
 * capacity of those VMs counts as used by every team.
 *
 * @param tables VMs, teams and jobs.
 * @param n Index of the job.
 * @param reserved Allowance that the team has reserved for this job.
 * @return `ok`, `waiting_for_allowance`, or `waiting_for_fence` if only the
 * unfenced VMs prevent the start.
 */
[[nodiscard]] inline result_code
check_allowance(const allocation_state& tables, index n,
                const resources& reserved) noexcept
{
    const auto& job = tables.jobs[n];
    const auto& team = tables.teams[job.team];
    const auto known = team.used + team.reserved - reserved + start_demand(job);
    if (!known.fits_in(team.view.allowance)) {
        return result_code::waiting_for_allowance;
    }
    const bool fits =
        (known + tables.vms.unfenced_available()).fits_in(team.view.allowance);
    return fits ? result_code::ok : result_code::waiting_for_fence;
}

} // namespace rosemarytrail::placement::internal

#endif
