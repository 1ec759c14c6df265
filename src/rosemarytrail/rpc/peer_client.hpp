#ifndef ROSEMARYTRAIL_RPC_PEER_CLIENT_HPP
#define ROSEMARYTRAIL_RPC_PEER_CLIENT_HPP

#include <rosemarytrail/control/peer_network.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/metrics/registry.hpp>

#include <kj/async-io.h>
#include <kj/timer.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarytrail::rpc {

/** @brief Timeouts and limits of the calls to peers. */
struct peer_client_options
{
    /** @brief Timeout of connecting and of a heartbeat, relay or status call.
     */
    duration call_timeout{std::chrono::seconds{1}};
    /** @brief Timeout of a cancellation, which waits for workers. */
    duration cancel_timeout{std::chrono::seconds{4}};
    /** @brief Backoff after the first failure; doubles with each one. */
    duration min_backoff{std::chrono::milliseconds{100}};
    /** @brief Maximum backoff before a reconnect. */
    duration max_backoff{std::chrono::seconds{2}};
    /** @brief How long a connection may be idle before it is closed. */
    duration idle_timeout{std::chrono::seconds{20}};
    /** @brief Maximum calls in flight per address; further ones fail. */
    std::size_t calls_in_flight{64};
    /** @brief Maximum number of addresses; calls to further ones fail. */
    std::size_t addresses{64};
    /** @brief Maximum size of a message from a peer, in bytes. */
    std::size_t message_bytes{std::size_t{8} << 20U};
};

/**
 * @brief Calls peers over Cap'n Proto RPC, with one connection per address.
 *
 * The client, its calls and its callbacks are bound to a thread that runs a kj
 * event loop. A callback never runs before its call has returned, except for
 * calls after `stop`. If a heartbeat, relay or status call times out, its
 * connection is closed, so that a late response is never read.
 */
class peer_client final : public control::peer_network
{
public:
    /**
     * @brief Creates a client without connections.
     * @param options Timeouts and limits.
     * @param network Network of the event loop; must outlive the client.
     * @param timer Timer of the event loop; must outlive the client.
     * @param metrics Registry for the counters; must outlive the client.
     */
    peer_client(const peer_client_options& options, kj::Network& network,
                kj::Timer& timer, metrics::registry& metrics);
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    ~peer_client() override;

    void exchange(
        const std::string& address, control::heartbeat mine,
        std::function<void(std::optional<control::heartbeat>)> done) override;

    void
    relay(const std::string& address, std::uint64_t from, std::size_t bytes,
          std::function<void(std::optional<std::vector<backends::log_entry>>)>
              done) override;

    void status(
        const std::string& address, const job_id& job,
        std::function<void(std::optional<control::job_status>)> done) override;

    void cancel(const std::string& address, const job_id& job,
                std::function<void(std::optional<control::cancel_outcome>)>
                    done) override;

    /**
     * @brief Fails all calls and closes all connections; calls made later fail
     * immediately.
     */
    void stop();

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

} // namespace rosemarytrail::rpc

#endif
