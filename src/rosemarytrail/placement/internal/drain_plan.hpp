#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_DRAIN_PLAN_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_DRAIN_PLAN_HPP

#include <rosemarytrail/placement/internal/context.hpp>

#include <cstddef>
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

/** @brief Finds the VMs that have room for a job soonest. */
class drain_planner
{
public:
    /**
     * @brief Plans for tasks of a job that start together.
     *
     * It follows the expected ends of what runs, in order of time, until
     * enough tasks fit. It looks at a bounded number of VMs, others each time,
     * and at more only while those do not suffice.
     *
     * @param c State of the scheduler.
     * @param job Job that waits.
     * @param tasks Number of its tasks that start together.
     * @param now Present time.
     * @return Plan, or nothing if the partition never has the room.
     */
    [[nodiscard]] std::optional<drain_plan>
    plan(const context& c, index job, std::size_t tasks, time_point now);

private:
    std::size_t next_{};
};

} // namespace rosemarytrail::placement::internal

#endif
