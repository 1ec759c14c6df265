#ifndef ROSEMARYTRAIL_CELL_RELAY_PLAN_HPP
#define ROSEMARYTRAIL_CELL_RELAY_PLAN_HPP

#include <rosemarytrail/fleet/worker_vm.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace rosemarytrail::cell {

/** @brief Limits of `assign_relays`. */
struct relay_plan_options
{
    /** @brief The leader calls up to this many workers itself. */
    std::size_t direct_workers{100};
    /** @brief Maximum number of workers of a relay. */
    std::size_t workers_per_relay{256};
};

/**
 * @brief Limits the messages between leader and relays by the network link.
 *
 * On a slow link, a backlog sent in one message would arrive after the timeout
 * of the messages behind it.
 * @param link_mbps Bandwidth of this VM's link in Mbit/s; zero if unknown.
 * @return Size of a message in bytes.
 */
[[nodiscard]] std::size_t relay_message_bytes(double link_mbps);

/** @brief Member that relays the calls to a worker, by worker id. */
using relay_assignment = std::unordered_map<std::string, std::string>;

/**
 * @brief Assigns the workers of a large cell to nodes that relay the leader's
 * calls to them.
 *
 * Handles thousands of calls per second to workers: one VM's processor and
 * network link do not carry them. A relay is among the largest VMs of the
 * workers' availability zone, so that the calls stay within the zone.
 * @param vms Workers.
 * @param members Names of the live members.
 * @param leader Name of the leader, which relays nothing.
 * @param options Limits.
 * @return Relay of each worker; a worker without relay is called directly.
 */
[[nodiscard]] relay_assignment
assign_relays(std::span<const fleet::worker_vm> vms,
              std::span<const std::string> members, std::string_view leader,
              const relay_plan_options& options);

} // namespace rosemarytrail::cell

#endif
