#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_VM_TABLE_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_VM_TABLE_HPP

#include <rosemarytrail/placement/internal/interner.hpp>
#include <rosemarytrail/placement/scheduler.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief State of a VM and the tasks committed on it. */
struct vm_state
{
    vm_view view{};
    index rack{no_index};
    index zone{no_index};
    /** @brief Whether the VM is listed; false if only tasks refer to it. */
    bool present{false};
    /** @brief Receives no new tasks because distinct jobs failed on it. */
    bool quarantined{false};
    /** @brief A task failed and none has succeeded since. */
    bool suspect{false};
    /**
     * @brief No new tasks before this time, after a rejected start; zero if not
     * paused.
     */
    time_point paused_until{};
    resources committed{};
    /** @brief Reserved for jobs that wait to start. */
    resources reserved{};
    std::vector<task_key> tasks;
    /** @brief Expected ends of `tasks`, in the same order. */
    std::vector<time_point> ends;
};

/** @brief VMs of the partition and their available capacity. */
class vm_table
{
public:
    /** @brief Adds a VM or updates it. */
    index upsert(const vm_view& view);

    /** @return Index of a VM, which need not be present yet. */
    index intern(const vm_id& vm);

    /**
     * @brief Removes a VM; its index stays in use until its tasks have ended.
     */
    void remove(const vm_id& vm);

    [[nodiscard]] index find(const vm_id& vm) const { return ids_.find(vm); }

    [[nodiscard]] const vm_state& operator[](index vm) const
    {
        return vms_[vm];
    }

    /** @brief Commits a task; the caller has checked that it fits. */
    void commit(index vm, task_key task, const resources& amount,
                time_point until);

    /** @brief Releases the resources of a task. */
    void release(index vm, task_key task, const resources& amount);

    /** @brief Reserves capacity, or releases it if the amount is negative. */
    void reserve(index vm, const resources& amount);

    void set_quarantined(index vm, bool value);
    void set_suspect(index vm, bool value);
    void pause_until(index vm, time_point until);
    /**
     * @brief Ends expired pauses.
     * @return True if a pause has ended.
     */
    bool end_pauses(time_point now);

    /**
     * @brief Available capacity by VM; negative where no task may start.
     */
    [[nodiscard]] std::span<const resources> available() const noexcept
    {
        return available_;
    }

    /** @return True if new tasks may start on the VM. */
    [[nodiscard]] bool is_open(index vm) const noexcept;

    /** @return Available capacity of a VM, including the reserved capacity. */
    [[nodiscard]] resources available_with_reserved(index vm) const;

    /**
     * @brief Returns the fraction of a VM that stays free, summed over
     * dimensions.
     * @param vm VM that the request fits on.
     * @param request Amount that would be committed.
     */
    [[nodiscard]] float leftover(index vm, const resources& request) const;

    /** @return Expected end of the last task on a VM. */
    [[nodiscard]] time_point busy_until(index vm) const noexcept
    {
        return busy_until_[vm];
    }

    /** @return Number of VMs that may still obey a previous holder. */
    [[nodiscard]] std::size_t unfenced() const noexcept { return unfenced_; }

    /** @return Capacity of unfenced VMs that untracked tasks may be using. */
    [[nodiscard]] const resources& unfenced_available() const noexcept
    {
        return unfenced_available_;
    }

    [[nodiscard]] std::size_t present() const noexcept { return present_; }
    /** @return Number of VMs that accept tasks, including quarantined ones. */
    [[nodiscard]] std::size_t accepting() const noexcept { return accepting_; }
    [[nodiscard]] std::size_t quarantined_count() const noexcept
    {
        return quarantined_count_;
    }
    [[nodiscard]] std::size_t racks() const noexcept { return racks_.size(); }
    [[nodiscard]] std::size_t zones() const noexcept { return zones_.size(); }

private:
    struct inverse
    {
        float millicores{};
        float memory{};
        float accelerators{};
    };

    void refresh(index vm);
    void update_counts(index vm, bool add);
    void release_if_unused(index vm);

    interner<vm_id> ids_;
    interner<rack_id> racks_;
    interner<zone_id> zones_;
    std::vector<vm_state> vms_;
    std::vector<resources> available_;
    std::vector<inverse> inverse_;
    std::vector<time_point> busy_until_;
    std::vector<index> paused_;
    std::size_t unfenced_{};
    std::size_t present_{};
    std::size_t accepting_{};
    std::size_t quarantined_count_{};
    resources unfenced_available_{};
};

} // namespace rosemarytrail::placement::internal

#endif
