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
 * @brief Snapshots that the control thread publishes and traffic threads read.
 */
class shared_view
{
public:
    /** @brief Age at which a note of readiness is no longer believed. */
    static constexpr duration readiness_span{std::chrono::seconds{1}};

    /**
     * @brief Publishes a table.
     * @param table Snapshot; replaces the one before.
     */
    void set_table(std::shared_ptr<const request::routing_table> table);

    /** @return Newest table; never null. */
    [[nodiscard]] std::shared_ptr<const request::routing_table> table() const;

    /**
     * @brief Publishes whether the daemon takes new work.
     * @param why_not Why not, or nothing if it does.
     * @param now Present time.
     */
    void set_readiness(std::optional<reason> why_not, time_point now);

    /** @brief Makes the daemon not ready for good. */
    void begin_drain();

    /**
     * @brief Tells whether the balancer may send callers here.
     *
     * A daemon whose control thread has not run for a while, such as one that
     * was suspended, is not ready.
     * @param now Present time.
     * @return Why not, or nothing if it may.
     */
    [[nodiscard]] std::optional<reason> not_ready(time_point now) const;

    /**
     * @brief Publishes which members are alive.
     * @param members Live members.
     */
    void set_live(std::set<incarnation_id> members);

    /**
     * @brief Tells whether a member is alive.
     * @param member Member to ask about.
     * @return True if it is.
     */
    [[nodiscard]] bool is_alive(const incarnation_id& member) const;

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const request::routing_table> table_{
        std::make_shared<const request::routing_table>()};
    std::optional<reason> why_not_{
        reason{.code = result_code::catching_up,
               .detail = "the control thread has not run yet"}};
    time_point noted_{};
    bool draining_{false};
    std::set<incarnation_id> live_;
};

} // namespace rosemarytrail::daemon

#endif
