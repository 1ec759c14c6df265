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
    /** @brief Address that serves requests, `ip:port`. */
    std::string address;
    /** @brief Concurrent requests that it runs, shared by all entry VMs. */
    std::uint32_t slots{8};
    /** @brief Connections that it accepts, shared by all entry VMs. */
    std::uint32_t connections{64};
    /**
     * @brief Busy slots in the last report of the worker; may be out of date.
     */
    std::uint32_t busy_slots{};
    /** @brief The upstream is being removed and receives no new requests. */
    bool leaving{false};
};

/**
 * @brief Immutable snapshot for traffic threads, published by the control
 * thread as `std::shared_ptr<const routing_table>`.
 */
struct routing_table
{
    std::map<service_id, std::vector<upstream_view>> services;
    std::map<key_id, key_spec> keys;
    /** @brief Weight of each team. */
    std::map<team_id, double> weights;
    /** @brief Number of live entry VMs, including this one. */
    std::uint32_t entry_vms{1};
    /**
     * @brief Zero-based position of this entry VM among the live ones, used to
     * divide slots exactly. If unset, shares are rounded up.
     */
    std::optional<std::uint32_t> entry_rank{};
    /** @brief Availability zone of this entry VM. */
    zone_id zone{};
    /** @brief Time until which this entry VM may trust its keys. */
    time_point fresh_until{};
    /** @brief The entry VM is shutting down. */
    bool draining{false};
    /** @brief The entry VM has not caught up with the log yet. */
    bool catching_up{true};
    /** @brief Last record that the table includes. */
    record_number applied{};
};

} // namespace rosemarytrail::request

#endif
