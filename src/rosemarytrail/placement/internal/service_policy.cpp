#include <rosemarytrail/placement/internal/service_policy.hpp>

#include <algorithm>
#include <tuple>

namespace rosemarytrail::placement::internal {

namespace {

/** @brief Cost of placing one more task on a VM; the lowest is chosen. */
struct spread_score
{
    bool is_suspect{};
    std::uint32_t in_zone{};
    std::uint32_t in_rack{};
    std::uint32_t on_vm{};
    float leftover{};

    [[nodiscard]] auto order() const noexcept
    {
        return std::tie(is_suspect, in_zone, in_rack, on_vm, leftover);
    }
};

[[nodiscard]] std::uint32_t at(const std::vector<std::uint32_t>& counts,
                               index n) noexcept
{
    return n < counts.size() ? counts[n] : 0;
}

[[nodiscard]] std::uint32_t tasks_on(const job_state& job, index vm) noexcept
{
    return static_cast<std::uint32_t>(
        std::count_if(job.tasks.begin(), job.tasks.end(),
                      [&](const task_state& it) { return it.vm == vm; }));
}

[[nodiscard]] spread_score score_of(const vm_table& vms, const job_state& job,
                                    index vm)
{
    const auto& state = vms[vm];
    const auto in_rack = at(job.by_rack, state.rack);
    return {.is_suspect = state.suspect,
            .in_zone = at(job.by_zone, state.zone),
            .in_rack = in_rack,
            .on_vm = in_rack > 0 ? tasks_on(job, vm) : 0,
            .leftover = vms.leftover(vm, job.spec.request)};
}

} // namespace

bool service_policy::choose(const vm_table& vms, const job_state& job,
                            time_point, std::vector<index>& chosen) const
{
    chosen.clear();
    const auto available = vms.available();
    spread_score best;
    for (index it = 0; it < available.size(); ++it) {
        if (!job.spec.request.fits_in(available[it]) || is_avoided(job, it)) {
            continue;
        }
        const auto score = score_of(vms, job, it);
        if (chosen.empty() || score.order() < best.order()) {
            best = score;
            chosen.assign(1, it);
        }
    }
    return !chosen.empty();
}

} // namespace rosemarytrail::placement::internal
