#include <rosemarytrail/state/takeover.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace rosemarytrail::state {

takeover::takeover(const freshness_options& options, record_number claim,
                   std::set<vm_id> vms,
                   std::vector<std::set<incarnation_id>> member_sets)
    : options_{options}
    , claim_{claim}
    , unsafe_vms_{std::move(vms)}
    , member_sets_{std::move(member_sets)}
{}

void takeover::claim_applied_by(const incarnation_id& member, time_point now)
{
    mark_reached(member, now);
}

void takeover::left_voluntarily(const incarnation_id& member, time_point now)
{
    mark_reached(member, now);
}

void takeover::fenced(const vm_id& vm)
{
    unsafe_vms_.erase(vm);
}

void takeover::declared_lost(const vm_id& vm)
{
    unsafe_vms_.erase(vm);
}

bool takeover::is_safe(const vm_id& vm, time_point now) const
{
    return !unsafe_vms_.contains(vm) || complete(now);
}

bool takeover::complete(time_point now) const
{
    const auto until = wait_ends_at();
    return unsafe_vms_.empty() || (until && now >= *until);
}

record_number takeover::claim() const noexcept
{
    return claim_;
}

const std::set<vm_id>& takeover::unsafe_vms() const noexcept
{
    return unsafe_vms_;
}

std::optional<time_point> takeover::wait_ends_at() const
{
    if (!majorities_reached_at_) {
        return std::nullopt;
    }
    return *majorities_reached_at_ + options_.news_period +
           options_.command_bound + options_.task_lease + options_.drift_margin;
}

void takeover::mark_reached(const incarnation_id& member, time_point now)
{
    reached_.insert(member);
    if (!majorities_reached_at_ && has_majorities()) {
        majorities_reached_at_ = now;
    }
}

bool takeover::has_majorities() const
{
    const auto by_majority = [this](const std::set<incarnation_id>& members) {
        const auto n = static_cast<std::size_t>(std::count_if(
            members.begin(), members.end(), [this](const incarnation_id& it) {
                return reached_.contains(it);
            }));
        return members.empty() || n > members.size() / 2;
    };
    return !member_sets_.empty() &&
           std::all_of(member_sets_.begin(), member_sets_.end(), by_majority);
}

} // namespace rosemarytrail::state
