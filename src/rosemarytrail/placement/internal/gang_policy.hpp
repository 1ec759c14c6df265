#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_GANG_POLICY_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_GANG_POLICY_HPP

#include <rosemarytrail/placement/internal/placement_policy.hpp>

namespace rosemarytrail::placement::internal {

/** @brief Places all tasks of a job or none, in a single rack if possible. */
class gang_policy final : public placement_policy
{
public:
    [[nodiscard]] bool choose(const vm_table& vms, const job_state& job,
                              time_point now,
                              std::vector<index>& chosen) const override;
};

} // namespace rosemarytrail::placement::internal

#endif
