#include <rosemarytrail/http/internal/socket_table.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace rosemarytrail::http::internal {

void socket_table::add(connection_key key, int socket)
{
    remove(socket);
    names_[socket] = key;
    sockets_[std::move(key)] = socket;
}

void socket_table::remove(int socket)
{
    const auto found = names_.find(socket);
    if (found == names_.end()) {
        return;
    }
    const auto entry = sockets_.find(found->second);
    if (entry != sockets_.end() && entry->second == socket) {
        sockets_.erase(entry);
    }
    names_.erase(found);
}

bool socket_table::is_stale(const connection_key& key) const
{
    const auto found = sockets_.find(key);
    if (found == sockets_.end()) {
        return false;
    }
    char buf = 0;
    const auto n =
        ::recv(found->second, &buf, sizeof(buf), MSG_PEEK | MSG_DONTWAIT);
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
