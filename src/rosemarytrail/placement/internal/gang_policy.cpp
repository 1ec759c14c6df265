#include <rosemarytrail/placement/internal/gang_policy.hpp>

#include <algorithm>
#include <limits>

namespace rosemarytrail::placement::internal {

namespace {

/** @brief Number of tasks that fit on a VM. */
struct vm_slots
{
    index vm{no_index};
    std::int64_t tasks{};
    float leftover{};
};

[[nodiscard]] std::int64_t quotient(std::int64_t available,
                                    std::int64_t each) noexcept
{
    return each > 0 ? available / each
                    : std::numeric_limits<std::int64_t>::max();
}

[[nodiscard]] std::int64_t fitting_tasks(const resources& available,
                                         const resources& each,
                                         std::int64_t max_tasks) noexcept
{
    return std::min({max_tasks, quotient(available.millicores, each.millicores),
                     quotient(available.memory_mib, each.memory_mib),
                     quotient(available.accelerators, each.accelerators)});
}

[[nodiscard]] std::vector<vm_slots> find_candidates(const vm_table& vms,
                                                    const job_state& job)
{
    const auto available = vms.available();
    const auto& request = job.spec.request;
    std::vector<vm_slots> candidates;
    for (index it = 0; it < available.size(); ++it) {
        if (!request.fits_in(available[it]) || is_avoided(job, it)) {
            continue;
        }
        const auto n =
            fitting_tasks(available[it], request,
                          static_cast<std::int64_t>(job.ready.size()));
        candidates.push_back(
            {.vm = it, .tasks = n, .leftover = vms.leftover(it, request)});
    }
    return candidates;
}

/**
 * @return Rack with the fewest slots that still fits all tasks, or `no_index`.
 */
[[nodiscard]] index tightest_rack(const vm_table& vms,
                                  const std::vector<vm_slots>& candidates,
                                  std::int64_t needed)
{
    std::vector<std::int64_t> by_rack(vms.racks());
    for (const auto& it : candidates) {
        by_rack[vms[it.vm].rack] += it.tasks;
    }
    index best = no_index;
    for (index it = 0; it < by_rack.size(); ++it) {
        const bool is_enough = by_rack[it] >= needed;
        if (is_enough && (best == no_index || by_rack[it] < by_rack[best])) {
            best = it;
        }
    }
    return best;
}

void fill(std::vector<vm_slots>& candidates, std::size_t needed,
          std::vector<index>& chosen)
{
    std::sort(
        candidates.begin(), candidates.end(),
        [](const auto& a, const auto& b) { return a.leftover < b.leftover; });
    for (const auto& it : candidates) {
        const auto n = std::min(static_cast<std::size_t>(it.tasks),
                                needed - chosen.size());
        chosen.insert(chosen.end(), n, it.vm);
    }
}

} // namespace

bool gang_policy::choose(const vm_table& vms, const job_state& job, time_point,
                         std::vector<index>& chosen) const
{
    chosen.clear();
    const auto needed = static_cast<std::int64_t>(job.ready.size());
    auto candidates = find_candidates(vms, job);
    std::int64_t total = 0;
    for (const auto& it : candidates) {
        total += it.tasks;
    }
    if (total < needed) {
        return false;
    }
    const index rack = tightest_rack(vms, candidates, needed);
    if (rack != no_index) {
        std::erase_if(candidates, [&](const vm_slots& it) {
            return vms[it.vm].rack != rack;
        });
    }
    fill(candidates, job.ready.size(), chosen);
    return true;
}

} // namespace rosemarytrail::placement::internal
