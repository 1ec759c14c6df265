#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_PLACEMENT_POLICY_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_PLACEMENT_POLICY_HPP

#include <rosemarytrail/placement/internal/job_table.hpp>
#include <rosemarytrail/placement/internal/vm_table.hpp>

#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Selects VMs for the tasks of a job. */
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /**
     * @brief Selects VMs for tasks that start now.
     * @param vms VMs and their available capacity.
     * @param job Job with at least one ready task.
     * @param now Current time.
     * @param chosen Set to one VM per task to start, in start order; cleared
     * if there is not enough capacity.
     * @return True if there is enough capacity.
     */
    [[nodiscard]] virtual bool choose(const vm_table& vms, const job_state& job,
                                      time_point now,
                                      std::vector<index>& chosen) const = 0;
};

/** @return Policy of a job class, with static lifetime. */
[[nodiscard]] const placement_policy& policy_for(job_class policy) noexcept;

/**
 * @return True if a job avoids a VM because a task failed or straggled there.
 */
[[nodiscard]] bool is_avoided(const job_state& job, index vm) noexcept;

} // namespace rosemarytrail::placement::internal

#endif
