#ifndef ROSEMARYTRAIL_RPC_PEER_HANDLER_HPP
#define ROSEMARYTRAIL_RPC_PEER_HANDLER_HPP

#include <rosemarytrail/control/peer_network.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace rosemarytrail::rpc {

/** @brief Handles the calls of peers, on the control thread. */
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    /**
     * @brief Handles a heartbeat.
     * @param theirs Heartbeat of the peer.
     * @return Heartbeat of this node.
     */
    [[nodiscard]] virtual control::heartbeat
    on_heartbeat(const control::heartbeat& theirs) = 0;

    /**
     * @brief Returns log entries for a peer that cannot reach the log.
     * @param from First offset.
     * @param bytes Maximum payload, in bytes.
     * @return Entries from that offset on; empty if it is not retained.
     */
    [[nodiscard]] virtual std::vector<backends::log_entry>
    on_relay(std::uint64_t from, std::size_t bytes) = 0;

    /**
     * @brief Returns the status of a job.
     * @param job Job to look up.
     * @return Its status, or nothing if this node does not hold the job.
     */
    [[nodiscard]] virtual std::optional<control::job_status>
    on_status(const job_id& job) = 0;

    /**
     * @brief Cancels a job that this node holds.
     * @param job Job to cancel.
     * @param done Called at most once, on the control thread.
     */
    virtual void
    on_cancel(const job_id& job,
              std::function<void(control::cancel_outcome)> done) = 0;
};

} // namespace rosemarytrail::rpc

#endif
