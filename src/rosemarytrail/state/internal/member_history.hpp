#ifndef ROSEMARYTRAIL_STATE_INTERNAL_MEMBER_HISTORY_HPP
#define ROSEMARYTRAIL_STATE_INTERNAL_MEMBER_HISTORY_HPP

#include <rosemarytrail/core/id.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::state::internal {

/** @brief How a set of members changed. */
enum class change_kind : std::uint8_t
{
    joined,
    /** @brief The member wrote its own leave record. */
    left_by_itself,
    /** @brief Another member struck it off. */
    struck_off
};

/** @brief One change of the members. */
struct member_change
{
    record_number number{};
    incarnation_id member{};
    std::string region;
    change_kind kind{change_kind::joined};
};

/** @brief Newest changes of the members, and who was one before them. */
class member_history
{
public:
    /** @brief Most changes kept; older ones go into the base. */
    static constexpr std::size_t capacity = 512;

    /** @brief Adds the newest change. */
    void add(member_change value);

    /**
     * @brief Sets of members of a region from a record on.
     * @param region Region to look at.
     * @param since First record whose change counts as new.
     * @return The set before that record and after each change from it on;
     * empty if the changes since then are not all kept.
     */
    [[nodiscard]] std::vector<std::set<incarnation_id>>
    sets_since(std::string_view region, record_number since) const;

    /** @return True if the newest change of a member is its own leave. */
    [[nodiscard]] bool left_by_itself(const incarnation_id& member) const;

    /** @return Region of a member now or in the changes that are kept. */
    [[nodiscard]] std::optional<std::string>
    region_of(const incarnation_id& member) const;

    /** @brief Joins of those who were members before the first change kept. */
    std::vector<member_change> base;
    /** @brief Changes that are kept, oldest first. */
    std::deque<member_change> changes;
    /** @brief Number of the newest change that is in the base. */
    record_number dropped{};

private:
    [[nodiscard]] const member_change*
    newest_of(const incarnation_id& member) const;
};

} // namespace rosemarytrail::state::internal

#endif
