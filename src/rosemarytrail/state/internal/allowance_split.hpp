#ifndef ROSEMARYTRAIL_STATE_INTERNAL_ALLOWANCE_SPLIT_HPP
#define ROSEMARYTRAIL_STATE_INTERNAL_ALLOWANCE_SPLIT_HPP

#include <rosemarytrail/core/resources.hpp>

#include <vector>

namespace rosemarytrail::state::internal {

/**
 * @brief Changes the allowances of a team so that their sum is a new limit.
 *
 * In each dimension a raise is split evenly and its remainder goes to the
 * lowest partitions; a cut is in proportion, with the units lost to rounding
 * given back by largest remainder, lowest partition first.
 * @param parts Allowance of each partition; their sum is the former limit.
 * @param limit New limit; no dimension below zero.
 */
void fit_to_limit(std::vector<resources>& parts, const resources& limit);

} // namespace rosemarytrail::state::internal

#endif
