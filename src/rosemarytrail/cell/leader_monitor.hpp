#ifndef ROSEMARYTRAIL_CELL_LEADER_MONITOR_HPP
#define ROSEMARYTRAIL_CELL_LEADER_MONITOR_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/ledger_codec.hpp>

#include <cstdint>
#include <string>

namespace rosemarytrail::cell {

/** @brief What a node says of its own lead. */
struct lead_report
{
    /** @brief It leads and may go on. */
    bool leading{false};
    std::uint64_t epoch{};
    /** @brief Time since the store served it. */
    duration store_age{};
};

/** @brief What became of the question whether a node leads. */
enum class lead_answer : std::uint8_t
{
    reported,
    /** @brief Nothing listens there. */
    refused,
    /** @brief No answer in time. */
    unknown
};

/** @brief Spans and bounds of a lead watch. */
struct leader_monitor_options
{
    /** @brief Name of this incarnation, as `member_name` writes it. */
    std::string member;
    /** @brief Questions in a row without answer after which a leader counts as
     * gone; with the spacing of questions, less than its membership lasts. */
    unsigned unresponsive_after{3};
    /** @brief A node that was chosen so lately takes one question without
     * answer for enough: being chosen says that the leader's membership lapsed.
     */
    duration recent_election{std::chrono::milliseconds{1000}};
    /** @brief A leader that the store has not served for longer is replaced; it
     * is about to step down by itself. */
    duration max_store_age{std::chrono::milliseconds{1000}};
};

/**
 * @brief Decides whether a node that is chosen to lead claims the lead.
 *
 * Answers restarts and changes of the membership: the choice moves whenever a
 * node comes or goes, and each claim costs a round of calls to all workers
 * before the new leader starts anything. So a leader that answers keeps the
 * lead, and one that is gone is replaced as soon as that is known. A claim that
 * is wrong does no harm: the store fences the former leader.
 */
class leader_monitor
{
public:
    /** @param options Spans and bounds. */
    explicit leader_monitor(leader_monitor_options options);

    /** @param now Present time, at which this node has become the chosen one.
     */
    void on_elected(time_point now) noexcept;

    /**
     * @brief Tells whether a node that does not lead may claim the lead.
     * @param leader Leader on record.
     * @param elected Whether this node is the chosen one.
     * @return True if nobody leads, or the leader is known to be gone and this
     * node is chosen, or the leader was an earlier life of this node.
     */
    [[nodiscard]] bool may_claim(const fleet::leader_record& leader,
                                 bool elected) const;

    /**
     * @brief Takes what became of a question.
     * @param epoch Epoch of the leader that was asked.
     * @param result What became of it.
     * @param report What the node said, if it did.
     * @param now Present time.
     */
    void on_query_result(std::uint64_t epoch, lead_answer result,
                         const lead_report& report, time_point now) noexcept;

private:
    leader_monitor_options options_;
    std::string address_;
    time_point elected_at_;
    unsigned missed_{};
    /** @brief Newest epoch whose leader is known to be gone. */
    std::uint64_t lost_epoch_{};
};

} // namespace rosemarytrail::cell

#endif
