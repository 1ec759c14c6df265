#ifndef ROSEMARYTRAIL_BACKENDS_VM_LIST_CLIENT_HPP
#define ROSEMARYTRAIL_BACKENDS_VM_LIST_CLIENT_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/resources.hpp>

#include <functional>
#include <string>
#include <vector>

namespace rosemarytrail::backends {

/** @brief Entry of the platform's VM list. */
struct vm_entry
{
    vm_id vm{};
    rack_id rack{};
    zone_id zone{};
    std::string region;
    resources capacity{};
    /** @brief Address of the worker's command interface, `ip:port`. */
    std::string worker_address;
    /** @brief Address of the VM's service tasks, `ip:port`. */
    std::string service_address;
    /** @brief Maximum concurrent requests of the VM. */
    std::uint32_t slots{8};
    /** @brief Maximum connections that the VM accepts. */
    std::uint32_t connections{64};
    /** @brief The VM is about to be removed and receives no new tasks. */
    bool leaving{false};
};

/** @brief Outcome of a fetch of the VM list, which may be out of date. */
struct vm_list_outcome
{
    /** @brief Whether a valid list was received. */
    bool answered{false};
    std::vector<vm_entry> vms;
};

/** @brief Client of the platform's list of live and leaving VMs. */
class vm_list_client
{
public:
    virtual ~vm_list_client() = default;

    /** @param done Called once with the outcome. */
    virtual void fetch(std::function<void(vm_list_outcome)> done) = 0;
};

} // namespace rosemarytrail::backends

#endif
