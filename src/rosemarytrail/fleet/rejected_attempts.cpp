#include <rosemarytrail/fleet/rejected_attempts.hpp>

namespace rosemarytrail::fleet {

void rejected_attempts::record(std::uint64_t job, time_point now)
{
    while (!order_.empty() && now - order_.front().first > retention) {
        first_.erase(order_.front().second);
        order_.pop_front();
    }
    if (!first_.try_emplace(job, now).second) {
        return;
    }
    order_.emplace_back(now, job);
    if (order_.size() > max_jobs) {
        first_.erase(order_.front().second);
        order_.pop_front();
    }
}

duration rejected_attempts::age(std::uint64_t job, time_point now) const
{
    const auto it = first_.find(job);
    return it == first_.end() || now - it->second > retention
               ? duration{}
               : now - it->second;
}

} // namespace rosemarytrail::fleet
