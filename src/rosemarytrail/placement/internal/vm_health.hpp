#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_VM_HEALTH_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_VM_HEALTH_HPP

#include <rosemarytrail/placement/internal/allocation_state.hpp>

#include <cstdint>
#include <vector>

namespace rosemarytrail::placement::internal {

/**
 * @brief Detects faulty VMs and quarantines them.
 *
 * The evidence against a VM is the number of distinct jobs that failed on it
 * since a task last succeeded there. To distinguish a faulty VM from a faulty
 * job, a job without any success counts as one divided by the number of VMs
 * that it failed on.
 */
class vm_health
{
public:
    explicit vm_health(const scheduler_options& options) noexcept
        : max_quarantined_fraction_{options.quarantine_fraction}
    {}

    /**
     * @brief Records a failure and quarantines the VM on enough evidence.
     * @return True if the VM was quarantined.
     */
    bool failed(allocation_state& tables, task_key task, index vm,
                time_point now);

    /** @brief Records a success, which clears the evidence against the VM. */
    void succeeded(allocation_state& tables, index vm);

    /** @brief Removes the failures of a job that failed on several VMs. */
    void clear_failures(allocation_state& tables, index job);

    /**
     * @brief Releases VMs whose quarantine expired; they are on probation until
     * a task succeeds.
     */
    void release_quarantined(allocation_state& tables, time_point now);

    /** @brief Forgets a removed VM. */
    void forget(index vm);

private:
    struct failure
    {
        task_key task{};
        std::uint64_t serial{};
        index team{no_index};
    };

    struct record
    {
        std::vector<failure> failures;
        /** @brief Number of quarantines since a task last succeeded. */
        std::uint32_t quarantines{};
        time_point until{};
    };

    [[nodiscard]] bool has_enough_evidence(const allocation_state& tables,
                                           const record& value) const;
    [[nodiscard]] bool is_below_cap(const allocation_state& tables) const;
    void quarantine(allocation_state& tables, index vm, time_point now);

    double max_quarantined_fraction_;
    std::vector<record> records_;
    std::vector<index> quarantined_;
};

} // namespace rosemarytrail::placement::internal

#endif
