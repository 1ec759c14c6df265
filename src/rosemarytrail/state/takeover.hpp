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
 * @brief Tracks when a new holder may act on the VMs of its partition.
 *
 * A VM is safe once the previous holder can no longer act on it: either the VM
 * itself is fenced, or the wait-out has ended for all VMs at once.
 */
class takeover
{
public:
    /**
     * @brief Starts a takeover.
     * @param options Durations of the wait-out rule.
     * @param claim Number of the claim record.
     * @param vms VMs of the partition.
     * @param member_sets Member sets of the previous holder's region: one for
     * each change since its last known offset, the current one last. The claim
     * must reach a majority of each set. If the vector is empty, the sets are
     * unknown and there is no wait-out.
     */
    takeover(const freshness_options& options, record_number claim,
             std::set<vm_id> vms,
             std::vector<std::set<incarnation_id>> member_sets);

    /**
     * @brief Records that a member has applied the claim.
     * @param member Member that reported it.
     * @param now Current time.
     */
    void claim_applied_by(const incarnation_id& member, time_point now);

    /**
     * @brief Records that a member wrote its own leave record.
     * @param member Member that left.
     * @param now Current time.
     */
    void left_voluntarily(const incarnation_id& member, time_point now);

    /**
     * @brief Records that a VM accepted the epoch and reported its inventory.
     * @param vm Fenced VM.
     */
    void fenced(const vm_id& vm);

    /**
     * @brief Records an operator's declaration that nothing runs on a VM.
     * @param vm Lost VM.
     */
    void declared_lost(const vm_id& vm);

    /**
     * @brief Checks whether the previous holder can no longer act on a VM.
     * @param vm VM to check.
     * @param now Current time.
     * @return True if the VM is fenced or declared lost, if the wait-out has
     * ended, or if the VM joined the partition after the claim.
     */
    [[nodiscard]] bool is_safe(const vm_id& vm, time_point now) const;

    /**
     * @brief Checks whether every VM is safe.
     * @param now Current time.
     * @return True if the takeover is complete.
     */
    [[nodiscard]] bool complete(time_point now) const;

    /** @return Number of the claim record. */
    [[nodiscard]] record_number claim() const noexcept;

    /** @return VMs that are neither fenced nor declared lost. */
    [[nodiscard]] const std::set<vm_id>& unsafe_vms() const noexcept;

    /**
     * @brief Returns when the wait-out ends.
     * @return That time; nothing until the claim has reached a majority of each
     * member set.
     */
    [[nodiscard]] std::optional<time_point> wait_ends_at() const;

private:
    void mark_reached(const incarnation_id& member, time_point now);
    [[nodiscard]] bool has_majorities() const;

    freshness_options options_;
    record_number claim_{};
    std::set<vm_id> unsafe_vms_;
    std::vector<std::set<incarnation_id>> member_sets_;
    std::set<incarnation_id> reached_;
    std::optional<time_point> majorities_reached_at_;
};

} // namespace rosemarytrail::state

#endif
