#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_INDEX_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_INDEX_HPP

#include <compare>
#include <cstdint>
#include <limits>

namespace rosemarytrail::placement::internal {

/** @brief Dense number of a VM, team or job, from zero. */
using index = std::uint32_t;

/** @brief Stands for "none". */
inline constexpr index no_index = std::numeric_limits<index>::max();

/** @brief Task of a job, by dense numbers. */
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
