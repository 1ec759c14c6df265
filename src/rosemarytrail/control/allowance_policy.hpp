#ifndef ROSEMARYTRAIL_CONTROL_ALLOWANCE_POLICY_HPP
#define ROSEMARYTRAIL_CONTROL_ALLOWANCE_POLICY_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/resources.hpp>

#include <optional>
#include <span>

namespace rosemarytrail::control {

/** @brief Allowance and resource usage of one team in one partition. */
struct allowance_view
{
    partition_id partition{};
    resources allowance{};
    resources used{};
    resources queued{};
};

/** @brief Allowance to transfer from one partition to another. */
struct allowance_transfer
{
    partition_id to{};
    resources amount{};
};

/**
 * @brief Selects unused allowance of a team to transfer elsewhere.
 *
 * A partition keeps what its running and queued tasks need and transfers at
 * most the shortfall of the partition with the largest one.
 * @param mine State of the team in the source partition.
 * @param all State of the team in all partitions, including the source.
 * @return Transfer to make, or nothing.
 */
[[nodiscard]] std::optional<allowance_transfer>
choose_transfer(const allowance_view& mine,
                std::span<const allowance_view> all);

} // namespace rosemarytrail::control

#endif
