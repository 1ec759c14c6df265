#ifndef ROSEMARYTRAIL_BACKENDS_VM_LIST_CLIENT_HPP
#define ROSEMARYTRAIL_BACKENDS_VM_LIST_CLIENT_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/resources.hpp>

#include <functional>
#include <string>
#include <vector>

namespace rosemarytrail::backends {

/** @brief Row of the platform's list of VMs. */
struct vm_entry
{
    vm_id vm{};
    rack_id rack{};
    zone_id zone{};
    std::string region;
    resources capacity{};
    /** @brief Address of the worker's command interface, `ip:port`. */
    std::string worker_address;
    /** @brief Address where service tasks of the VM answer, `ip:port`. */
    std::string service_address;
    /** @brief Requests that the VM runs at once. */
    std::uint32_t slots{8};
    /** @brief Connections that the VM accepts. */
    std::uint32_t connections{64};
    /** @brief The VM is about to go and gets no new work. */
    bool leaving{false};
};

/** @brief Answer of the VM list; it lags behind the truth. */
struct vm_list_outcome
{
    /** @brief Whether the list answered. */
    bool answered{false};
    std::vector<vm_entry> vms;
};

/** @brief The platform's list of live and leaving VMs. */
class vm_list_client
{
public:
    virtual ~vm_list_client() = default;

    /** @param done Called once with the outcome. */
    virtual void fetch(std::function<void(vm_list_outcome)> done) = 0;
};

} // namespace rosemarytrail::backends

#endif
