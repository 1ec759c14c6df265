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
 * MHD_quiesce_daemon() of libmicrohttpd 0.9.75 can end the process: it and the
 * daemon's threads both take the socket out of their epoll set. So the daemon
 * has no listening socket and gets its connections from here.
 */
class acceptor
{
public:
    /** @brief Takes the socket of a new connection. */
    using callback = std::function<void(int)>;

    acceptor() = default;
    acceptor(const acceptor&) = delete;
    acceptor& operator=(const acceptor&) = delete;
    ~acceptor();

    /**
     * @brief Starts to listen.
     * @param address IP number.
     * @param port Port; zero lets the system choose.
     * @param accepted Receives each connection, on the acceptor's thread.
     * @param why Set if nothing is returned.
     * @return Port in use, or nothing.
     */
    [[nodiscard]] std::optional<std::uint16_t> start(const std::string& address,
                                                     std::uint16_t port,
                                                     callback accepted,
                                                     reason& why);

    /** @brief Accepts what the system has queued, then listens no more. */
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
