#ifndef ROSEMARYTRAIL_LOAD_PLAN_HPP
#define ROSEMARYTRAIL_LOAD_PLAN_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/load/experiment.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rosemarytrail::load {

/** @brief One request that is to be sent at a set time. */
struct planned_request
{
    /** @brief Time from the start of the phase. */
    duration at{};
    /** @brief Index of the target. */
    std::size_t target{};
    bool post{false};
};

/**
 * @brief Draws the requests of a phase: Poisson arrivals for each target.
 *
 * The times do not depend on the answers, so slow answers do not thin out the
 * load.
 * @param it Phase to plan.
 * @param targets Number of targets.
 * @param seed Seed; equal seeds give equal plans.
 * @return Requests in the order of their times.
 */
[[nodiscard]] std::vector<planned_request>
plan(const phase& it, std::size_t targets, std::uint64_t seed);

} // namespace rosemarytrail::load

#endif
