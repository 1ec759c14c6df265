#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_FEASIBILITY_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_FEASIBILITY_HPP

#include <rosemarytrail/placement/scheduler.hpp>

namespace rosemarytrail::placement::internal {

/**
 * @brief Checks whether a job can ever run.
 * @param spec Specification of the job.
 * @param team Team of the job; a limit of zero is unknown and not checked.
 * @param fleet Totals of the fleet; zero values are unknown and not checked.
 * @return `ok`, or the reason why the job can never run.
 */
[[nodiscard]] result_code check_feasible(const job_spec& spec,
                                         const team_view& team,
                                         const fleet_totals& fleet) noexcept;

} // namespace rosemarytrail::placement::internal

#endif
