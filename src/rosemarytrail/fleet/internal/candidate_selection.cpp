#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace rosemarytrail::fleet {

std::uint32_t internal::tasks_allowed_on(const tracked_worker& worker,
                                         const tracked_step& step)
{
    const auto limit = step.spec->tasks_per_vm;
    if (limit == 0) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    // The load is ordered by step.
    std::uint32_t here = 0;
    for (auto it = worker.load.lower_bound({.step = step.key});
         it != worker.load.end() && it->step == step.key && here < limit;
         ++it) {
        ++here;
    }
    return limit - here;
}

std::size_t dispatcher::state::tasks_that_fit(const tracked_worker& worker,
                                              const tracked_step& step,
                                              time_point now) const
{
    if (!is_reachable(worker) || !is_of_kind(worker, step)) {
        return 0;
    }
    if (worker.health.set_aside(now)) {
        if (!can_accept(worker, step, now)) {
            return 0;
        }
        if (!step.spec->gang) {
            return 1;
        }
    }
    const auto demand = step.spec->reserved();
    const auto left = worker.available();
    auto n = static_cast<std::int64_t>(step.waiting);
    const auto bound = [&n](std::int64_t available, std::int64_t each) {
        if (each > 0) {
            n = std::min(n, available / each);
        }
    };
    bound(left.cpu_millis, demand.cpu_millis);
    bound(left.memory_mb, demand.memory_mb);
    bound(left.gpus, demand.gpus);
    n = std::min<std::int64_t>(n, internal::tasks_allowed_on(worker, step));
    return n > 0 ? static_cast<std::size_t>(n) : 0;
}

// Limits the workers in a request to those that the waiting tasks are likely to
// need, the ones with available capacity first: a cell may have more workers
// than a request accepts, and its cost grows with each worker. Refused workers
// are not requested again.
std::vector<std::string>
dispatcher::state::select_candidates(const tracked_step& step,
                                     time_point now) const
{
    struct candidate
    {
        const std::string* id{};
        /** @brief It has capacity for a task of the step now. */
        bool has_capacity{false};
        /** @brief Expected number of tasks that it takes. */
        double tasks{};
    };
    const auto known = granted_share.find(step.job->record.queue.name);
    const auto share =
        known == granted_share.end() ? options.granted_share : known->second;
    std::vector<candidate> order;
    for (const auto& [id, it] : workers) {
        if (!it.listed || it.closing() ||
            it.vm.service != step.job->record.queue.service) {
            continue;
        }
        const bool granted = step.granted.contains(id);
        if (step.refused.contains(id)) {
            continue;
        }
        const auto fitting = tasks_that_fit(it, step, now);
        const auto tasks = fitting > 0 ? static_cast<double>(fitting)
                                       : options.full_worker_tasks;
        order.push_back({.id = &id,
                         .has_capacity = fitting > 0,
                         .tasks = granted ? tasks : tasks * share});
    }
    // Each step starts at a different offset, so that concurrent steps don't
    // request the same workers.
    if (!order.empty()) {
        const auto first = key_hash{}(step.key) % order.size();
        std::rotate(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(first),
                    order.end());
    }
    // A full worker may stay full for as long as the step runs, so it is named
    // only after all others.
    std::ranges::stable_sort(order, std::ranges::greater{},
                             [](const candidate& it) {
                                 return std::pair{it.has_capacity, it.tasks};
                             });
    const auto wanted =
        options.requested_capacity_factor * static_cast<double>(step.waiting);
    std::vector<std::string> result;
    double tasks = 0;
    for (const auto& it : order) {
        if (result.size() >= max_workers_per_request ||
            (result.size() >= options.min_requested_workers &&
             tasks >= wanted)) {
            break;
        }
        result.push_back(*it.id);
        tasks += it.tasks;
    }
    return result;
}

// Checks whether only workers without a ticket have capacity for the step, and
// at least one of them was not refused.
bool dispatcher::state::has_more_candidates(const tracked_step& step,
                                            time_point now) const
{
    bool more = false;
    for (const auto& [id, it] : workers) {
        if (tasks_that_fit(it, step, now) == 0) {
            continue;
        }
        if (step.tickets.contains(id)) {
            return false;
        }
        more = more || !step.refused.contains(id);
    }
    return more;
}

} // namespace rosemarytrail::fleet
