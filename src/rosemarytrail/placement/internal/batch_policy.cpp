#include <rosemarytrail/placement/internal/batch_policy.hpp>

#include <limits>

namespace rosemarytrail::placement::internal {

namespace {

/** @brief Makes any VM without failures better than one with. */
constexpr float suspect_penalty = 1000.0F;

} // namespace

bool batch_policy::choose(const vm_table& vms, const job_state& job,
                          std::vector<index>& chosen) const
{
    chosen.clear();
    const auto room = vms.room();
    const auto& request = job.spec.request;
    float best = std::numeric_limits<float>::max();
    index best_vm = no_index;
    for (index it = 0; it < room.size(); ++it) {
        if (!request.fits_in(room[it])) {
            continue;
        }
        float score = vms.leftover(it, request);
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
