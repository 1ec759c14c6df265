#include <rosemarytrail/fleet/advice_request.hpp>

#include <chrono>

namespace rosemarytrail::fleet {

duration advice_cost(const advice_policy& policy, std::size_t workers)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{
            policy.base_ms +
            policy.per_worker_ms * static_cast<double>(workers)});
}

} // namespace rosemarytrail::fleet
