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

/** @brief Kind of a membership change. */
enum class change_kind : std::uint8_t
{
    joined,
    /** @brief The member wrote its own leave record. */
    left_voluntarily,
    /** @brief Another member wrote the leave record. */
    removed
};

/** @brief Membership change. */
struct member_change
{
    record_number number{};
    incarnation_id member{};
    std::string region;
    change_kind kind{change_kind::joined};
};

/** @brief The last membership changes, and the member set before them. */
class member_history
{
public:
    /** @brief Maximum stored changes; older ones are merged into the base. */
    static constexpr std::size_t max_changes = 512;

    /** @brief Appends a change. */
    void add(member_change value);

    /**
     * @brief Returns the member sets of a region since a record.
     * @param region Region of the members.
     * @param since First record whose change is included.
     * @return The set before that record, then the set after each later change;
     * empty if a change since that record is no longer stored.
     */
    [[nodiscard]] std::vector<std::set<incarnation_id>>
    sets_since(std::string_view region, record_number since) const;

    /** @return True if the last change of a member is its own leave. */
    [[nodiscard]] bool left_voluntarily(const incarnation_id& member) const;

    /** @return Region of a current member or one in the stored changes. */
    [[nodiscard]] std::optional<std::string>
    region_of(const incarnation_id& member) const;

    /** @brief Joins of the members before the first stored change. */
    std::vector<member_change> base;
    /** @brief Stored changes, oldest first. */
    std::deque<member_change> changes;
    /** @brief Number of the last change that was merged into the base. */
    record_number last_compacted{};

private:
    [[nodiscard]] const member_change*
    newest_of(const incarnation_id& member) const;
};

} // namespace rosemarytrail::state::internal

#endif
