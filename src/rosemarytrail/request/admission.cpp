#include <rosemarytrail/request/admission.hpp>

#include <algorithm>
#include <cmath>

namespace rosemarytrail::request {

namespace {

/** @brief Shortest and usual wait that a refusal asks for. */
constexpr duration overload_wait{std::chrono::milliseconds{100}};

double weight_of(const std::map<team_id, double>& weights, const team_id& team)
{
    const auto it = weights.find(team);
    return it == weights.end() ? 1.0 : it->second;
}

} // namespace

admission::admission(const admission_options& options)
    : options_{options}
{}

bool admission::take_rate(const std::string& account, time_point now,
                          reason& why)
{
    const std::lock_guard lock{mutex_};
    auto it = rates_.find(account);
    if (it == rates_.end()) {
        forget_idle(now);
        const double burst =
            std::max(1.0, options_.account_rate * options_.burst_seconds);
        it = rates_.try_emplace(account, options_.account_rate, burst, now)
                 .first;
    }
    if (it->second.take(now)) {
        return true;
    }
    why = {.code = result_code::account_over_limit,
           .detail = "account " + account + " is over its rate",
           .retry_after = it->second.wait()};
    return false;
}

bool admission::enter(const std::string& account, reason& why)
{
    const std::lock_guard lock{mutex_};
    if (in_flight_ >= options_.in_flight) {
        why = {.code = result_code::overloaded, .retry_after = overload_wait};
        return false;
    }
    auto& n = accounts_[account];
    if (n >= options_.account_in_flight) {
        why = {.code = result_code::account_over_limit,
               .detail = "account " + account + " has too many in flight",
               .retry_after = overload_wait};
        return false;
    }
    ++n;
    ++in_flight_;
    return true;
}

void admission::leave(const std::string& account)
{
    const std::lock_guard lock{mutex_};
    const auto it = accounts_.find(account);
    --in_flight_;
    if (--it->second == 0) {
        accounts_.erase(it);
    }
}

bool admission::has_place(const service_place& place,
                          const std::map<team_id, double>& weights,
                          reason& why) const
{
    const std::lock_guard lock{mutex_};
    return fits(place, weights, why);
}

bool admission::enter_service(const service_place& place,
                              const std::map<team_id, double>& weights,
                              reason& why)
{
    const std::lock_guard lock{mutex_};
    if (!fits(place, weights, why)) {
        return false;
    }
    auto& load = services_[place.service];
    ++load.in_flight;
    ++load.teams[place.team];
    return true;
}

void admission::leave_service(const service_place& place)
{
    const std::lock_guard lock{mutex_};
    const auto it = services_.find(place.service);
    auto& load = it->second;
    const auto team = load.teams.find(place.team);
    if (--team->second == 0) {
        load.teams.erase(team);
    }
    if (--load.in_flight == 0) {
        services_.erase(it);
    }
}

bool admission::fits(const service_place& place,
                     const std::map<team_id, double>& weights,
                     reason& why) const
{
    if (place.capacity == 0) {
        why = {.code = result_code::no_upstream, .retry_after = overload_wait};
        return false;
    }
    const auto it = services_.find(place.service);
    if (it == services_.end()) {
        return true;
    }
    const auto& load = it->second;
    if (load.in_flight >= place.capacity) {
        why = {.code = result_code::overloaded,
               .detail = "all places of the service are taken",
               .retry_after = overload_wait};
        return false;
    }
    if (load.in_flight < options_.open_fraction * place.capacity) {
        return true;
    }
    double sum = 0.0;
    for (const auto& [team, n] : load.teams) {
        sum += weight_of(weights, team);
    }
    const auto own = load.teams.find(place.team);
    const std::uint32_t used = own == load.teams.end() ? 0 : own->second;
    const double weight = weight_of(weights, place.team);
    sum += used == 0 ? weight : 0.0;
    if (used < std::ceil(place.capacity * weight / sum)) {
        return true;
    }
    why = {.code = result_code::team_over_share,
           .detail = "team " + place.team.str() + " is over its share",
           .retry_after = overload_wait};
    return false;
}

void admission::forget_idle(time_point now)
{
    if (rates_.size() < options_.accounts) {
        return;
    }
    std::erase_if(rates_,
                  [now](const auto& it) { return it.second.full(now); });
}

} // namespace rosemarytrail::request
