#include <rosemarytrail/http/internal/socket_table.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace rosemarytrail::http::internal {

namespace {

/** @brief How long a timeout is remembered; much longer than an unused
 * connection is kept open. */
constexpr duration unresponsive_retention{std::chrono::minutes{1}};

} // namespace

void socket_table::add(connection_key key, int socket, time_point now)
{
    remove(socket);
    keys_[socket] = key;
    sockets_[std::move(key)] = {.socket = socket, .opened = now};
}

void socket_table::mark_unresponsive(const connection_key& key, time_point now)
{
    std::erase_if(unresponsive_, [now](const auto& it) {
        return now - it.second > unresponsive_retention;
    });
    unresponsive_[{key.peer, key.peer_port}] = now;
}

void socket_table::remove(int socket)
{
    const auto found = keys_.find(socket);
    if (found == keys_.end()) {
        return;
    }
    const auto entry = sockets_.find(found->second);
    if (entry != sockets_.end() && entry->second.socket == socket) {
        sockets_.erase(entry);
    }
    keys_.erase(found);
}

bool socket_table::is_stale(const connection_key& key) const
{
    const auto found = sockets_.find(key);
    if (found == sockets_.end()) {
        return false;
    }
    const auto unresponsive = unresponsive_.find({key.peer, key.peer_port});
    if (unresponsive != unresponsive_.end() &&
        found->second.opened <= unresponsive->second) {
        return true;
    }
    char buf = 0;
    const auto n = ::recv(found->second.socket, &buf, sizeof(buf),
                          MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

int local_port_of(int socket) noexcept
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (socket < 0 || ::getsockname(socket, generic, &size) != 0) {
        return -1;
    }
    return ntohs(address.sin_port);
}

} // namespace rosemarytrail::http::internal
