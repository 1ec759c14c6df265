#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_PLACEMENT_POLICY_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_PLACEMENT_POLICY_HPP

#include <rosemarytrail/placement/internal/job_table.hpp>
#include <rosemarytrail/placement/internal/vm_table.hpp>

#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Chooses VMs for the tasks of a job. */
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /**
     * @brief Chooses VMs for tasks that start now.
     * @param vms VMs and the room on each.
     * @param job Job with at least one task that may start.
     * @param now Present time.
     * @param chosen Set to one VM for each task to start, from the one that
     * goes first on; emptied if there is no room.
     * @return True if there is room.
     */
    [[nodiscard]] virtual bool choose(const vm_table& vms, const job_state& job,
                                      time_point now,
                                      std::vector<index>& chosen) const = 0;
};

/** @return Policy of a class; it lives as long as the program. */
[[nodiscard]] const placement_policy& policy_for(job_class policy) noexcept;

/** @return True if a job does not start on a VM because it failed there. */
[[nodiscard]] bool is_avoided(const job_state& job, index vm) noexcept;

} // namespace rosemarytrail::placement::internal

#endif
