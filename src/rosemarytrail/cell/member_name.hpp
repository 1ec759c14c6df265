#ifndef ROSEMARYTRAIL_CELL_MEMBER_NAME_HPP
#define ROSEMARYTRAIL_CELL_MEMBER_NAME_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace rosemarytrail::cell {

/** @brief Fields of a member's name: `NODE-START-PID@ADDRESS#CPU/ZONE`. */
struct member_name
{
    /** @brief VM and incarnation: `NODE-START-PID`. */
    std::string incarnation;
    /** @brief IP address and port at which peers reach the member. */
    std::string address;
    /** @brief CPU share in thousandths of a core. */
    std::int64_t cpu_millis{};
    /** @brief Availability zone; empty if the name has none. */
    std::string zone;
};

/**
 * @brief Formats a member's name.
 * @param it Fields of the name.
 * @return Name of the member.
 */
[[nodiscard]] std::string to_text(const member_name& it);

/**
 * @brief Parses a member's name.
 * @param text Name as written by `to_text`.
 * @return Fields of the name, or nothing if the format is not valid.
 */
[[nodiscard]] std::optional<member_name>
parse_member_name(std::string_view text);

/**
 * @brief Returns the address of a member.
 * @param member Name of the member.
 * @return IP address and port; empty if the format of the name is not valid.
 */
[[nodiscard]] std::string address_of(std::string_view member);

/**
 * @brief Returns the start time of a member's process.
 * @param it Fields of its name.
 * @return Unix milliseconds on its own clock; zero if the name has none.
 */
[[nodiscard]] std::int64_t start_unix_ms(const member_name& it);

/**
 * @brief Returns the CPU share of the largest member.
 * @param members Names of members.
 * @return Thousandths of a core; zero if no name is valid.
 */
[[nodiscard]] std::int64_t
largest_cpu_millis(std::span<const std::string> members);

/**
 * @brief Checks whether a node is a candidate for leadership.
 *
 * The leader makes the calls to all workers, so a small VM does not lead while
 * a larger one is alive.
 * @param members Names of all live members.
 * @param cpu_millis CPU share of this node in thousandths of a core.
 * @param min_share Minimum CPU share of a candidate, as a fraction of the
 * largest member's.
 * @return True if the node may lead.
 */
[[nodiscard]] bool may_lead(std::span<const std::string> members,
                            std::int64_t cpu_millis, double min_share);

} // namespace rosemarytrail::cell

#endif
