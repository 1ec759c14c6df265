#ifndef ROSEMARYTRAIL_HTTP_INTERNAL_SOCKET_TABLE_HPP
#define ROSEMARYTRAIL_HTTP_INTERNAL_SOCKET_TABLE_HPP

#include <compare>
#include <map>
#include <string>

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
     */
    void add(connection_key key, int socket);

    /** @param socket Socket that is about to be closed. */
    void remove(int socket);

    /**
     * @brief Tells whether a kept connection must not be used.
     * @param key Its name.
     * @return True if something is to be read before anything was sent: the
     * peer closed it, or sent an answer that nobody asked for.
     */
    [[nodiscard]] bool is_stale(const connection_key& key) const;

private:
    std::map<connection_key, int> sockets_;
    std::map<int, connection_key> names_;
};

/** @return Local port of a socket; -1 if it has none. */
[[nodiscard]] int local_port_of(int socket) noexcept;

} // namespace rosemarytrail::http::internal

#endif
