#ifndef ROSEMARYTRAIL_CELL_FORWARD_PLAN_HPP
#define ROSEMARYTRAIL_CELL_FORWARD_PLAN_HPP

#include <rosemarytrail/cell/call_status.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace rosemarytrail::cell {

/** @brief Timing parameters of forwarded calls. */
struct forward_options
{
    /** @brief Time without a response after which the peer is queried. Most
     * calls are served in less. */
    duration query_interval{std::chrono::milliseconds{300}};
    /** @brief The same after the connection to the peer has broken, since the
     * response can then be learnt by a query only. */
    duration lost_query_interval{std::chrono::milliseconds{100}};
    /** @brief Timeout of a query. With two of them and an interval, a peer that
     * is frozen or lost is abandoned within 1.2 s. */
    duration query_timeout{std::chrono::milliseconds{400}};
    /** @brief Successive queries without response after which the peer is
     * abandoned. */
    std::size_t max_unanswered{2};
    /** @brief Maximum time for a peer to respond to a call that changes
     * nothing, or if it cannot be queried. */
    duration quick_timeout{std::chrono::milliseconds{700}};
    /** @brief Part of the caller's deadline reserved for the response of the
     * origin. The peer responds earlier, by `node_options::answer_margin`. */
    duration final_margin{std::chrono::milliseconds{75}};
    /** @brief A call with less time left is not sent to a peer, which would
     * have no time to serve it. */
    duration min_time{std::chrono::milliseconds{300}};
};

/** @brief What the origin of a forwarded call does next. */
enum class forward_action : std::uint8_t
{
    wait,
    /** @brief Query the peer for the status of the call. */
    query,
    /** @brief Abandon the peer and try the next one. */
    next_peer,
    /** @brief Answer that the outcome is unknown. */
    give_up
};

/** @brief Decision of a forward plan. */
struct forward_decision
{
    forward_action action{forward_action::wait};
    /** @brief Time of the next decision if nothing happens before. */
    time_point until;
};

/**
 * @brief Decides how long the origin of a call waits for the peer that it
 * forwarded the call to.
 *
 * Handles a peer that is slow because the store is: another peer would only
 * record the same call a second time. A peer is abandoned if it provably does
 * not serve the call, or has stopped responding.
 */
class forward_plan
{
public:
    /**
     * @brief Constructs the plan of a call that is forwarded now.
     * @param options Timing parameters.
     * @param changes Whether the call changes a job.
     * @param deadline Time at which the caller stops waiting.
     * @param now Current time.
     */
    forward_plan(const forward_options& options, bool changes,
                 time_point deadline, time_point now);

    /** @return Time at which the origin stops waiting for this peer, whatever
     * it reports. */
    [[nodiscard]] time_point give_up_at() const noexcept { return give_up_at_; }

    /** @brief Records that the call was not sent. */
    void on_refused();

    /**
     * @brief Records that the call will get no response on its connection.
     * @param now Current time.
     */
    void on_lost(time_point now);

    /**
     * @brief Records that a status query is sent.
     * @param now Current time.
     */
    void on_query_sent(time_point now);

    /**
     * @brief Records the result of a status query.
     * @param progress What it reported, except a response to the call.
     * @param now Current time.
     */
    void on_report(call_progress progress, time_point now);

    /**
     * @brief Decides what to do next.
     * @param now Current time.
     * @return Decision.
     */
    [[nodiscard]] forward_decision decide(time_point now) const;

    /** @return True if the peer may have executed the call. */
    [[nodiscard]] bool maybe_executed() const noexcept
    {
        return maybe_executed_;
    }

private:
    forward_options options_;
    bool changes_;
    time_point sent_;
    time_point give_up_at_;
    /** @brief Time of the next query. */
    time_point next_query_;
    time_point query_sent_;
    std::size_t unanswered_{};
    bool query_in_flight_{false};
    bool lost_{false};
    bool can_query_;
    bool abandoned_{false};
    bool maybe_executed_{true};
};

} // namespace rosemarytrail::cell

#endif
