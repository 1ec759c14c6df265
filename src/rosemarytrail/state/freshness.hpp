#ifndef ROSEMARYTRAIL_STATE_FRESHNESS_HPP
#define ROSEMARYTRAIL_STATE_FRESHNESS_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

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
     * @brief Forgets peers that are no members any more.
     * @param members Members of its region.
     */
    void keep_only(const std::set<incarnation_id>& members);

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
     * @return That moment; the start of the clock if it may not act at all,
     * the end of the clock if it is the only member of its region.
     */
    [[nodiscard]] time_point acts_until(const incarnation_id& self,
                                        const std::set<incarnation_id>& members,
                                        std::uint64_t applied) const;

private:
    /** @brief What one answer proves once its offset is applied. */
    struct news
    {
        time_point asked{};
        std::uint64_t next_offset{};
    };
    /** @brief Answers of one source, by question and offset ascending. */
    using news_list = std::vector<news>;

    static void add(news_list& list, const news& value);
    [[nodiscard]] static std::optional<time_point>
    newest(const news_list& list, std::uint64_t applied);

    freshness_options options_;
    news_list log_;
    std::map<incarnation_id, news_list> peers_;
};

} // namespace rosemarytrail::state

#endif
