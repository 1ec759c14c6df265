#include <rosemarytrail/placement/internal/feasibility.hpp>

namespace rosemarytrail::placement::internal {

result_code check_feasible(const job_spec& spec, const team_view& team,
                           const fleet_totals& fleet) noexcept
{
    const bool is_gang = spec.policy == job_class::gang;
    const auto together = spec.request * (is_gang ? spec.tasks : 1);
    if (!fleet.largest_vm.is_zero() &&
        !spec.request.fits_in(fleet.largest_vm)) {
        return result_code::never_fits;
    }
    if (!fleet.capacity.is_zero() && !together.fits_in(fleet.capacity)) {
        return result_code::never_fits;
    }
    if (!team.limit.is_zero() && !together.fits_in(team.limit)) {
        return result_code::over_team_limit;
    }
    return result_code::ok;
}

} // namespace rosemarytrail::placement::internal
