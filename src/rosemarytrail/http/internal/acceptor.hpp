#ifndef ROSEMARYTRAIL_HTTP_INTERNAL_ACCEPTOR_HPP
#define ROSEMARYTRAIL_HTTP_INTERNAL_ACCEPTOR_HPP

#include <rosemarytrail/core/reason.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace rosemarytrail::http::internal {

/**
 * @brief Listening socket and the thread that accepts from it.
 *
 * MHD_quiesce_daemon() of libmicrohttpd 0.9.75 can abort the process, because
 * it and the daemon's threads both remove the socket from their epoll set. The
 * daemon therefore has no listening socket and receives its connections from
 * this class.
 */
class acceptor
{
public:
    /** @brief Receives the socket of a new connection. */
    using callback = std::function<void(int)>;

    acceptor() = default;
    acceptor(const acceptor&) = delete;
    acceptor& operator=(const acceptor&) = delete;
    ~acceptor();

    /**
     * @brief Starts listening.
     * @param address IPv4 address.
     * @param port Port; zero picks a free one.
     * @param accepted Receives each connection, on the acceptor's thread.
     * @param why Set to the error if nothing is returned.
     * @return Port that is listened on, or nothing.
     */
    [[nodiscard]] std::optional<std::uint16_t> start(const std::string& address,
                                                     std::uint16_t port,
                                                     callback accepted,
                                                     reason& why);

    /** @brief Accepts the connections in the backlog, then stops listening. */
    void stop();

private:
    void run();
    void accept_all();

    int listen_{-1};
    int wake_{-1};
    callback accepted_;
    std::thread thread_;
};

} // namespace rosemarytrail::http::internal

#endif
