#include "raw_upstream.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <stdexcept>
#include <utility>

namespace rosemarytrail::test {

namespace {

std::string header_of(const std::string& head, const std::string& name)
{
    std::string lower{head};
    std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    const auto at = lower.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto start = at + name.size() + 4;
    return head.substr(start, head.find("\r\n", start) - start);
}

std::string message(const std::string& status, const std::string& id,
                    const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

bool write_all(int socket, const std::string& text)
{
    return send(socket, text.data(), text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size());
}

} // namespace

raw_upstream::raw_upstream(run_log& log, fault_source faults,
                           std::chrono::milliseconds late_by)
    : log_{log}
    , faults_{std::move(faults)}
    , late_by_{late_by}
    , listener_{socket(AF_INET, SOCK_STREAM, 0)}
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* const generic_address = reinterpret_cast<sockaddr*>(&address);
    const bool listens = bind(listener_, generic_address, size) == 0 &&
                         listen(listener_, SOMAXCONN) == 0 &&
                         getsockname(listener_, generic_address, &size) == 0;
    if (!listens) {
        throw std::runtime_error{"cannot listen on a loopback port"};
    }
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    acceptor_ = std::thread{[this] {
        accept_all();
    }};
}

raw_upstream::~raw_upstream()
{
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    for (const int it : sockets_) {
        shutdown(it, SHUT_RDWR);
    }
    for (auto& it : threads_) {
        it.join();
    }
    for (const int it : sockets_) {
        close(it);
    }
    close(listener_);
}

void raw_upstream::accept_all()
{
    int it = accept(listener_, nullptr, nullptr);
    while (it >= 0) {
        sockets_.push_back(it);
        threads_.emplace_back([this, it] { serve(it); });
        it = accept(listener_, nullptr, nullptr);
    }
}

void raw_upstream::serve(int socket)
{
    std::string buf;
    char chunk[4096];
    ssize_t n = recv(socket, chunk, sizeof chunk, 0);
    while (n > 0) {
        buf.append(chunk, static_cast<std::size_t>(n));
        const auto end = buf.find("\r\n\r\n");
        if (end != std::string::npos) {
            const auto head = buf.substr(0, end + 2);
            const auto length = header_of(head, "content-length");
            const auto whole =
                end + 4 + (length.empty() ? 0 : std::stoul(length));
            if (buf.size() >= whole) {
                buf.erase(0, whole);
                if (!answer(socket, head)) {
                    shutdown(socket, SHUT_RDWR);
                    return;
                }
            }
        }
        n = recv(socket, chunk, sizeof chunk, 0);
    }
}

bool raw_upstream::answer(int socket, const std::string& head)
{
    const auto start = head.find(' ') + 1;
    const auto path = head.substr(start, head.find(' ', start) - start);
    const auto id = header_of(head, "x-request-id");
    const auto fault = faults_(path);
    if (fault == wire_fault::refused) {
        return write_all(socket, "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"
                                 "X-Request-Id: " +
                                     id + "\r\nContent-Length: 0\r\n\r\n");
    }
    log_.add(path);
    auto shown_id = id;
    auto body = body_of(path);
    {
        const std::lock_guard lock{mutex_};
        const auto last_id = std::exchange(last_id_, id);
        const auto last_body = std::exchange(last_body_, body);
        if (fault == wire_fault::crossed) {
            shown_id = last_id;
            body = last_body;
        }
    }
    const auto text = message("200 OK", shown_id, body);
    switch (fault) {
    case wire_fault::cut_off:
        write_all(socket, text.substr(0, text.size() - body.size() / 2));
        return false;
    case wire_fault::duplicated:
        return write_all(socket, text + text);
    case wire_fault::late:
        std::this_thread::sleep_for(late_by_);
        return write_all(socket, text);
    default:
        return write_all(socket, text);
    }
}

} // namespace rosemarytrail::test
