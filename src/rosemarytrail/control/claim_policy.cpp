#include <rosemarytrail/control/claim_policy.hpp>

namespace rosemarytrail::control {

duration claim_policy::claim_delay(holder_condition holder,
                                   bool majority) const noexcept
{
    switch (holder) {
    case holder_condition::none:
    case holder_condition::draining:
        return duration::zero();
    case holder_condition::alive:
        return options_.rebalance_after;
    default:
        return majority ? options_.takeover_after : options_.isolated_after;
    }
}

bool claim_policy::should_claim(partition_id partition, bool wanted,
                                holder_condition holder, bool majority,
                                time_point now)
{
    if (!wanted || holder == holder_condition::self) {
        wanted_since_.erase(partition);
        last_.erase(partition);
        return false;
    }
    const auto since = wanted_since_.try_emplace(partition, now).first;
    if (const auto known = last_.find(partition);
        known != last_.end() && known->second != holder) {
        since->second = now;
    }
    last_[partition] = holder;
    if (pending_.contains(partition) ||
        now - since->second < claim_delay(holder, majority)) {
        return false;
    }
    if (holder == holder_condition::alive) {
        if (now - last_rebalance_ < options_.takeover_after) {
            return false;
        }
        last_rebalance_ = now;
    }
    return true;
}

void claim_policy::set_pending(partition_id partition, bool pending)
{
    if (pending) {
        pending_.insert(partition);
        return;
    }
    pending_.erase(partition);
}

} // namespace rosemarytrail::control
