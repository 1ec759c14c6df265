#ifndef ROSEMARYTRAIL_RPC_PEER_SERVER_HPP
#define ROSEMARYTRAIL_RPC_PEER_SERVER_HPP

#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/metrics/registry.hpp>
#include <rosemarytrail/rpc/peer_handler.hpp>

#include <kj/async-io.h>
#include <kj/timer.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace rosemarytrail::rpc {

/** @brief How a daemon listens to its peers. */
struct peer_server_options
{
    /** @brief IP number to listen on. */
    std::string address{"127.0.0.1"};
    /** @brief Port; zero lets the system choose. */
    std::uint16_t port{};
    /** @brief Most connections at once; more are closed at once. */
    std::size_t connections{64};
    /** @brief Largest message of a peer, in bytes. */
    std::size_t message_bytes{std::size_t{8} << 20U};
    /** @brief Most bytes of payload in one relay. */
    std::size_t relay_bytes{std::size_t{1} << 20U};
    /** @brief Time without a call after which a connection is closed. */
    duration idle_timeout{std::chrono::seconds{30}};
};

/**
 * @brief Serves the calls of peers over Cap'n Proto RPC.
 *
 * It lives on a thread that runs a kj event loop, as do all its calls. A
 * message that is malformed or too large ends its connection or its call and
 * nothing else.
 */
class peer_server
{
public:
    /**
     * @brief Prepares a server; nothing listens yet.
     * @param options How to listen.
     * @param network Network of the event loop; outlives the server.
     * @param timer Timer of the event loop; outlives the server.
     * @param target Answers the calls; outlives the server.
     * @param metrics Receives the counters; outlives the server.
     */
    peer_server(peer_server_options options, kj::Network& network,
                kj::Timer& timer, peer_handler& target,
                metrics::registry& metrics);
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    ~peer_server();

    /**
     * @brief Starts to listen.
     * @param why Set if nothing is returned.
     * @return Port in use, or nothing.
     */
    [[nodiscard]] std::optional<std::uint16_t> start(reason& why);

    /** @brief Closes the listening socket and all connections. */
    void stop();

    /** @return Connections open now. */
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

} // namespace rosemarytrail::rpc

#endif
