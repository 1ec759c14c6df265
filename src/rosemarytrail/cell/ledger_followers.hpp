#ifndef ROSEMARYTRAIL_CELL_LEDGER_FOLLOWERS_HPP
#define ROSEMARYTRAIL_CELL_LEDGER_FOLLOWERS_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace rosemarytrail::cell {

/** @brief Limits of `ledger_followers`. */
struct follower_options
{
    /** @brief In a cell of at most this many nodes, all of them follow. */
    std::size_t small_cell{12};
    /** @brief Number of followers in a larger cell. */
    std::size_t followers{5};
    /** @brief Minimum CPU share of a follower in a larger cell, as a fraction
     * of the largest member's. */
    double min_cpu_share{0.8};
};

/** @brief Intervals at which a node lists the live members. */
struct listing_options
{
    /** @brief Interval of a follower. */
    duration follower{std::chrono::milliseconds{1000}};
    /** @brief Interval of another node, which only selects followers. */
    duration other{std::chrono::milliseconds{3000}};
    /** @brief Interval of a node that has just started. */
    duration settling{std::chrono::milliseconds{400}};
    /** @brief How long a node counts as just started; longer than the
     * membership of an earlier incarnation lasts. */
    duration settling_time{std::chrono::milliseconds{2500}};
};

/**
 * @brief Decides when a node lists the live members next.
 *
 * When many nodes restart at once, the first list still names followers that
 * are gone, and nobody follows until the next one.
 * @param options Intervals.
 * @param follows The node follows the ledger.
 * @param since_start Time since the node started.
 * @return Interval to the next list.
 */
[[nodiscard]] duration listing_interval(const listing_options& options,
                                        bool follows, duration since_start);

/**
 * @brief Removes earlier incarnations of restarted nodes.
 * @param members Names of members; that of an earlier incarnation is listed
 * until its membership expires.
 * @return The newest name of each address, and names without address; sorted.
 */
[[nodiscard]] std::vector<std::string>
newest_incarnations(std::span<const std::string> members);

/**
 * @brief Selects the nodes that follow the ledger and the worker directory.
 *
 * The bytes that the store sends grow with the number of followers and the
 * rate of jobs, so a large cell has a few followers, among the largest VMs.
 * They are the candidates for leadership; the other nodes forward client calls
 * to them. The selection changes little when a node joins or leaves, and not at
 * all when nodes restart: after a restart of all nodes, the first list still
 * names previous incarnations, and the followers must be known at once.
 * @param members Names of the live members.
 * @param options Limits.
 * @return Names of the followers, in the same order on all nodes.
 */
[[nodiscard]] std::vector<std::string>
ledger_followers(std::span<const std::string> members,
                 const follower_options& options);

} // namespace rosemarytrail::cell

#endif
