#ifndef ROSEMARYTRAIL_REQUEST_ROUTING_TABLE_HPP
#define ROSEMARYTRAIL_REQUEST_ROUTING_TABLE_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/job_spec.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarytrail::request {

/** @brief Upstream of a service: a service task on a VM. */
struct upstream_view
{
    vm_id vm{};
    zone_id zone{};
    /** @brief Address that serves the requests, `ip:port`. */
    std::string address;
    /** @brief Requests that it runs at once, shared by all entry VMs. */
    std::uint32_t slots{8};
    /** @brief Connections that it accepts, shared by all entry VMs. */
    std::uint32_t connections{64};
    /** @brief Slots busy as the worker reported a while ago. */
    std::uint32_t busy_slots{};
    /** @brief It gets no new request. */
    bool leaving{false};
};

/**
 * @brief What traffic threads know: an immutable snapshot that the control
 * thread publishes as `std::shared_ptr<const routing_table>`.
 */
struct routing_table
{
    std::map<service_id, std::vector<upstream_view>> services;
    std::map<key_id, key_spec> keys;
    /** @brief Weight of each team. */
    std::map<team_id, double> weights;
    /** @brief Live entry VMs, this one included. */
    std::uint32_t entry_vms{1};
    /**
     * @brief Place of this entry VM in the order of live ones, from zero; it
     * divides slots without a remainder. Unknown: shares are rounded up.
     */
    std::optional<std::uint32_t> entry_rank{};
    /** @brief Availability zone of this entry VM. */
    zone_id zone{};
    /** @brief Until when this entry VM may trust its keys. */
    time_point fresh_until{};
    /** @brief It is shutting down. */
    bool draining{false};
    /** @brief It has not caught up with the log yet. */
    bool catching_up{true};
    /** @brief Record up to which the table is current. */
    record_number applied{};
};

} // namespace rosemarytrail::request

#endif
