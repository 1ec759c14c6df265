#include <rosemarytrail/placement/internal/batch_policy.hpp>
#include <rosemarytrail/placement/internal/gang_policy.hpp>
#include <rosemarytrail/placement/internal/service_policy.hpp>

#include <algorithm>

namespace rosemarytrail::placement::internal {

const placement_policy& policy_for(job_class policy) noexcept
{
    static const service_policy service;
    static const batch_policy batch;
    static const gang_policy gang;
    switch (policy) {
    case job_class::service:
        return service;
    case job_class::gang:
        return gang;
    case job_class::batch:
        break;
    }
    return batch;
}

bool is_avoided(const job_state& job, index vm) noexcept
{
    const auto& list = job.avoided;
    return std::find(list.begin(), list.end(), vm) != list.end();
}

} // namespace rosemarytrail::placement::internal
