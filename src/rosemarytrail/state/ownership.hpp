#ifndef ROSEMARYTRAIL_STATE_OWNERSHIP_HPP
#define ROSEMARYTRAIL_STATE_OWNERSHIP_HPP

#include <rosemarytrail/core/id.hpp>

#include <optional>
#include <set>
#include <vector>

namespace rosemarytrail::state {

/**
 * @brief Selects the preferred holder of each partition.
 *
 * Uses rendezvous hashing with at most ceil(partitions / members) partitions
 * per member, which keeps the load even.
 * @param live Members whose heartbeats are current.
 * @param partitions Number of partitions.
 * @return Preferred holder of each partition; empty if no member is live.
 */
[[nodiscard]] std::vector<incarnation_id>
preferred_holders(const std::set<incarnation_id>& live,
                  std::uint32_t partitions);

/**
 * @brief Selects the partition of a rack that has none yet, by hashing.
 * @param rack Rack to assign.
 * @param partitions Number of partitions.
 * @return The partition; zero if there are no partitions.
 */
[[nodiscard]] partition_id partition_of_rack(const rack_id& rack,
                                             std::uint32_t partitions);

} // namespace rosemarytrail::state

#endif
