#ifndef ROSEMARYTRAIL_FLEET_ADVICE_POOL_HPP
#define ROSEMARYTRAIL_FLEET_ADVICE_POOL_HPP

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Limits of the pool of nodes for slow advice requests. */
struct advice_pool_limits
{
    /** @brief Maximum fraction of all nodes. */
    double slow_share{};
    /** @brief Minimum fraction of the trusted nodes that is left to fast
     * requests, at least one of two or more. */
    double fast_share{};
    /** @brief Number of trusted nodes that the backlog of fast requests
     * needs. */
    std::size_t needed_for_fast{};
};

/**
 * @brief Selects the nodes to which slow advice requests are assigned.
 *
 * The first nodes of the list are selected, so that the pool stays the same
 * while the same nodes are trusted. If no node is trusted, all count as
 * trusted.
 * @param members All live nodes.
 * @param is_trusted True for a node that did not lose a request recently.
 * @param limits Limits of the pool.
 * @return Nodes of the pool; at least one if there is a node.
 */
[[nodiscard]] std::vector<std::string>
slow_advice_pool(std::span<const std::string> members,
                 const std::function<bool(const std::string&)>& is_trusted,
                 const advice_pool_limits& limits);

} // namespace rosemarytrail::fleet

#endif
