#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_SERVICE_POLICY_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_SERVICE_POLICY_HPP

#include <rosemarytrail/placement/internal/placement_policy.hpp>

namespace rosemarytrail::placement::internal {

/** @brief Spreads tasks over availability zones, racks and VMs. */
class service_policy final : public placement_policy
{
public:
    [[nodiscard]] bool choose(const vm_table& vms, const job_state& job,
                              time_point now,
                              std::vector<index>& chosen) const override;
};

} // namespace rosemarytrail::placement::internal

#endif
