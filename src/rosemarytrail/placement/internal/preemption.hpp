#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_PREEMPTION_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_PREEMPTION_HPP

#include <rosemarytrail/placement/internal/context.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Tasks to stop on a VM to free capacity there. */
struct preemption_plan
{
    index vm{no_index};
    std::vector<task_key> victims;
    /** @brief Estimated cost of lost work and disruption. */
    double cost{};
};

/**
 * @brief Selects the cheapest batch tasks of teams over their share to stop.
 */
class preemption_search
{
public:
    /**
     * @brief Finds a VM on which preemption makes one task of a job fit.
     * @param c State of the scheduler.
     * @param job Urgent job.
     * @param now Current time.
     * @return Cheapest plan among the VMs scanned; empty if there is none.
     */
    [[nodiscard]] std::optional<preemption_plan>
    find(const context& c, index job, time_point now);

    /**
     * @brief Finds the tasks to stop on one VM.
     * @param c State of the scheduler.
     * @param job Job that needs the capacity.
     * @param vm VM to free capacity on.
     * @param needed Missing capacity.
     * @param now Current time.
     * @return Plan; empty if stopping all eligible tasks does not suffice.
     */
    [[nodiscard]] std::optional<preemption_plan>
    find_on(const context& c, index job, index vm, const resources& needed,
            time_point now) const;

private:
    std::size_t next_{};
};

/**
 * @brief Stops tasks of teams whose use exceeds a lowered allowance.
 * @param c State of the scheduler.
 * @param now Current time.
 */
void shed_over_allowance(context& c, time_point now);

} // namespace rosemarytrail::placement::internal

#endif
