#ifndef ROSEMARYTRAIL_HTTP_INTERNAL_SOCKET_TABLE_HPP
#define ROSEMARYTRAIL_HTTP_INTERNAL_SOCKET_TABLE_HPP

#include <rosemarytrail/core/time.hpp>

#include <compare>
#include <map>
#include <string>
#include <utility>

namespace rosemarytrail::http::internal {

/** @brief Name of one connection. */
struct connection_key
{
    std::string peer;
    int peer_port{};
    int local_port{};

    // clang-tidy takes the rewritten comparison for a null pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const connection_key&,
                                          const connection_key&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

/**
 * @brief Sockets of the connections that libcurl keeps.
 *
 * libcurl tells the ports of the connection that it is about to send on, but
 * not its socket.
 */
class socket_table
{
public:
    /**
     * @brief Notes a new connection.
     * @param key Its name.
     * @param socket Its socket.
     * @param now Present time.
     */
    void add(connection_key key, int socket, time_point now);

    /**
     * @brief Notes that a connection gave no answer.
     *
     * What silenced it (a host that went away, a middlebox that lost its
     * state) silences the others of that peer as well.
     * @param key Its name.
     * @param now Present time; older connections of the peer become stale.
     */
    void distrust(const connection_key& key, time_point now);

    /** @param socket Socket that is about to be closed. */
    void remove(int socket);

    /**
     * @brief Tells whether a kept connection must not be used.
     * @param key Its name.
     * @return True if something is to be read before anything was sent (the
     * peer closed it, or sent an answer that nobody asked for), or if another
     * connection of the peer fell silent since it was opened.
     */
    [[nodiscard]] bool is_stale(const connection_key& key) const;

private:
    struct kept_socket
    {
        int socket{};
        time_point opened;
    };
    std::map<connection_key, kept_socket> sockets_;
    /** @brief When a connection last gave no answer, by peer and port. */
    std::map<std::pair<std::string, int>, time_point> silent_;
    std::map<int, connection_key> names_;
};

/** @return Local port of a socket; -1 if it has none. */
[[nodiscard]] int local_port_of(int socket) noexcept;

} // namespace rosemarytrail::http::internal

#endif
