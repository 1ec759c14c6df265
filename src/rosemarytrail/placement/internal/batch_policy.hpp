#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_BATCH_POLICY_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_BATCH_POLICY_HPP

#include <rosemarytrail/placement/internal/placement_policy.hpp>

namespace rosemarytrail::placement::internal {

/** @brief Packs tasks onto few VMs, so that whole VMs become free. */
class batch_policy final : public placement_policy
{
public:
    [[nodiscard]] bool choose(const vm_table& vms, const job_state& job,
                              time_point now,
                              std::vector<index>& chosen) const override;
};

} // namespace rosemarytrail::placement::internal

#endif
