#ifndef ROSEMARYTRAIL_CELL_MEMBER_NAME_HPP
#define ROSEMARYTRAIL_CELL_MEMBER_NAME_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace rosemarytrail::cell {

/** @brief What the name of a member tells: `NODE-START-PID@ADDRESS#CPU`. */
struct member_name
{
    /** @brief VM and incarnation. */
    std::string incarnation;
    /** @brief IP number and port at which peers reach it. */
    std::string address;
    /** @brief Its part of a core, in thousandths. */
    std::int64_t cpu_millis{};
};

/**
 * @brief Writes a member's name.
 * @param it What it tells.
 * @return The name.
 */
[[nodiscard]] std::string to_text(const member_name& it);

/**
 * @brief Reads a member's name.
 * @param text Name as `to_text` writes it.
 * @return What it tells, or nothing if it is of another form.
 */
[[nodiscard]] std::optional<member_name>
parse_member_name(std::string_view text);

/**
 * @brief Tells where peers reach a member.
 * @param member Name of the member.
 * @return IP number and port; empty if the name is of another form.
 */
[[nodiscard]] std::string address_of(std::string_view member);

/**
 * @brief Decides whether a node is a candidate for the lead.
 *
 * The leader carries the calls to all workers, so a small VM does not lead
 * while a larger one lives.
 * @param members Names of all members that live.
 * @param cpu_millis The node's own part of a core.
 * @param min_share Part of the largest VM that is enough.
 * @return True if it is.
 */
[[nodiscard]] bool may_lead(std::span<const std::string> members,
                            std::int64_t cpu_millis, double min_share);

} // namespace rosemarytrail::cell

#endif
