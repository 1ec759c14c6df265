#ifndef ROSEMARYTRAIL_DAEMON_SHARED_VIEW_HPP
#define ROSEMARYTRAIL_DAEMON_SHARED_VIEW_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/request/routing_table.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <set>

namespace rosemarytrail::daemon {

/**
 * @brief Snapshots published by the control thread for traffic threads.
 */
class shared_view
{
public:
    /** @brief Age at which a published readiness state becomes stale. */
    static constexpr duration max_readiness_age{std::chrono::seconds{1}};

    /**
     * @brief Publishes a routing table.
     * @param table Snapshot; replaces the previous one.
     */
    void set_table(std::shared_ptr<const request::routing_table> table);

    /** @return Last published routing table; never null. */
    [[nodiscard]] std::shared_ptr<const request::routing_table> table() const;

    /**
     * @brief Publishes whether the daemon accepts new work.
     * @param why_not Reason why it does not, or nothing if it does.
     * @param now Current time.
     */
    void set_readiness(std::optional<reason> why_not, time_point now);

    /** @brief Marks the daemon permanently as not ready. */
    void begin_drain();

    /**
     * @brief Checks whether the balancer may route callers to this daemon.
     *
     * A daemon whose control thread has not run recently, for example after the
     * process was suspended, is not ready.
     * @param now Current time.
     * @return Reason why not, or nothing if it may.
     */
    [[nodiscard]] std::optional<reason> not_ready(time_point now) const;

    /**
     * @brief Publishes the set of live members.
     * @param members Live members.
     */
    void set_live(std::set<incarnation_id> members);

    /**
     * @brief Checks whether a member is alive.
     * @param member Member to look up.
     * @return True if the member is alive.
     */
    [[nodiscard]] bool is_alive(const incarnation_id& member) const;

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const request::routing_table> table_{
        std::make_shared<const request::routing_table>()};
    std::optional<reason> why_not_{
        reason{.code = result_code::catching_up,
               .detail = "the control thread has not run yet"}};
    time_point readiness_time_{};
    bool draining_{false};
    std::set<incarnation_id> live_;
};

} // namespace rosemarytrail::daemon

#endif
