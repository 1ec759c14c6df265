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
 * @brief Selects the partition for a new job.
 *
 * Prefers partitions with an empty queue whose available capacity fits the
 * whole job: best fit for batch and gang jobs, worst fit for services.
 * Otherwise selects the one with the shortest queue relative to its size, for
 * a gang among those whose capacity fits it; if there is none, the largest.
 * @param spec Resources and class of the job.
 * @param partitions Summaries of all partitions that have VMs.
 * @return The partition; nothing if none has VMs.
 */
[[nodiscard]] std::optional<partition_id>
choose_partition(const job_spec& spec,
                 std::span<const partition_summary> partitions);

/**
 * @brief Checks whether a job can never run.
 * @param spec Resources and class of the job.
 * @param limit Upper limit of its team.
 * @param largest_vm Largest VM of the fleet; zero if none is known.
 * @param fleet Capacity of the whole fleet; zero if none is known.
 * @return Reason why it can never run, or nothing.
 */
[[nodiscard]] std::optional<reason> never_runs(const job_spec& spec,
                                               const resources& limit,
                                               const resources& largest_vm,
                                               const resources& fleet);

} // namespace rosemarytrail::control

#endif
