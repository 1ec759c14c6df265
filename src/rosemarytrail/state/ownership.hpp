#ifndef ROSEMARYTRAIL_STATE_OWNERSHIP_HPP
#define ROSEMARYTRAIL_STATE_OWNERSHIP_HPP

#include <rosemarytrail/core/id.hpp>

#include <optional>
#include <set>
#include <vector>

namespace rosemarytrail::state {

/**
 * @brief Picks the member that should hold a partition, by rendezvous hashing
 * with a cap of ceil(partitions / members), so that the load stays even.
 * @param live Members that are alive by heartbeat.
 * @param partitions Number of partitions.
 * @return Wanted holder of each partition; empty if no member is alive.
 */
[[nodiscard]] std::vector<incarnation_id>
wanted_holders(const std::set<incarnation_id>& live, std::uint32_t partitions);

/**
 * @brief Picks the partition for a rack that is in none yet.
 * @param rack Rack to place.
 * @param partitions Number of partitions.
 * @return The partition.
 */
[[nodiscard]] partition_id partition_of_rack(const rack_id& rack,
                                             std::uint32_t partitions);

} // namespace rosemarytrail::state

#endif
