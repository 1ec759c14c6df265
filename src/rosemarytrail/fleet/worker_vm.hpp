#ifndef ROSEMARYTRAIL_FLEET_WORKER_VM_HPP
#define ROSEMARYTRAIL_FLEET_WORKER_VM_HPP

#include <rosemarytrail/fleet/job.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Worker as the directory of VMs describes it. */
struct worker_vm
{
    std::string id;
    std::string service;
    /** @brief IP number and port. */
    std::string address;
    std::string zone;
    /** @brief Rack, by its label; empty if it tells none. */
    std::string rack;
    std::vector<std::string> labels;
    room capacity;
    /** @brief Leaves soon and takes no new work. */
    bool draining{false};
    /** @brief Time that a leaving worker still has at least. */
    std::int64_t remaining_ms{};
    /** @brief Start of this incarnation, in Unix milliseconds. */
    std::int64_t incarnation{};
};

} // namespace rosemarytrail::fleet

#endif
