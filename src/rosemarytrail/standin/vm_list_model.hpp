#ifndef ROSEMARYTRAIL_STANDIN_VM_LIST_MODEL_HPP
#define ROSEMARYTRAIL_STANDIN_VM_LIST_MODEL_HPP

#include <rosemarytrail/backends/vm_list_client.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/standin/fault_mode.hpp>

#include <deque>
#include <map>
#include <optional>

namespace rosemarytrail::standin {

/** @brief What goes wrong with the VM list. */
struct vm_list_faults
{
    fault_mode mode{fault_mode::up};
    /** @brief Time until a change shows. */
    duration lag{};
    /** @brief Silence after which a VM is struck off; zero never does. */
    duration expiry{};
};

/** @brief Model of the platform's VM list, which lags behind the truth. */
class vm_list_model
{
public:
    /** @param faults What goes wrong from the start. */
    explicit vm_list_model(const vm_list_faults& faults = {});

    /** @param faults What goes wrong from now on. */
    void set_faults(const vm_list_faults& faults) noexcept;

    /** @return What goes wrong. */
    [[nodiscard]] const vm_list_faults& faults() const noexcept
    {
        return faults_;
    }

    /**
     * @brief Adds a VM or replaces what is known of it.
     * @param vm Row of the VM.
     * @param now Present time.
     */
    void upsert(const backends::vm_entry& vm, time_point now);

    /**
     * @brief Removes a VM.
     * @param vm VM to remove.
     * @param now Present time.
     */
    void remove(const vm_id& vm, time_point now);

    /**
     * @brief Gives the list as it shows now.
     * @param now Present time.
     * @return The list; not answered in mode `down`.
     */
    [[nodiscard]] backends::vm_list_outcome list(time_point now);

private:
    /** @brief Change that may not show yet. */
    struct change
    {
        time_point at{};
        vm_id vm{};
        /** @brief New row, or nothing if the VM was removed. */
        std::optional<backends::vm_entry> row{};
    };

    void show(time_point now);
    void expire(time_point now);

    vm_list_faults faults_;
    std::deque<change> changes_;
    std::map<vm_id, backends::vm_entry> shown_;
    std::map<vm_id, time_point> heard_;
};

} // namespace rosemarytrail::standin

#endif
