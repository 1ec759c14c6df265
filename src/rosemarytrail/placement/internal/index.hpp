#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_INDEX_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_INDEX_HPP

#include <compare>
#include <cstdint>
#include <limits>

namespace rosemarytrail::placement::internal {

/** @brief Dense zero-based index of a VM, team or job. */
using index = std::uint32_t;

/** @brief Represents "none". */
inline constexpr index no_index = std::numeric_limits<index>::max();

/** @brief Task, identified by job index and task number. */
struct task_key
{
    index job{no_index};
    std::uint32_t task{};

    // NOLINTBEGIN(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const task_key&,
                                          const task_key&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

} // namespace rosemarytrail::placement::internal

#endif
