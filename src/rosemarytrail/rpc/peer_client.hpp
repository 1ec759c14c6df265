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

/** @brief How a daemon calls its peers. */
struct peer_client_options
{
    /** @brief Time for a heartbeat, a relay or a status. */
    duration call_timeout{std::chrono::seconds{1}};
    /** @brief Time for a cancellation, which waits for workers. */
    duration cancel_timeout{std::chrono::seconds{4}};
    /** @brief Wait before the second attempt to connect; doubles. */
    duration least_back_off{std::chrono::milliseconds{100}};
    /** @brief Longest wait before an attempt to connect. */
    duration greatest_back_off{std::chrono::seconds{2}};
    /** @brief Time without a call after which a connection is closed. */
    duration idle_timeout{std::chrono::seconds{20}};
    /** @brief Most calls in flight to one address. */
    std::size_t calls_in_flight{64};
    /** @brief Most addresses at once. */
    std::size_t addresses{64};
    /** @brief Largest message of a peer, in bytes. */
    std::size_t message_bytes{std::size_t{8} << 20U};
};

/**
 * @brief Calls peers over Cap'n Proto RPC, one connection for each address.
 *
 * It lives on a thread that runs a kj event loop, as do all its calls and
 * callbacks. A callback never comes before its call has returned, but for
 * calls after `stop`. A connection on which a heartbeat or a relay got no
 * answer in time is closed, so that nothing is read from it later.
 */
class peer_client final : public control::peer_network
{
public:
    /**
     * @brief Makes a client without connections.
     * @param options How to call.
     * @param network Network of the event loop; outlives the client.
     * @param timer Timer of the event loop; outlives the client.
     * @param metrics Receives the counters; outlives the client.
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
     * @brief Ends all calls without an answer and closes all connections;
     * calls made later are answered with nothing at once.
     */
    void stop();

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

} // namespace rosemarytrail::rpc

#endif
