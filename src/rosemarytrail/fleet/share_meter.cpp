#include <rosemarytrail/fleet/share_meter.hpp>

#include <algorithm>

namespace rosemarytrail::fleet {

namespace {

/** @brief Burst that an account may submit at once, in seconds of its
 * weight. */
constexpr double burst_s = 3.0;

} // namespace

double share_meter::level(const bucket& it, double weight,
                          time_point now) noexcept
{
    const std::chrono::duration<double> passed = now - it.at;
    return std::max(0.0, it.used - passed.count() * weight);
}

void share_meter::record(const std::string& account, double weight,
                         time_point now)
{
    auto& it = buckets_[account];
    // The level is capped, so that jobs beyond the share don't count against
    // later ones.
    it.used = std::min(level(it, weight, now) + 1, burst_s * weight);
    it.at = now;
}

bool share_meter::beyond(const std::string& account, double weight,
                         time_point now) const
{
    const auto it = buckets_.find(account);
    return weight > 0 && it != buckets_.end() &&
           level(it->second, weight, now) + 1 > burst_s * weight;
}

} // namespace rosemarytrail::fleet
