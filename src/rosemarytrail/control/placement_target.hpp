#ifndef ROSEMARYTRAIL_CONTROL_PLACEMENT_TARGET_HPP
#define ROSEMARYTRAIL_CONTROL_PLACEMENT_TARGET_HPP

#include <rosemarytrail/control/peer_network.hpp>
#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/job_spec.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/resources.hpp>

#include <optional>
#include <span>

namespace rosemarytrail::control {

/**
 * @brief Picks the partition that a new job is accepted into.
 *
 * One whose free room holds the whole job goes first, the tightest for batch
 * and gang jobs and the roomiest for services; else the one with the shortest
 * queue for its size.
 * @param spec What the job asks for.
 * @param partitions Summaries of all partitions that have VMs.
 * @return The partition; nothing if none has VMs.
 */
[[nodiscard]] std::optional<partition_id>
choose_partition(const job_spec& spec,
                 std::span<const partition_summary> partitions);

/**
 * @brief Tells whether a job can never run.
 * @param spec What the job asks for.
 * @param limit Upper limit of its team.
 * @param largest_vm Largest VM of the fleet; zero if none is known.
 * @param fleet Capacity of the whole fleet; zero if none is known.
 * @return Why it can never run, or nothing.
 */
[[nodiscard]] std::optional<reason> never_runs(const job_spec& spec,
                                               const resources& limit,
                                               const resources& largest_vm,
                                               const resources& fleet);

} // namespace rosemarytrail::control

#endif
