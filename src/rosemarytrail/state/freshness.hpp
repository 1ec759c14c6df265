#ifndef ROSEMARYTRAIL_STATE_FRESHNESS_HPP
#define ROSEMARYTRAIL_STATE_FRESHNESS_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <map>
#include <set>

namespace rosemarytrail::state {

/** @brief Spans of the wait-out rule; equal on all members. */
struct freshness_options
{
    /** @brief Period H within which a holder must hear news. */
    duration news_period{std::chrono::seconds{3}};
    /** @brief Longest life of a command token on a worker. */
    duration command_bound{std::chrono::seconds{2}};
    /** @brief Lease of a task. */
    duration task_lease{std::chrono::seconds{10}};
    /** @brief Margin for the drift of clocks over the whole wait. */
    duration drift_margin{std::chrono::milliseconds{500}};
};

/**
 * @brief Knows whether this process may act as a holder.
 *
 * It may while, within the news period, it read the log's tail or heard from a
 * majority of its region's members. News counts from when its question was
 * sent, and only once what it told of is applied.
 */
class freshness
{
public:
    /** @param options Spans of the rule. */
    explicit freshness(const freshness_options& options);

    /**
     * @brief Notes that the tail of the log was read.
     * @param asked When the read was sent.
     * @param next_offset Offset after the tail.
     */
    void log_tail_read(time_point asked, std::uint64_t next_offset);

    /**
     * @brief Notes that a peer answered.
     * @param peer Peer that answered.
     * @param asked When the question was sent.
     * @param next_offset Offset up to which the peer has applied.
     */
    void peer_heard(const incarnation_id& peer, time_point asked,
                    std::uint64_t next_offset);

    /**
     * @brief Tells whether the process may start and renew.
     * @param self This process.
     * @param members Members of its region, itself included.
     * @param applied Offset after the last entry applied here.
     * @param now Present time.
     * @return True if the news is fresh enough.
     */
    [[nodiscard]] bool may_act(const incarnation_id& self,
                               const std::set<incarnation_id>& members,
                               std::uint64_t applied, time_point now) const;

    /**
     * @brief Moment at which `may_act` turns false if no more news comes.
     * @param self This process.
     * @param members Members of its region, itself included.
     * @param applied Offset after the last entry applied here.
     * @return That moment; the start of the clock if it may not act at all.
     */
    [[nodiscard]] time_point acts_until(const incarnation_id& self,
                                        const std::set<incarnation_id>& members,
                                        std::uint64_t applied) const;

private:
    // The owner of this module lays out the members.
};

} // namespace rosemarytrail::state

#endif
