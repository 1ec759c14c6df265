#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_GANG_DRAIN_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_GANG_DRAIN_HPP

#include <rosemarytrail/placement/internal/context.hpp>
#include <rosemarytrail/placement/internal/drain_plan.hpp>
#include <rosemarytrail/placement/internal/preemption.hpp>

#include <cstddef>
#include <cstdint>

namespace rosemarytrail::placement::internal {

/**
 * @brief Drains VMs for one gang of the partition at a time.
 *
 * A single reservation prevents a deadlock in which two gangs each reserve
 * capacity that the other needs.
 */
class gang_drain
{
public:
    /**
     * @brief Proposes a gang without capacity; the first urgent one wins,
     * otherwise the first.
     */
    void propose(const context& c, index job, time_point now);

    /**
     * @brief Reserves capacity for the proposed gang. An urgent gang displaces
     * a reservation that is not urgent.
     */
    void reserve(context& c, preemption_search& search, drain_planner& planner,
                 time_point now);

    /**
     * @brief Releases the reservation if its gang can no longer use it, and
     * stops backfilled tasks once the drain is overdue.
     */
    void release_if_stale(context& c, time_point now);

    /** @brief Releases the reservation. */
    void release(context& c);

    /**
     * @return Allowance that is reserved for a job; zero without reservation.
     */
    [[nodiscard]] resources reserved_for(const context& c, index job) const;

    /** @return True if the reservation belongs to the job. */
    [[nodiscard]] bool is_reserved_for(const context& c, index job) const;

    /**
     * @brief Finds a draining VM for a task that ends before the gang starts.
     * @param c State of the scheduler.
     * @param job Batch job.
     * @param now Current time.
     * @return Index of the VM, or `no_index`.
     */
    [[nodiscard]] index backfill(const context& c, index job,
                                 time_point now) const;

private:
    void preempt(context& c, preemption_search& search, time_point now) const;
    void stop_backfill(context& c) const;

    index proposed_{no_index};
    index job_{no_index};
    std::uint64_t serial_{};
    std::size_t reservation_count_{};
    resources reserved_{};
    time_point ready_at_{};
};

} // namespace rosemarytrail::placement::internal

#endif
