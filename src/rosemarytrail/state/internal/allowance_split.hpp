#ifndef ROSEMARYTRAIL_STATE_INTERNAL_ALLOWANCE_SPLIT_HPP
#define ROSEMARYTRAIL_STATE_INTERNAL_ALLOWANCE_SPLIT_HPP

#include <rosemarytrail/core/resources.hpp>

#include <vector>

namespace rosemarytrail::state::internal {

/**
 * @brief Adjusts the allowances of a team so that their sum is a new limit.
 *
 * Each dimension is adjusted separately. An increase is split evenly; its
 * remainder goes to the partitions with the lowest numbers. A decrease is
 * proportional; the units lost to rounding are returned by largest remainder,
 * lowest partition first.
 * @param shares Allowance of each partition; their sum is the previous limit.
 * @param limit New limit; no dimension is negative.
 */
void fit_to_limit(std::vector<resources>& shares, const resources& limit);

} // namespace rosemarytrail::state::internal

#endif
