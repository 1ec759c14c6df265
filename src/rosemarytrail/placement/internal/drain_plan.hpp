#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_DRAIN_PLAN_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_DRAIN_PLAN_HPP

#include <rosemarytrail/placement/internal/context.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief VMs to drain for the tasks of one job. */
struct drain_plan
{
    /** @brief Capacity to reserve, one entry per VM. */
    std::vector<reservation> reservations;
    /**
     * @brief Time at which all of that capacity is expected to be available.
     */
    time_point ready_at{};
};

/** @brief Finds the VMs that have capacity for a job soonest. */
class drain_planner
{
public:
    /**
     * @brief Plans the drain for tasks of a job that start together.
     *
     * Follows the expected ends of the running tasks in order of time until
     * enough tasks fit. Scans a bounded number of VMs, starting after those of
     * the previous call, and more only while these do not suffice.
     *
     * @param c State of the scheduler.
     * @param job Waiting job.
     * @param tasks Number of tasks that start together.
     * @param now Current time.
     * @return Plan; empty if not enough capacity is expected to become
     * available.
     */
    [[nodiscard]] std::optional<drain_plan>
    plan(const context& c, index job, std::size_t tasks, time_point now);

private:
    std::size_t next_{};
};

} // namespace rosemarytrail::placement::internal

#endif
