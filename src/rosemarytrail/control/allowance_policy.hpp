#ifndef ROSEMARYTRAIL_CONTROL_ALLOWANCE_POLICY_HPP
#define ROSEMARYTRAIL_CONTROL_ALLOWANCE_POLICY_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/resources.hpp>

#include <optional>
#include <span>

namespace rosemarytrail::control {

/** @brief Allowance of one team in one partition, and what it is used for. */
struct allowance_view
{
    partition_id partition{};
    resources allowance{};
    resources used{};
    resources queued{};
};

/** @brief Allowance to give from one partition to another. */
struct allowance_gift
{
    partition_id to{};
    resources amount{};
};

/**
 * @brief Decides whether a partition gives unused allowance of a team away.
 *
 * It keeps what its own running and queued tasks need and gives at most what
 * the neediest partition lacks.
 * @param mine The giving partition.
 * @param all The team in all partitions, the giving one included.
 * @return What to give, or nothing.
 */
[[nodiscard]] std::optional<allowance_gift>
choose_gift(const allowance_view& mine, std::span<const allowance_view> all);

} // namespace rosemarytrail::control

#endif
