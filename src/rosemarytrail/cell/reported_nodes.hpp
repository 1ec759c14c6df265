#ifndef ROSEMARYTRAIL_CELL_REPORTED_NODES_HPP
#define ROSEMARYTRAIL_CELL_REPORTED_NODES_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::cell {

/** @brief Limits of `reported_nodes`. */
struct reported_nodes_options
{
    /** @brief Maximum number of nodes. */
    std::size_t max_nodes{256};
    /** @brief Maximum length of a node's name. */
    std::size_t max_name_length{256};
    /** @brief How long a node counts after its last report; two reports in
     * sequence may be lost. */
    duration validity{std::chrono::milliseconds{2500}};
};

/** @brief What a report changed. */
enum class report_result : std::uint8_t
{
    /** @brief The node is new, or another incarnation of a known one. */
    added,
    renewed,
    /** @brief The name is malformed. */
    malformed,
    /** @brief There are as many nodes as allowed. */
    too_many
};

/**
 * @brief Nodes that the store does not list as members and that report
 * themselves to the leader.
 */
class reported_nodes
{
public:
    /** @param options Limits. */
    explicit reported_nodes(const reported_nodes_options& options)
        : options_{options}
    {}

    /**
     * @brief Records the report of a node.
     * @param member Name of the node, as `to_text` writes a `member_name`.
     * @param now Current time.
     * @return What the report changed.
     */
    report_result add(std::string_view member, time_point now);

    /**
     * @brief Removes the nodes that have not reported in time.
     * @param now Current time.
     * @return Number of removed nodes.
     */
    std::size_t drop_expired(time_point now);

    /**
     * @brief Adds the reported nodes to the list of members.
     * @param members Live members that the store lists, sorted.
     * @return The newest incarnations of all of them, first those that the
     * store does not list.
     */
    [[nodiscard]] std::vector<std::string>
    add_to(std::span<const std::string> members) const;

    /** @return Number of nodes. */
    [[nodiscard]] std::size_t size() const noexcept { return nodes_.size(); }

private:
    struct reported_node
    {
        std::string member;
        time_point until;
    };

    reported_nodes_options options_;
    /** @brief By address, so that a restarted node counts once. */
    std::map<std::string, reported_node, std::less<>> nodes_;
};

} // namespace rosemarytrail::cell

#endif
