#ifndef ROSEMARYTRAIL_HTTP_SERVER_HPP
#define ROSEMARYTRAIL_HTTP_SERVER_HPP

#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/message.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace rosemarytrail::http {

/**
 * @brief Request that is being served.
 *
 * It can be answered later and from any thread; the connection is suspended
 * until then. An exchange that is destroyed unanswered is answered with 500.
 */
class exchange
{
public:
    virtual ~exchange() = default;

    /** @return Request with its complete body. */
    [[nodiscard]] virtual const request& incoming() const noexcept = 0;

    /**
     * @brief Answers the request; calls after the first have no effect.
     * @param answer Response to send.
     */
    virtual void respond(response answer) = 0;

    /**
     * @brief Truncates the response by closing the connection; simulated
     * backends use it to lose or truncate a response.
     * @param answer Response to truncate; its Content-Length is unchanged.
     * @param partial_bytes Bytes of the body to send before closing; zero sends
     * nothing, not even the status line.
     */
    virtual void cut_off(response answer, std::size_t partial_bytes) = 0;

    /**
     * @brief Answers the request and then sends the same response again,
     * unsolicited; simulated backends use it.
     * @param answer Response to send twice.
     */
    virtual void respond_twice(response answer) { respond(std::move(answer)); }
};

/** @brief Handles the requests of a server, on the server's threads. */
class handler
{
public:
    virtual ~handler() = default;

    /**
     * @brief Checks a request before its body is read.
     * @param head Request with an empty body.
     * @return Response that rejects it, or nothing to read the body.
     */
    [[nodiscard]] virtual std::optional<response>
    on_head(const request& head) = 0;

    /**
     * @brief Handles a complete request; must not block.
     * @param it Exchange to answer, possibly after the call returns.
     */
    virtual void on_request(std::shared_ptr<exchange> it) = 0;
};

/** @brief Address and limits of a server. */
struct server_options
{
    /** @brief IP address to listen on. */
    std::string address{"127.0.0.1"};
    /** @brief Port; zero picks a free one. */
    std::uint16_t port{};
    /** @brief Event-loop threads. */
    unsigned threads{2};
    /** @brief Maximum open connections; further ones are closed at once. */
    unsigned connections{1024};
    /** @brief Maximum body size, in bytes; a larger one is rejected with 413.
     */
    std::size_t body_bytes{std::size_t{1} << 20U};
    /** @brief Maximum headers of a request; more are rejected with 431. */
    std::size_t headers{64};
    /** @brief How long a connection may be idle before it is closed. */
    duration idle_timeout{std::chrono::seconds{30}};
};

/**
 * @brief HTTP server that runs an event loop on each of its threads.
 *
 * If a request is rejected by its head and its body exceeds 64 KiB, the
 * response is sent before the body is read and the connection is closed. A
 * smaller body is read and discarded, so that the connection can be reused.
 */
class server
{
public:
    /**
     * @brief Creates a server that does not listen yet.
     * @param options Address and limits.
     * @param target Handles the requests; must outlive the server.
     */
    server(const server_options& options, handler& target);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /**
     * @brief Starts listening.
     * @param why Set to the error if nothing is returned.
     * @return Port that is listened on, or nothing.
     */
    [[nodiscard]] std::optional<std::uint16_t> start(reason& why);

    /**
     * @brief Stops listening; requests in flight continue. Connections in the
     * backlog of the system are still accepted.
     *
     * Responses sent afterwards carry `Connection: close`, so that clients
     * stop using their open connections.
     */
    void stop_accepting();

    /** @return Requests whose head was received and that are not completed. */
    [[nodiscard]] std::size_t in_flight() const noexcept;

    /** @brief Closes all connections and stops the threads; pending responses
     * are lost. */
    void stop();

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

} // namespace rosemarytrail::http

#endif
