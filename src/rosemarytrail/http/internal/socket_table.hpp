#ifndef ROSEMARYTRAIL_HTTP_INTERNAL_SOCKET_TABLE_HPP
#define ROSEMARYTRAIL_HTTP_INTERNAL_SOCKET_TABLE_HPP

#include <rosemarytrail/core/time.hpp>

#include <compare>
#include <map>
#include <string>
#include <utility>

namespace rosemarytrail::http::internal {

/** @brief Identifies a connection by its peer and ports. */
struct connection_key
{
    std::string peer;
    int peer_port{};
    int local_port{};

    // clang-tidy mistakes the rewritten comparison for a null pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const connection_key&,
                                          const connection_key&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

/**
 * @brief Sockets of the connections that libcurl keeps.
 *
 * libcurl reports the ports of the connection that it is about to send on, but
 * not its socket.
 */
class socket_table
{
public:
    /**
     * @brief Adds a new connection.
     * @param key Identifies the connection.
     * @param socket Socket of the connection.
     * @param now Current time.
     */
    void add(connection_key key, int socket, time_point now);

    /**
     * @brief Records that a request on a connection timed out.
     *
     * The cause (a host that is down, a middlebox that lost its state) affects
     * the other connections to that peer as well.
     * @param key Identifies the connection.
     * @param now Current time; older connections to the peer become stale.
     */
    void mark_unresponsive(const connection_key& key, time_point now);

    /** @param socket Socket that is about to be closed. */
    void remove(int socket);

    /**
     * @brief Checks whether a pooled connection must not be reused.
     * @param key Identifies the connection.
     * @return True if the socket is readable before anything was sent (the
     * peer closed it, or sent an unsolicited response), or if a request to the
     * peer timed out on another connection since this one was opened.
     */
    [[nodiscard]] bool is_stale(const connection_key& key) const;

private:
    struct socket_entry
    {
        int socket{};
        time_point opened;
    };
    std::map<connection_key, socket_entry> sockets_;
    /** @brief Time of the last timeout, by peer address and port. */
    std::map<std::pair<std::string, int>, time_point> unresponsive_;
    std::map<int, connection_key> keys_;
};

/** @return Local port of an IPv4 socket; -1 if it is not available. */
[[nodiscard]] int local_port_of(int socket) noexcept;

} // namespace rosemarytrail::http::internal

#endif
