#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_PLACER_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_PLACER_HPP

#include <rosemarytrail/placement/internal/context.hpp>
#include <rosemarytrail/placement/internal/gang_drain.hpp>
#include <rosemarytrail/placement/internal/preemption.hpp>
#include <rosemarytrail/placement/internal/room_frontier.hpp>

#include <cstddef>
#include <vector>

namespace rosemarytrail::placement::internal {

/**
 * @brief Starts tasks: urgent jobs first, then by weighted share of the team.
 */
class placer
{
public:
    /**
     * @brief Starts tasks until the outbox holds so many decisions.
     * @param c State of the scheduler.
     * @param now Present time.
     * @param most Decisions after which no further task is started.
     */
    void run(context& c, time_point now, std::size_t most);

    [[nodiscard]] gang_drain& drain() noexcept { return drain_; }
    [[nodiscard]] const gang_drain& drain() const noexcept { return drain_; }

private:
    void run_queues(context& c, bool urgent, time_point now, std::size_t most);
    [[nodiscard]] bool place_one(context& c, team_queue& queue, time_point now);
    [[nodiscard]] bool try_job(context& c, index job, time_point now);
    [[nodiscard]] result_code check(context& c, index job);
    [[nodiscard]] result_code check_gang(context& c, index job);
    [[nodiscard]] bool find_room(context& c, index job, time_point now);
    [[nodiscard]] bool search(context& c, index job, time_point now);
    [[nodiscard]] bool try_backfill(context& c, index job, time_point now);
    void no_room(context& c, index job, time_point now);
    void preempt_for(context& c, index job, time_point now);
    void propose_hold(const context& c, index job, time_point now);
    void hold_for_proposed(context& c, time_point now);
    void start(context& c, index job, index vm, time_point now);

    gang_drain drain_;
    drain_planner planner_;
    preemption_search preemption_;
    room_frontier frontier_;
    std::vector<index> chosen_;
    std::size_t searches_left_{};
    std::size_t preemptions_left_{};
    std::size_t passes_left_{};
    bool is_cut_short_{};
    /** @brief Batch job of the team with the least share that has no room. */
    index proposed_{no_index};
};

} // namespace rosemarytrail::placement::internal

#endif
