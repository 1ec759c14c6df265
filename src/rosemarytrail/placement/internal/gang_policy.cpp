#include <rosemarytrail/placement/internal/gang_policy.hpp>

#include <algorithm>
#include <limits>

namespace rosemarytrail::placement::internal {

namespace {

/** @brief VM and the number of tasks that fit on it. */
struct place
{
    index vm{no_index};
    std::int64_t tasks{};
    float leftover{};
};

[[nodiscard]] std::int64_t times(std::int64_t room, std::int64_t each) noexcept
{
    return each > 0 ? room / each : std::numeric_limits<std::int64_t>::max();
}

[[nodiscard]] std::int64_t fitting(const resources& room, const resources& each,
                                   std::int64_t most) noexcept
{
    return std::min({most, times(room.millicores, each.millicores),
                     times(room.memory_mib, each.memory_mib),
                     times(room.accelerators, each.accelerators)});
}

[[nodiscard]] std::vector<place> places_of(const vm_table& vms,
                                           const job_state& job)
{
    const auto room = vms.room();
    const auto& request = job.spec.request;
    std::vector<place> places;
    for (index it = 0; it < room.size(); ++it) {
        if (!request.fits_in(room[it]) || is_avoided(job, it)) {
            continue;
        }
        const auto n = fitting(room[it], request,
                               static_cast<std::int64_t>(job.ready.size()));
        places.push_back(
            {.vm = it, .tasks = n, .leftover = vms.leftover(it, request)});
    }
    return places;
}

/** @return The rack with the least room that is enough, or `no_index`. */
[[nodiscard]] index tightest_rack(const vm_table& vms,
                                  const std::vector<place>& places,
                                  std::int64_t needed)
{
    std::vector<std::int64_t> by_rack(vms.racks());
    for (const auto& it : places) {
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

void fill(std::vector<place>& places, std::size_t needed,
          std::vector<index>& chosen)
{
    std::sort(places.begin(), places.end(), [](const auto& a, const auto& b) {
        return a.leftover < b.leftover;
    });
    for (const auto& it : places) {
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
    auto places = places_of(vms, job);
    std::int64_t total = 0;
    for (const auto& it : places) {
        total += it.tasks;
    }
    if (total < needed) {
        return false;
    }
    const index rack = tightest_rack(vms, places, needed);
    if (rack != no_index) {
        std::erase_if(places,
                      [&](const place& it) { return vms[it.vm].rack != rack; });
    }
    fill(places, job.ready.size(), chosen);
    return true;
}

} // namespace rosemarytrail::placement::internal
