#include <rosemarytrail/request/admission.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace rosemarytrail::request {

namespace {

/** @brief Default retry delay of a rejection. */
constexpr duration overload_retry_delay{std::chrono::milliseconds{100}};

double weight_of(const std::map<team_id, double>& weights, const team_id& team)
{
    const auto it = weights.find(team);
    return it == weights.end() ? 1.0 : it->second;
}

} // namespace

const admission::service_load& admission::empty_load()
{
    static const service_load load;
    return load;
}

admission::admission(const admission_options& options)
    : options_{options}
{}

bool admission::take_rate_token(const std::string& account, time_point now,
                                reason& why)
{
    const std::lock_guard lock{mutex_};
    auto it = rates_.find(account);
    if (it == rates_.end()) {
        evict_idle(now);
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
        why = {.code = result_code::overloaded,
               .retry_after = overload_retry_delay};
        return false;
    }
    auto& n = accounts_[account];
    if (n >= options_.account_in_flight) {
        why = {.code = result_code::account_over_limit,
               .detail =
                   "account " + account + " has too many requests in flight",
               .retry_after = overload_retry_delay};
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

bool admission::has_slot(const service_slot& slot,
                         const std::map<team_id, double>& weights,
                         reason& why) const
{
    const std::lock_guard lock{mutex_};
    const auto it = services_.find(slot.service);
    const auto& load = it == services_.end() ? empty_load() : it->second;
    return fits(load, slot, weights, why) || may_wait(load, slot, weights);
}

slot_result admission::enter_service(const service_slot& slot,
                                     const std::map<team_id, double>& weights,
                                     time_point now,
                                     std::function<void(bool taken)> notify,
                                     reason& why)
{
    const std::lock_guard lock{mutex_};
    auto& load = services_[slot.service];
    if (fits(load, slot, weights, why)) {
        take(slot);
        return slot_result::taken;
    }
    if (!may_wait(load, slot, weights)) {
        return slot_result::refused;
    }
    ++load.teams[slot.team].waiting;
    ++waiting_;
    load.waiting.push_back({.slot = slot,
                            .weights = &weights,
                            .deadline = now + options_.max_wait,
                            .notify = std::move(notify)});
    return slot_result::waiting;
}

std::vector<slot_notification>
admission::leave_service(const service_slot& slot, time_point now)
{
    std::vector<slot_notification> notifications;
    const std::lock_guard lock{mutex_};
    const auto it = services_.find(slot.service);
    auto& load = it->second;
    --load.teams[slot.team].in_flight;
    --load.in_flight;
    expire(load, now, notifications);
    admit_waiting(load, notifications);
    std::erase_if(load.teams, [](const auto& team) {
        return team.second.in_flight + team.second.waiting == 0;
    });
    if (load.teams.empty()) {
        services_.erase(it);
    }
    return notifications;
}

std::vector<slot_notification> admission::expire(time_point now)
{
    std::vector<slot_notification> notifications;
    const std::lock_guard lock{mutex_};
    if (waiting_ == 0) {
        return notifications;
    }
    for (auto& [service, load] : services_) {
        expire(load, now, notifications);
    }
    return notifications;
}

void admission::take(const service_slot& slot)
{
    auto& load = services_[slot.service];
    ++load.in_flight;
    ++load.teams[slot.team].in_flight;
}

void admission::expire(service_load& load, time_point now,
                       std::vector<slot_notification>& notifications)
{
    while (!load.waiting.empty() && load.waiting.front().deadline <= now) {
        auto& it = load.waiting.front();
        --load.teams[it.slot.team].waiting;
        --waiting_;
        notifications.push_back({.notify = std::move(it.notify)});
        load.waiting.pop_front();
    }
}

void admission::admit_waiting(service_load& load,
                              std::vector<slot_notification>& notifications)
{
    reason why;
    auto it = load.waiting.begin();
    while (it != load.waiting.end()) {
        auto& team = load.teams[it->slot.team];
        // A queued request must not count against its own team's load.
        --team.waiting;
        if (!fits(load, it->slot, *it->weights, why)) {
            ++team.waiting;
            ++it;
            continue;
        }
        take(it->slot);
        --waiting_;
        notifications.push_back(
            {.notify = std::move(it->notify), .taken = true});
        it = load.waiting.erase(it);
    }
}

double admission::share(const service_load& load, const service_slot& slot,
                        const std::map<team_id, double>& weights)
{
    double sum = 0.0;
    for (const auto& [team, n] : load.teams) {
        sum += weight_of(weights, team);
    }
    const double weight = weight_of(weights, slot.team);
    sum += load.teams.contains(slot.team) ? 0.0 : weight;
    return std::ceil(slot.capacity * weight / sum);
}

bool admission::fits(const service_load& load, const service_slot& slot,
                     const std::map<team_id, double>& weights,
                     reason& why) const
{
    if (slot.capacity == 0) {
        why = {.code = result_code::no_upstream,
               .retry_after = overload_retry_delay};
        return false;
    }
    if (load.in_flight >= slot.capacity) {
        why = {.code = result_code::overloaded,
               .detail = "all slots of the service are in use",
               .retry_after = overload_retry_delay};
        return false;
    }
    if (load.in_flight < options_.open_fraction * slot.capacity) {
        return true;
    }
    const auto own = load.teams.find(slot.team);
    const auto used = own == load.teams.end() ? 0 : own->second.in_flight;
    if (used < share(load, slot, weights)) {
        return true;
    }
    why = {.code = result_code::team_over_share,
           .detail = "team " + slot.team.str() + " exceeds its share",
           .retry_after = overload_retry_delay};
    return false;
}

bool admission::may_wait(const service_load& load, const service_slot& slot,
                         const std::map<team_id, double>& weights) const
{
    const auto own = load.teams.find(slot.team);
    const auto used = own == load.teams.end()
                          ? 0
                          : own->second.in_flight + own->second.waiting;
    return used <
           (1.0 + options_.max_waiting_fraction) * share(load, slot, weights);
}

void admission::evict_idle(time_point now)
{
    if (rates_.size() < options_.accounts) {
        return;
    }
    std::erase_if(rates_,
                  [now](const auto& it) { return it.second.full(now); });
}

} // namespace rosemarytrail::request
