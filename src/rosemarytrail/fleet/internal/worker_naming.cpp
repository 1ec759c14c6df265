#include <rosemarytrail/fleet/internal/books.hpp>

#include <algorithm>

namespace rosemarytrail::fleet {

std::size_t dispatcher::books::tasks_that_fit(const worker_book& worker,
                                              const step_book& step,
                                              time_point now) const
{
    if (!is_usable(worker, step, now)) {
        return 0;
    }
    const auto need = step.spec->reserved();
    const auto left = worker.available();
    auto n = static_cast<std::int64_t>(step.waiting);
    const auto bound = [&n](std::int64_t available, std::int64_t each) {
        if (each > 0) {
            n = std::min(n, available / each);
        }
    };
    bound(left.cpu_millis, need.cpu_millis);
    bound(left.memory_mb, need.memory_mb);
    bound(left.gpus, need.gpus);
    if (step.spec->tasks_per_vm > 0) {
        n = std::min<std::int64_t>(n, step.spec->tasks_per_vm);
    }
    return n > 0 ? static_cast<std::size_t>(n) : 0;
}

// Limits the workers in a request to those that the waiting tasks are likely to
// need, the ones with available capacity first: a cell may have more workers
// than a request accepts, and its cost grows with each worker. Refused workers
// are not requested again.
std::vector<std::string>
dispatcher::books::workers_to_name(const step_book& step, time_point now) const
{
    struct candidate
    {
        const std::string* id{};
        double tasks{};
    };
    const auto known = granted_share.find(step.job->record.queue.name);
    const auto share =
        known == granted_share.end() ? options.granted_share : known->second;
    std::vector<candidate> order;
    for (const auto& [id, it] : workers) {
        if (!it.listed || it.vm.draining ||
            it.vm.service != step.job->record.queue.service) {
            continue;
        }
        const bool granted = step.granted.contains(id);
        if (step.refused.contains(id)) {
            continue;
        }
        const auto tasks =
            std::max(static_cast<double>(tasks_that_fit(it, step, now)),
                     options.full_worker_tasks);
        order.push_back({.id = &id, .tasks = granted ? tasks : tasks * share});
    }
    // Each step starts at a different offset, so that concurrent steps don't
    // request the same workers.
    if (!order.empty()) {
        const auto first = key_hash{}(step.key) % order.size();
        std::rotate(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(first),
                    order.end());
    }
    std::ranges::stable_sort(order, std::ranges::greater{}, &candidate::tasks);
    const auto wanted = options.named_room * static_cast<double>(step.waiting);
    std::vector<std::string> result;
    double tasks = 0;
    for (const auto& it : order) {
        if (result.size() >= workers_per_question ||
            (result.size() >= options.named_least && tasks >= wanted)) {
            break;
        }
        result.push_back(*it.id);
        tasks += it.tasks;
    }
    return result;
}

// Checks whether only workers without a ticket have capacity for the step, and
// at least one of them was not refused.
bool dispatcher::books::has_more_to_ask(const step_book& step,
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
