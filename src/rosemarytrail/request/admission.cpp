#include <rosemarytrail/request/admission.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace rosemarytrail::request {

namespace {

/** @brief Default retry delay of a rejection. */
constexpr duration overload_wait{std::chrono::milliseconds{100}};

double weight_of(const std::map<team_id, double>& weights, const team_id& team)
{
    const auto it = weights.find(team);
    return it == weights.end() ? 1.0 : it->second;
}

} // namespace

const admission::service_load& admission::no_load()
{
    static const service_load load;
    return load;
}

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
           .detail = "account " + account + " exceeds its rate limit",
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
               .detail =
                   "account " + account + " has too many requests in flight",
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
    const auto it = services_.find(place.service);
    const auto& load = it == services_.end() ? no_load() : it->second;
    return fits(load, place, weights, why) || may_wait(load, place, weights);
}

place_answer admission::enter_service(const service_place& place,
                                      const std::map<team_id, double>& weights,
                                      time_point now,
                                      std::function<void(bool taken)> tell,
                                      reason& why)
{
    const std::lock_guard lock{mutex_};
    auto& load = services_[place.service];
    if (fits(load, place, weights, why)) {
        take(place);
        return place_answer::taken;
    }
    if (!may_wait(load, place, weights)) {
        return place_answer::refused;
    }
    ++load.teams[place.team].waiting;
    ++waiting_;
    load.waiting.push_back({.place = place,
                            .weights = &weights,
                            .until = now + options_.longest_wait,
                            .tell = std::move(tell)});
    return place_answer::waiting;
}

std::vector<place_news> admission::leave_service(const service_place& place,
                                                 time_point now)
{
    std::vector<place_news> news;
    const std::lock_guard lock{mutex_};
    const auto it = services_.find(place.service);
    auto& load = it->second;
    --load.teams[place.team].in_flight;
    --load.in_flight;
    expire(load, now, news);
    admit_waiting(load, news);
    std::erase_if(load.teams, [](const auto& team) {
        return team.second.in_flight + team.second.waiting == 0;
    });
    if (load.teams.empty()) {
        services_.erase(it);
    }
    return news;
}

std::vector<place_news> admission::expire(time_point now)
{
    std::vector<place_news> news;
    const std::lock_guard lock{mutex_};
    if (waiting_ == 0) {
        return news;
    }
    for (auto& [service, load] : services_) {
        expire(load, now, news);
    }
    return news;
}

void admission::take(const service_place& place)
{
    auto& load = services_[place.service];
    ++load.in_flight;
    ++load.teams[place.team].in_flight;
}

void admission::expire(service_load& load, time_point now,
                       std::vector<place_news>& news)
{
    while (!load.waiting.empty() && load.waiting.front().until <= now) {
        auto& it = load.waiting.front();
        --load.teams[it.place.team].waiting;
        --waiting_;
        news.push_back({.tell = std::move(it.tell)});
        load.waiting.pop_front();
    }
}

void admission::admit_waiting(service_load& load, std::vector<place_news>& news)
{
    reason why;
    auto it = load.waiting.begin();
    while (it != load.waiting.end()) {
        auto& team = load.teams[it->place.team];
        // A queued request must not count against its own team's load.
        --team.waiting;
        if (!fits(load, it->place, *it->weights, why)) {
            ++team.waiting;
            ++it;
            continue;
        }
        take(it->place);
        --waiting_;
        news.push_back({.tell = std::move(it->tell), .taken = true});
        it = load.waiting.erase(it);
    }
}

double admission::share(const service_load& load, const service_place& place,
                        const std::map<team_id, double>& weights)
{
    double sum = 0.0;
    for (const auto& [team, n] : load.teams) {
        sum += weight_of(weights, team);
    }
    const double weight = weight_of(weights, place.team);
    sum += load.teams.contains(place.team) ? 0.0 : weight;
    return std::ceil(place.capacity * weight / sum);
}

bool admission::fits(const service_load& load, const service_place& place,
                     const std::map<team_id, double>& weights,
                     reason& why) const
{
    if (place.capacity == 0) {
        why = {.code = result_code::no_upstream, .retry_after = overload_wait};
        return false;
    }
    if (load.in_flight >= place.capacity) {
        why = {.code = result_code::overloaded,
               .detail = "all slots of the service are in use",
               .retry_after = overload_wait};
        return false;
    }
    if (load.in_flight < options_.open_fraction * place.capacity) {
        return true;
    }
    const auto own = load.teams.find(place.team);
    const auto used = own == load.teams.end() ? 0 : own->second.in_flight;
    if (used < share(load, place, weights)) {
        return true;
    }
    why = {.code = result_code::team_over_share,
           .detail = "team " + place.team.str() + " exceeds its share",
           .retry_after = overload_wait};
    return false;
}

bool admission::may_wait(const service_load& load, const service_place& place,
                         const std::map<team_id, double>& weights) const
{
    const auto own = load.teams.find(place.team);
    const auto used = own == load.teams.end()
                          ? 0
                          : own->second.in_flight + own->second.waiting;
    return used <
           (1.0 + options_.waiting_fraction) * share(load, place, weights);
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
