#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_DRAIN_PLAN_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_DRAIN_PLAN_HPP

#include <rosemarytrail/placement/internal/context.hpp>

#include <optional>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief VMs that have to drain for the tasks of one job. */
struct drain_plan
{
    /** @brief One entry for each VM, with the room for its tasks. */
    std::vector<hold> holds;
    /** @brief When all of that room is expected to be free. */
    time_point ready_at{};
};

/**
 * @brief Finds the VMs that have room for a job soonest.
 *
 * It follows the expected ends of what runs, in order of time, until enough
 * tasks of the job fit.
 *
 * @param c State of the scheduler.
 * @param job Job whose tasks start together.
 * @param now Present time.
 * @return Plan, or nothing if the partition never has the room.
 */
[[nodiscard]] std::optional<drain_plan> plan_drain(const context& c, index job,
                                                   time_point now);

} // namespace rosemarytrail::placement::internal

#endif
