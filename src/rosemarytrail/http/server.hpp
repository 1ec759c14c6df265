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
 * @brief One request that is being served.
 *
 * It may be answered later and from any thread; the connection is suspended
 * until then. An exchange that is dropped unanswered is answered with 500.
 */
class exchange
{
public:
    virtual ~exchange() = default;

    /** @return Request with its whole body. */
    [[nodiscard]] virtual const request& incoming() const noexcept = 0;

    /**
     * @brief Answers the request; only the first call counts.
     * @param answer Answer to send.
     */
    virtual void respond(response answer) = 0;

    /**
     * @brief Closes the connection without a whole answer; stand-ins use it
     * to lose or cut off an answer.
     * @param answer Answer that is cut off; its length is announced in full.
     * @param partial_bytes Bytes of the body to send before the cut; zero sends
     * nothing at all, not even the status.
     */
    virtual void cut_off(response answer, std::size_t partial_bytes) = 0;

    /**
     * @brief Answers the request, and sends the same answer once more, which
     * nobody asked for; stand-ins use it.
     * @param answer Answer to send twice.
     */
    virtual void respond_twice(response answer) { respond(std::move(answer)); }
};

/** @brief Receives the requests of a server, on its threads. */
class handler
{
public:
    virtual ~handler() = default;

    /**
     * @brief Sees a request before its body is read.
     * @param head Request with an empty body.
     * @return Answer that refuses it, or nothing to read the body.
     */
    [[nodiscard]] virtual std::optional<response>
    on_head(const request& head) = 0;

    /**
     * @brief Serves a whole request; must not block.
     * @param it Exchange to answer now or later.
     */
    virtual void on_request(std::shared_ptr<exchange> it) = 0;
};

/** @brief How a server listens. */
struct server_options
{
    /** @brief IP number to listen on. */
    std::string address{"127.0.0.1"};
    /** @brief Port; zero lets the system choose. */
    std::uint16_t port{};
    /** @brief Event-loop threads. */
    unsigned threads{2};
    /** @brief Most connections at once; more are closed. */
    unsigned connections{1024};
    /** @brief Largest body, in bytes; a larger one is refused with 413. */
    std::size_t body_bytes{std::size_t{1} << 20U};
    /** @brief Most header lines of a request; more are refused with 431. */
    std::size_t headers{64};
    /** @brief Time after which an idle connection is closed. */
    duration idle_timeout{std::chrono::seconds{30}};
};

/**
 * @brief HTTP server with an event loop on each of its threads.
 *
 * A request whose body is larger than 64 KiB and refused by its head gets the
 * answer before the body is read, and the connection is closed; a smaller body
 * is read and dropped, so that the connection can be used again.
 */
class server
{
public:
    /**
     * @brief Prepares a server; nothing listens yet.
     * @param options How to listen.
     * @param target Receives the requests; outlives the server.
     */
    server(const server_options& options, handler& target);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /**
     * @brief Starts to listen.
     * @param why Set if nothing is returned.
     * @return Port in use, or nothing.
     */
    [[nodiscard]] std::optional<std::uint16_t> start(reason& why);

    /**
     * @brief Listens no more; requests in flight go on. Connections that the
     * system had queued are still accepted.
     *
     * Answers from then on bear `Connection: close`, so that callers with an
     * open connection leave it.
     */
    void stop_accepting();

    /** @return Requests whose head has arrived and whose answer is not out. */
    [[nodiscard]] std::size_t in_flight() const noexcept;

    /** @brief Ends all connections and threads; answers in flight are lost. */
    void stop();

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

} // namespace rosemarytrail::http

#endif
