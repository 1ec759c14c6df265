#ifndef ROSEMARYTRAIL_TEST_LIB_SILENT_SERVER_HPP
#define ROSEMARYTRAIL_TEST_LIB_SILENT_SERVER_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace rosemarytrail::test {

/** @brief HTTP server whose open connections can fall silent for good. */
class silent_server
{
public:
    silent_server()
        : listener_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        socklen_t size = sizeof(address);
        [[maybe_unused]] const int bound = ::bind(listener_, generic, size);
        ::listen(listener_, backlog);
        ::getsockname(listener_, generic, &size);
        base = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        accepting_ = std::thread{[this] {
            accept_all();
        }};
    }

    silent_server(const silent_server&) = delete;
    silent_server& operator=(const silent_server&) = delete;

    ~silent_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        accepting_.join();
        for (const auto it : sockets_) {
            ::shutdown(it, SHUT_RDWR);
        }
        for (auto& it : serving_) {
            it.join();
        }
        for (const auto it : sockets_) {
            ::close(it);
        }
        ::close(listener_);
    }

    /** @brief Connections that are open now answer nothing any more. */
    void silence_open() { silent_before_ = connections.load(); }

    std::string base;
    std::atomic<int> connections{0};

private:
    static constexpr int backlog = 16;

    void accept_all()
    {
        for (;;) {
            const int socket = ::accept(listener_, nullptr, nullptr);
            if (socket < 0) {
                return;
            }
            const int number = connections++;
            sockets_.push_back(socket);
            serving_.emplace_back(
                [this, socket, number] { serve(socket, number); });
        }
    }

    // Requests have no body and come in one piece.
    void serve(int socket, int number) const
    {
        constexpr std::string_view answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        std::array<char, 4096> buf{};
        while (::recv(socket, buf.data(), buf.size(), 0) > 0) {
            if (number >= silent_before_) {
                ::send(socket, answer.data(), answer.size(), MSG_NOSIGNAL);
            }
        }
    }

    int listener_;
    std::atomic<int> silent_before_{0};
    std::vector<int> sockets_;
    std::vector<std::thread> serving_;
    std::thread accepting_;
};

} // namespace rosemarytrail::test

#endif
