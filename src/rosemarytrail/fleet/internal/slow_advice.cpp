#include <rosemarytrail/fleet/advice_reserve.hpp>
#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace rosemarytrail::fleet {

// Slow requests take a node for a second or more each. They go first to the
// steps that can start tasks now, and then to the steps that are served next
// when capacity is released.

std::map<std::string, resource_amounts>
dispatcher::state::largest_available(time_point now) const
{
    std::map<std::string, resource_amounts> result;
    for (const auto& [id, it] : workers) {
        if (!accepts_work(it, now)) {
            continue;
        }
        const auto left = it.available();
        auto& most = result[it.vm.service];
        most = {.cpu_millis = std::max(most.cpu_millis, left.cpu_millis),
                .memory_mb = std::max(most.memory_mb, left.memory_mb),
                .gpus = std::max(most.gpus, left.gpus)};
    }
    return result;
}

bool dispatcher::state::can_start_tasks(
    tracked_step& step, const std::map<std::string, resource_amounts>& largest,
    time_point now)
{
    if (!within_limit(*step.job, step.spec->demand)) {
        return false;
    }
    // A full cell with thousands of waiting steps is not searched for each.
    // Steps whose search failed pause, so that all have their turn.
    const auto most = largest.find(step.job->record.queue.service);
    if (most == largest.end() || !step.spec->reserved().fits(most->second)) {
        return false;
    }
    if (now < step.next_capacity_check || capacity_checks_left == 0) {
        return false;
    }
    --capacity_checks_left;
    const bool retried = now >= step.next_refused_retry;
    const bool found = std::ranges::any_of(workers, [&](const auto& it) {
        return (retried || !step.refused.contains(it.first)) &&
               can_accept(it.second, step, now);
    });
    if (!found) {
        step.next_capacity_check = now + options.capacity_check_interval;
    }
    return found;
}

bool dispatcher::state::needs_renewal(const tracked_step& step,
                                      time_point now) const
{
    const auto cost =
        advice_cost(*step.job->record.queue.advice, step.tickets.size());
    return step.tickets_until - cost <= now;
}

bool dispatcher::state::can_use_more_advice(
    tracked_step& step, const std::map<std::string, resource_amounts>& largest,
    time_point now)
{
    const bool renewal = !step.tickets.empty() && needs_renewal(step, now);
    const bool widening = !step.tickets.empty() && !renewal;
    if (!step.assigned_node.empty() ||
        (widening && (!step.ready || now < step.next_widening)) ||
        !can_start_tasks(step, largest, now)) {
        return false;
    }
    if (step.tickets.empty()) {
        return true;
    }
    if (renewal) {
        return can_use_advice(step, now);
    }
    step.next_widening = now + options.widen_interval;
    return has_more_candidates(step, now);
}

bool dispatcher::state::add_to_reserve(advice_reserve& reserve,
                                       const tracked_step& step) const
{
    const auto& name = step.job->record.account;
    const auto* account =
        config && !name.empty() ? config->find_account(name) : nullptr;
    return reserve.add(name,
                       account != nullptr ? account->limit : resource_amounts{},
                       step.spec->demand, step.waiting);
}

void dispatcher::state::request_slow_advice(std::span<const ranked_step> order,
                                            std::span<const std::string> pool,
                                            time_point now)
{
    if (order.empty()) {
        return;
    }
    const auto is_full = [this](const node_backlog& open) {
        return open.requests >= options.slow_requests_per_node;
    };
    const auto largest = largest_available(now);
    capacity_checks_left = options.capacity_checks_per_scan;
    const auto* node = least_loaded(pool, is_full, now);
    for (const auto& it : order) {
        // A step is checked only if its request could be sent: the checks are
        // limited in number, and steps that rank lower would take the node.
        if (node == nullptr) {
            return;
        }
        if (can_use_more_advice(*it.step, largest, now)) {
            open_request(*it.step, *node, now);
            node = least_loaded(pool, is_full, now);
        }
    }
    // Some nodes stay idle for steps that can start tasks soon, as they would
    // wait for a whole slow request otherwise.
    const auto kept_idle =
        pool.size() > 1 ? static_cast<std::ptrdiff_t>(
                              std::ceil(options.idle_slow_advice_share *
                                        static_cast<double>(pool.size())))
                        : 0;
    const auto is_busy = [](const node_backlog& open) {
        return open.requests > 0;
    };
    const auto choose_idle = [&] {
        const auto idle = std::ranges::count_if(
            pool, [&](const auto& it) { return !is_busy(open_requests[it]); });
        return idle > kept_idle ? least_loaded(pool, is_busy, now) : nullptr;
    };
    node = choose_idle();
    resource_amounts capacity;
    for (const auto& [id, it] : workers) {
        capacity += it.listed ? it.vm.capacity : resource_amounts{};
    }
    advice_reserve reserve{capacity};
    for (const auto& it : order) {
        if (node == nullptr) {
            return;
        }
        auto& step = *it.step;
        if (!add_to_reserve(reserve, step) || !step.assigned_node.empty() ||
            (!step.tickets.empty() && !needs_renewal(step, now))) {
            continue;
        }
        retry_refused(step, now);
        open_request(step, *node, now);
        node = choose_idle();
    }
}

} // namespace rosemarytrail::fleet
