#ifndef ROSEMARYTRAIL_STATE_TAKEOVER_HPP
#define ROSEMARYTRAIL_STATE_TAKEOVER_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/state/freshness.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rosemarytrail::state {

/**
 * @brief Progress of a new holder towards the proof that the former one can do
 * nothing more: VM by VM by the fence, or for all by the wait.
 */
class takeover
{
public:
    /**
     * @brief Begins a takeover.
     * @param options Spans of the wait-out rule.
     * @param claim Number of the claim record.
     * @param vms VMs of the partition.
     * @param member_sets Sets of members of the former holder's region, one
     * for each change since its last known offset, the present one last. The
     * claim must reach a majority of every one of them.
     */
    takeover(const freshness_options& options, record_number claim,
             std::set<vm_id> vms,
             std::vector<std::set<incarnation_id>> member_sets);

    /**
     * @brief Notes that a member has applied the claim.
     * @param member Member that said so.
     * @param now Present time.
     */
    void claim_applied_by(const incarnation_id& member, time_point now);

    /**
     * @brief Notes that a member wrote its own leave record.
     * @param member Member that left by itself.
     * @param now Present time.
     */
    void left_by_itself(const incarnation_id& member, time_point now);

    /**
     * @brief Notes that a VM took the epoch and gave its inventory.
     * @param vm VM that is fenced.
     */
    void fenced(const vm_id& vm);

    /**
     * @brief Notes an operator's word that nothing runs on a VM.
     * @param vm VM that is lost.
     */
    void declared_lost(const vm_id& vm);

    /**
     * @brief Tells whether the former holder can do nothing more on a VM.
     * @param vm VM to ask about.
     * @param now Present time.
     * @return True if it is fenced, lost, or waited out.
     */
    [[nodiscard]] bool is_safe(const vm_id& vm, time_point now) const;

    /**
     * @brief Tells whether every VM is safe.
     * @param now Present time.
     * @return True if the takeover is complete.
     */
    [[nodiscard]] bool complete(time_point now) const;

    /**
     * @brief Moment at which the wait ends.
     * @return Nothing while the claim has not reached the majorities.
     */
    [[nodiscard]] std::optional<time_point> waited_out_at() const;

private:
    // The owner of this module lays out the members.
};

} // namespace rosemarytrail::state

#endif
