#include <rosemarytrail/placement/internal/team_table.hpp>

namespace rosemarytrail::placement::internal {

namespace {

constexpr double team_retry_burst = 200.0;
constexpr double team_retries_per_second = 20.0;
constexpr double min_weight = 1e-6;

} // namespace

index team_table::intern(const team_id& team)
{
    const index n = ids_.intern(team);
    if (n >= teams_.size()) {
        teams_.resize(n + 1);
        teams_[n].view.team = team;
        teams_[n].budget = {team_retry_burst, team_retries_per_second};
    }
    return n;
}

void team_table::upsert(const team_view& view)
{
    const index n = intern(view.team);
    auto& team = teams_[n];
    const bool has_changed = !(view.allowance == team.view.allowance);
    team.view = view;
    team.share = share_with(n, {});
    team.urgent.is_dirty = team.urgent.is_dirty || has_changed;
    team.normal.is_dirty = team.normal.is_dirty || has_changed;
}

void team_table::set_fleet(const fleet_totals& totals)
{
    fleet_ = totals;
    for (index it = 0; it < teams_.size(); ++it) {
        teams_[it].share = share_with(it, {});
    }
}

void team_table::use(index team, const resources& amount)
{
    auto& state = teams_[team];
    state.used += amount;
    state.share = share_with(team, {});
}

double team_table::share_with(index team, const resources& more) const
{
    const auto& state = teams_[team];
    const auto total = state.used + state.view.used_elsewhere + more;
    const double weight = std::max(state.view.weight, min_weight);
    return dominant_share(total, fleet_.capacity) / weight;
}

} // namespace rosemarytrail::placement::internal
