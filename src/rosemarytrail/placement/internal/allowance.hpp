#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_ALLOWANCE_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_ALLOWANCE_HPP

#include <rosemarytrail/placement/internal/context.hpp>

namespace rosemarytrail::placement::internal {

/** @return What a job commits at once: one task, or a whole gang. */
[[nodiscard]] inline resources needed_at_once(const job_state& job) noexcept
{
    const bool is_gang = job.spec.policy == job_class::gang;
    return job.spec.request * (is_gang ? job.unended() : 1);
}

/**
 * @brief Tells whether the allowance of its team lets a job start.
 *
 * What a former holder may have started on VMs that are not fenced counts as
 * in use by every team.
 *
 * @param book State of VMs, teams and jobs.
 * @param n Number of the job.
 * @param reserved Part of what the team has reserved that is the job's own.
 * @return `ok`, `waiting_for_allowance`, or `waiting_for_fence` if only the
 * VMs that are not fenced stand against it.
 */
[[nodiscard]] inline result_code
check_allowance(const ledger& book, index n, const resources& reserved) noexcept
{
    const auto& job = book.jobs[n];
    const auto& team = book.teams[job.team];
    const auto known =
        team.used + team.reserved - reserved + needed_at_once(job);
    if (!known.fits_in(team.view.allowance)) {
        return result_code::waiting_for_allowance;
    }
    const bool fits = (known + book.vms.unknown()).fits_in(team.view.allowance);
    return fits ? result_code::ok : result_code::waiting_for_fence;
}

} // namespace rosemarytrail::placement::internal

#endif
