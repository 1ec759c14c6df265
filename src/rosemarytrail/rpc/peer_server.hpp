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

/** @brief Address and limits of the server for peers. */
struct peer_server_options
{
    /** @brief IP address to listen on. */
    std::string address{"127.0.0.1"};
    /** @brief Port; zero picks a free one. */
    std::uint16_t port{};
    /** @brief Maximum open connections; further ones are closed immediately. */
    std::size_t connections{64};
    /** @brief Maximum size of a message from a peer, in bytes. */
    std::size_t message_bytes{std::size_t{8} << 20U};
    /** @brief Maximum payload of a relay response, in bytes. */
    std::size_t relay_bytes{std::size_t{1} << 20U};
    /** @brief How long a connection may be idle before it is closed. */
    duration idle_timeout{std::chrono::seconds{30}};
};

/**
 * @brief Serves the calls of peers over Cap'n Proto RPC.
 *
 * The server and its calls are bound to a thread that runs a kj event loop. A
 * message that is malformed or too large fails its call or closes its
 * connection; other connections are not affected.
 */
class peer_server
{
public:
    /**
     * @brief Creates a server that does not listen yet.
     * @param options Address and limits.
     * @param network Network of the event loop; must outlive the server.
     * @param timer Timer of the event loop; must outlive the server.
     * @param target Handles the calls; must outlive the server.
     * @param metrics Registry for the counters; must outlive the server.
     */
    peer_server(peer_server_options options, kj::Network& network,
                kj::Timer& timer, peer_handler& target,
                metrics::registry& metrics);
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    ~peer_server();

    /**
     * @brief Starts listening.
     * @param why Set to the error if nothing is returned.
     * @return Port that is listened on, or nothing.
     */
    [[nodiscard]] std::optional<std::uint16_t> start(reason& why);

    /** @brief Closes the listening socket and all connections. */
    void stop();

    /** @return Number of open connections. */
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

} // namespace rosemarytrail::rpc

#endif
