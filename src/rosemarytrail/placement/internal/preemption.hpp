#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_PREEMPTION_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_PREEMPTION_HPP

#include <rosemarytrail/placement/internal/context.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Tasks that have to stop on a VM to make room there. */
struct preemption_plan
{
    index vm{no_index};
    std::vector<task_key> victims;
    /** @brief Work that is lost and trouble that is made. */
    double cost{};
};

/** @brief Finds the least valuable over-share batch work to stop. */
class preemption_search
{
public:
    /**
     * @brief Finds room for one task of an urgent job.
     * @param c State of the scheduler.
     * @param job Urgent job.
     * @param now Present time.
     * @return Least costly plan among the VMs looked at, if there is one.
     */
    [[nodiscard]] std::optional<preemption_plan>
    find(const context& c, index job, time_point now);

    /**
     * @brief Finds what to stop on one VM.
     * @param c State of the scheduler.
     * @param job Job that the room is for.
     * @param vm VM to make room on.
     * @param needed Room that is needed and not there yet.
     * @param now Present time.
     */
    [[nodiscard]] std::optional<preemption_plan>
    find_on(const context& c, index job, index vm, const resources& needed,
            time_point now) const;

private:
    std::size_t next_{};
};

/**
 * @brief Stops tasks of teams whose allowance was lowered below their use.
 * @param c State of the scheduler.
 * @param now Present time.
 */
void shed_over_allowance(context& c, time_point now);

} // namespace rosemarytrail::placement::internal

#endif
