#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_FEASIBILITY_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_FEASIBILITY_HPP

#include <rosemarytrail/placement/scheduler.hpp>

namespace rosemarytrail::placement::internal {

/**
 * @brief Tells whether a job can ever run.
 * @param spec What it asks for.
 * @param team Its team; a limit of zero is not known.
 * @param fleet Totals of the fleet; zero if they are not known.
 * @return `ok`, or why it can never run.
 */
[[nodiscard]] result_code check_feasible(const job_spec& spec,
                                         const team_view& team,
                                         const fleet_totals& fleet) noexcept;

} // namespace rosemarytrail::placement::internal

#endif
