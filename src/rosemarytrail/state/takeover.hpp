#ifndef ROSEMARYTRAIL_STATE_TAKEOVER_HPP
#define ROSEMARYTRAIL_STATE_TAKEOVER_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/state/freshness.hpp>

#include <cstdint>
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
     * claim must reach a majority of every one of them. An empty vector means
     * that the sets are not known: then there is no wait-out.
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
     * @return True if it is fenced, lost, or waited out, or came into the
     * partition after the claim.
     */
    [[nodiscard]] bool is_safe(const vm_id& vm, time_point now) const;

    /**
     * @brief Tells whether every VM is safe.
     * @param now Present time.
     * @return True if the takeover is complete.
     */
    [[nodiscard]] bool complete(time_point now) const;

    /** @return Number of the claim record. */
    [[nodiscard]] record_number claim() const noexcept;

    /** @return VMs that are neither fenced nor lost. */
    [[nodiscard]] const std::set<vm_id>& unsafe_vms() const noexcept;

    /**
     * @brief Moment at which the wait ends.
     * @return Nothing while the claim has not reached the majorities.
     */
    [[nodiscard]] std::optional<time_point> waited_out_at() const;

private:
    void reach(const incarnation_id& member, time_point now);
    [[nodiscard]] bool reached_majorities() const;

    freshness_options options_;
    record_number claim_{};
    std::set<vm_id> unsafe_vms_;
    std::vector<std::set<incarnation_id>> member_sets_;
    std::set<incarnation_id> reached_;
    std::optional<time_point> majorities_at_;
};

} // namespace rosemarytrail::state

#endif
