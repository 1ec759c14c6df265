#ifndef ROSEMARYTRAIL_FLEET_WORKER_VM_HPP
#define ROSEMARYTRAIL_FLEET_WORKER_VM_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/job.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Worker as listed in the VM directory. */
struct worker_vm
{
    std::string id;
    std::string service;
    /** @brief IP address and port. */
    std::string address;
    std::string zone;
    /** @brief Rack from the VM's labels; empty if it has none. */
    std::string rack;
    std::vector<std::string> labels;
    resource_amounts capacity;
    /** @brief The VM shuts down soon and accepts no new tasks. */
    bool draining{false};
    /** @brief Minimum time until a draining worker shuts down, in
     * milliseconds. */
    std::int64_t remaining_ms{};
    /** @brief How much longer the worker is slow after its start, in
     * milliseconds. */
    std::int64_t cold_left_ms{};
    /** @brief When this record was first read, if known. */
    std::optional<time_point> read_at;
    /** @brief Start time of this incarnation, in Unix milliseconds. */
    std::int64_t incarnation{};
};

} // namespace rosemarytrail::fleet

#endif
