#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_VM_TABLE_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_VM_TABLE_HPP

#include <rosemarytrail/placement/internal/interner.hpp>
#include <rosemarytrail/placement/scheduler.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief One VM and what is committed on it. */
struct vm_state
{
    vm_view view{};
    index rack{no_index};
    index zone{no_index};
    /** @brief Whether the VM is known, or only named by an adopted task. */
    bool present{false};
    /** @brief Set aside because it failed tasks of distinct jobs. */
    bool set_aside{false};
    /** @brief Failed a task and has not finished one since. */
    bool suspect{false};
    /** @brief Refused a start; gets none before this. */
    time_point paused_until{};
    resources committed{};
    /** @brief Kept free for jobs that hold room. */
    resources held{};
    std::vector<task_key> tasks;
    /** @brief Expected ends of those tasks, in the same order. */
    std::vector<time_point> ends;
};

/** @brief VMs of the partition and the room on each. */
class vm_table
{
public:
    /** @brief Adds a VM or replaces what is known of it. */
    index upsert(const vm_view& view);

    /** @return Number of a VM that need not be known yet. */
    index intern(const vm_id& vm);

    /** @brief Forgets a VM; one with tasks stays until they ended. */
    void remove(const vm_id& vm);

    [[nodiscard]] index find(const vm_id& vm) const { return ids_.find(vm); }

    [[nodiscard]] const vm_state& operator[](index vm) const
    {
        return vms_[vm];
    }

    /** @brief Commits a task; the caller has checked the room. */
    void commit(index vm, task_key task, const resources& amount,
                time_point until);

    /** @brief Gives back what a task had. */
    void release(index vm, task_key task, const resources& amount);

    /** @brief Keeps room free, or gives it back if the amount is negative. */
    void hold(index vm, const resources& amount);

    void set_aside(index vm, bool value);
    void set_suspect(index vm, bool value);
    void pause_until(index vm, time_point until);
    /** @brief Ends pauses that are over. */
    bool end_pauses(time_point now);

    /**
     * @brief Room for new tasks by VM; negative where none may start.
     */
    [[nodiscard]] std::span<const resources> room() const noexcept
    {
        return room_;
    }

    /** @return True if new tasks may start on the VM. */
    [[nodiscard]] bool is_open(index vm) const noexcept;

    /** @return Room of a VM without regard to what is held on it. */
    [[nodiscard]] resources room_with_held(index vm) const;

    /**
     * @brief Free fraction left on a VM, summed over dimensions.
     * @param vm VM with room for the request.
     * @param request Amount that would be committed.
     */
    [[nodiscard]] float leftover(index vm, const resources& request) const;

    /** @return When the last task of a VM is expected to end. */
    [[nodiscard]] time_point busy_until(index vm) const noexcept
    {
        return busy_until_[vm];
    }

    /** @return VMs that may still obey a former holder. */
    [[nodiscard]] std::size_t unfenced() const noexcept { return unfenced_; }

    /** @return What may run unknown to us on VMs that are not fenced. */
    [[nodiscard]] const resources& unknown() const noexcept { return unknown_; }

    [[nodiscard]] std::size_t present() const noexcept { return present_; }
    /** @return Number of VMs that accept work, set aside or not. */
    [[nodiscard]] std::size_t accepting() const noexcept { return accepting_; }
    [[nodiscard]] std::size_t aside() const noexcept { return aside_; }
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
    void count(index vm, bool add);
    void release_if_gone(index vm);

    interner<vm_id> ids_;
    interner<rack_id> racks_;
    interner<zone_id> zones_;
    std::vector<vm_state> vms_;
    std::vector<resources> room_;
    std::vector<inverse> inverse_;
    std::vector<time_point> busy_until_;
    std::vector<index> paused_;
    std::size_t unfenced_{};
    std::size_t present_{};
    std::size_t accepting_{};
    std::size_t aside_{};
    resources unknown_{};
};

} // namespace rosemarytrail::placement::internal

#endif
