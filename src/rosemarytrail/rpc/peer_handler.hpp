#ifndef ROSEMARYTRAIL_RPC_PEER_HANDLER_HPP
#define ROSEMARYTRAIL_RPC_PEER_HANDLER_HPP

#include <rosemarytrail/control/peer_network.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace rosemarytrail::rpc {

/** @brief Answers the calls of peers, on the control thread. */
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    /**
     * @brief Answers a heartbeat.
     * @param theirs What the peer tells.
     * @return Own heartbeat.
     */
    [[nodiscard]] virtual control::heartbeat
    on_heartbeat(const control::heartbeat& theirs) = 0;

    /**
     * @brief Gives log entries to a peer that cannot reach the log.
     * @param from First offset.
     * @param bytes Most bytes of payload.
     * @return Entries from that offset on; empty if it is not kept.
     */
    [[nodiscard]] virtual std::vector<backends::log_entry>
    on_relay(std::uint64_t from, std::size_t bytes) = 0;

    /**
     * @brief Tells how a job stands.
     * @param job Job to look up.
     * @return Its status; nothing if it is not held here.
     */
    [[nodiscard]] virtual std::optional<control::job_status>
    on_status(const job_id& job) = 0;

    /**
     * @brief Cancels a job that is held here.
     * @param job Job to cancel.
     * @param done Called at most once, on the control thread.
     */
    virtual void
    on_cancel(const job_id& job,
              std::function<void(control::cancel_outcome)> done) = 0;
};

} // namespace rosemarytrail::rpc

#endif
