#ifndef ROSEMARYTRAIL_CELL_LEADER_MONITOR_HPP
#define ROSEMARYTRAIL_CELL_LEADER_MONITOR_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/ledger_codec.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace rosemarytrail::cell {

/** @brief What a node reports about its leadership. */
struct leader_status
{
    /** @brief The node leads and is not about to step down. */
    bool leading{false};
    std::uint64_t epoch{};
    /** @brief Time since the store last served the node. */
    duration store_age{};
};

/** @brief Result of a query whether a node leads. */
enum class leader_query_result : std::uint8_t
{
    reported,
    /** @brief Nothing listens at the address. */
    refused,
    /** @brief No response within the timeout. */
    unknown
};

/**
 * @brief Returns the name of a query result for log lines.
 * @param it Result.
 * @return Its name.
 */
[[nodiscard]] constexpr std::string_view
to_text(leader_query_result it) noexcept
{
    switch (it) {
    case leader_query_result::reported:
        return "reported";
    case leader_query_result::refused:
        return "refused";
    case leader_query_result::unknown:
        break;
    }
    return "unknown";
}

/** @brief Timing parameters and limits of a leader monitor. */
struct leader_monitor_options
{
    /** @brief Name of this incarnation, as `to_text` writes a `member_name`. */
    std::string member;
    /** @brief Consecutive queries without response after which a leader counts
     * as lost. Multiplied by the interval between queries, this is less than
     * the membership lifetime. */
    unsigned unresponsive_after{3};
    /** @brief For this long after its election, a node treats a single query
     * without response as loss of the leader: the election indicates that the
     * leader's membership has expired. */
    duration recent_election{std::chrono::milliseconds{1000}};
    /** @brief A leader that the store has not served for longer, while it
     * served this node, is replaced. */
    duration max_store_age{std::chrono::milliseconds{1000}};
};

/**
 * @brief Decides whether the elected node claims leadership.
 *
 * Limits leader changes when nodes restart or the membership changes: the
 * election result changes whenever a node joins or leaves, and each claim costs
 * a round of calls to all workers before the new leader starts any task. A
 * leader that responds therefore keeps leadership, and a lost one is replaced
 * as soon as the loss is known. A mistaken claim is safe: the store fences the
 * previous leader.
 */
class leader_monitor
{
public:
    /** @param options Timing parameters and limits. */
    explicit leader_monitor(leader_monitor_options options);

    /**
     * @brief Records that this node has been elected.
     * @param now Current time.
     */
    void on_elected(time_point now) noexcept;

    /**
     * @brief Checks whether a node that does not lead may claim leadership.
     * @param leader Leader on record.
     * @param elected Whether this node is elected.
     * @return True if this node is elected and there is no leader or the leader
     * is known to be lost, or if the leader was a previous incarnation of this
     * node.
     */
    [[nodiscard]] bool may_claim(const fleet::leader_record& leader,
                                 bool elected) const;

    /**
     * @brief Handles the result of a query.
     * @param epoch Epoch of the queried leader.
     * @param result Result of the query.
     * @param status Reported status, if there is one.
     * @param now Current time.
     * @param serving_since Since when the store has served this node without an
     * outage. After an outage for all nodes, the leader may be the last one
     * that is served again.
     */
    void on_query_result(std::uint64_t epoch, leader_query_result result,
                         const leader_status& status, time_point now,
                         time_point serving_since = {}) noexcept;

private:
    leader_monitor_options options_;
    std::string address_;
    time_point elected_at_;
    unsigned missed_{};
    /** @brief Newest epoch whose leader is known to be lost. */
    std::uint64_t lost_epoch_{};
};

} // namespace rosemarytrail::cell

#endif
