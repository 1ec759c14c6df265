#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_GANG_DRAIN_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_GANG_DRAIN_HPP

#include <rosemarytrail/placement/internal/context.hpp>
#include <rosemarytrail/placement/internal/drain_plan.hpp>
#include <rosemarytrail/placement/internal/preemption.hpp>

#include <cstddef>
#include <cstdint>

namespace rosemarytrail::placement::internal {

/**
 * @brief The one drain reservation of the partition.
 *
 * With one at a time, no two gangs can each hold what the other needs.
 */
class gang_drain
{
public:
    /** @brief Notes a gang that has no room; the first noted goes first. */
    void propose(const context& c, index job, time_point now);

    /** @brief Gives the reservation to the gang proposed, if it is free. */
    void reserve(context& c, preemption_search& search, drain_planner& planner,
                 time_point now);

    /** @brief Gives the reservation up if its gang has no use for it. */
    void release_if_stale(context& c, time_point now);

    /** @brief Gives the reservation up. */
    void release(context& c);

    /** @return What the reservation keeps of the allowance of a job's team. */
    [[nodiscard]] resources reserved_for(const context& c, index job) const;

    /** @return True if the job has the reservation. */
    [[nodiscard]] bool is_held_by(const context& c, index job) const;

    /**
     * @brief VM that drains and has room for a task that ends in time.
     * @param c State of the scheduler.
     * @param job Batch job.
     * @param now Present time.
     * @return VM, or `no_index`.
     */
    [[nodiscard]] index backfill(const context& c, index job,
                                 time_point now) const;

private:
    void preempt(context& c, preemption_search& search, time_point now) const;
    void stop_backfill(context& c) const;

    index proposed_{no_index};
    index job_{no_index};
    std::uint64_t serial_{};
    std::size_t holds_{};
    resources reserved_{};
    time_point ready_at_{};
};

} // namespace rosemarytrail::placement::internal

#endif
