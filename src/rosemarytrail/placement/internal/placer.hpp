#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_PLACER_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_PLACER_HPP

#include <rosemarytrail/placement/internal/capacity_bounds.hpp>
#include <rosemarytrail/placement/internal/context.hpp>
#include <rosemarytrail/placement/internal/gang_drain.hpp>
#include <rosemarytrail/placement/internal/preemption.hpp>

#include <cstddef>
#include <vector>

namespace rosemarytrail::placement::internal {

/**
 * @brief Starts tasks: urgent jobs first, then teams by weighted share.
 */
class placer
{
public:
    /**
     * @brief Starts tasks until enough decisions are queued or no task fits.
     * @param c State of the scheduler.
     * @param now Current time.
     * @param max_decisions Length of the decision queue from which no further
     * job is started.
     */
    void run(context& c, time_point now, std::size_t max_decisions);

    [[nodiscard]] gang_drain& drain() noexcept { return drain_; }
    [[nodiscard]] const gang_drain& drain() const noexcept { return drain_; }

private:
    void run_queues(context& c, bool urgent, time_point now,
                    std::size_t max_decisions);
    [[nodiscard]] bool place_one(context& c, team_queue& queue, time_point now);
    [[nodiscard]] bool try_job(context& c, index job, time_point now);
    [[nodiscard]] result_code check(context& c, index job);
    [[nodiscard]] result_code check_gang(context& c, index job);
    [[nodiscard]] bool try_start(context& c, index job, time_point now);
    [[nodiscard]] bool search(context& c, index job, time_point now);
    [[nodiscard]] bool try_backfill(context& c, index job, time_point now);
    void handle_no_capacity(context& c, index job, time_point now);
    void preempt_for(context& c, index job, time_point now);
    void propose_reservation(const context& c, index job, time_point now);
    void reserve_proposed(context& c, time_point now);
    void start(context& c, index job, index vm, time_point now);

    gang_drain drain_;
    drain_planner planner_;
    preemption_search preemption_;
    capacity_bounds capacity_bounds_;
    std::vector<index> chosen_;
    std::size_t searches_left_{};
    std::size_t preemptions_left_{};
    std::size_t blocked_left_{};
    /** @brief Whether a limit of the run cut the search for a team short. */
    bool is_truncated_{};
    /**
     * @brief Blocked job of the team with the lowest share; reserved for next.
     */
    index proposed_{no_index};
};

} // namespace rosemarytrail::placement::internal

#endif
