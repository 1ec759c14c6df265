#include <rosemarytrail/http/internal/acceptor.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace rosemarytrail::http::internal {

namespace {

/** @brief Delay before accepting again after file descriptors ran out. */
constexpr int descriptor_retry_delay_ms = 10;

[[nodiscard]] sockaddr* generic(sockaddr_in& address) noexcept
{
    return reinterpret_cast<sockaddr*>(&address);
}

[[nodiscard]] bool bind_and_listen(int socket, sockaddr_in& address)
{
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    return ::bind(socket, generic(address), sizeof(address)) == 0 &&
           ::listen(socket, SOMAXCONN) == 0;
}

} // namespace

acceptor::~acceptor()
{
    stop();
}

std::optional<std::uint16_t> acceptor::start(const std::string& address,
                                             std::uint16_t port,
                                             callback accepted, reason& why)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(port);
    if (inet_pton(AF_INET, address.c_str(), &name.sin_addr) != 1) {
        why = {.code = result_code::settings_field_range,
               .detail = "address " + address + " is not an IPv4 address"};
        return std::nullopt;
    }
    const int socket =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (!bind_and_listen(socket, name)) {
        why = {.code = result_code::unreachable,
               .detail = "cannot listen on " + address + ":" +
                         std::to_string(port) + ": " + std::strerror(errno)};
        ::close(socket);
        return std::nullopt;
    }
    socklen_t size = sizeof(name);
    ::getsockname(socket, generic(name), &size);
    listen_ = socket;
    wake_ = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    accepted_ = std::move(accepted);
    thread_ = std::thread{[this] {
        run();
    }};
    return ntohs(name.sin_port);
}

void acceptor::stop()
{
    if (!thread_.joinable()) {
        return;
    }
    eventfd_write(wake_, 1);
    thread_.join();
    ::close(listen_);
    ::close(wake_);
}

void acceptor::run()
{
    std::array<pollfd, 2> events{
        pollfd{.fd = listen_, .events = POLLIN, .revents = 0},
        pollfd{.fd = wake_, .events = POLLIN, .revents = 0}};
    while ((events[1].revents & POLLIN) == 0) {
        ::poll(events.data(), events.size(), -1);
        accept_all();
    }
}

void acceptor::accept_all()
{
    for (;;) {
        const int socket =
            ::accept4(listen_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0) {
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            accepted_(socket);
            continue;
        }
        if (errno == EMFILE || errno == ENFILE) {
            ::poll(nullptr, 0, descriptor_retry_delay_ms);
        }
        if (errno != EINTR && errno != ECONNABORTED) {
            return;
        }
    }
}

} // namespace rosemarytrail::http::internal
