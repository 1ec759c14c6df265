#include <rosemarytrail/placement/internal/batch_policy.hpp>

#include <algorithm>
#include <limits>

namespace rosemarytrail::placement::internal {

namespace {

/** @brief Ranks every suspect VM after all others. */
constexpr float suspect_penalty = 1000.0F;
/**
 * @brief Weight of the busy time extension relative to the leftover capacity.
 */
constexpr float extension_weight = 3.0F;

/**
 * @return Fraction of the run time by which the task extends a VM's busy time.
 */
[[nodiscard]] float extension(time_point busy_until, time_point end,
                              time_point now) noexcept
{
    const auto from = std::max(busy_until, now);
    if (end <= from) {
        return 0.0F;
    }
    return static_cast<float>((end - from).count()) /
           static_cast<float>((end - now).count());
}

} // namespace

bool batch_policy::choose(const vm_table& vms, const job_state& job,
                          time_point now, std::vector<index>& chosen) const
{
    chosen.clear();
    const auto available = vms.available();
    const auto& request = job.spec.request;
    float best = std::numeric_limits<float>::max();
    index best_vm = no_index;
    const auto end = expected_end(job, now);
    for (index it = 0; it < available.size(); ++it) {
        if (!request.fits_in(available[it])) {
            continue;
        }
        float score = vms.leftover(it, request);
        score += extension_weight * extension(vms.busy_until(it), end, now);
        score += vms[it].suspect ? suspect_penalty : 0.0F;
        if (score < best && !is_avoided(job, it)) {
            best = score;
            best_vm = it;
        }
    }
    if (best_vm != no_index) {
        chosen.push_back(best_vm);
    }
    return best_vm != no_index;
}

} // namespace rosemarytrail::placement::internal
