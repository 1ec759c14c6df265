#ifndef ROSEMARYTRAIL_HTTP_CLIENT_HPP
#define ROSEMARYTRAIL_HTTP_CLIENT_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/message.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemarytrail::http {

/** @brief How far a request came on the wire. */
enum class transport_result : std::uint8_t
{
    /** @brief A whole answer arrived. */
    complete,
    /** @brief No byte of the request was sent, so it did not run. */
    not_sent,
    /** @brief The deadline passed after the request was sent. */
    timed_out,
    /** @brief The connection ended before a whole answer arrived. */
    cut_off,
    /** @brief The answer is larger than allowed. */
    too_large,
    /** @brief The answer lacks the header `echo`: it answers another request.
     */
    crossed
};

/** @brief How a client keeps its connections. */
struct client_options
{
    /** @brief Event-loop threads; a host is always served by the same one. */
    unsigned threads{1};
    /** @brief Most connections to one host and port. */
    long connections_per_host{64};
    /** @brief Time to connect. */
    duration connect_timeout{std::chrono::seconds{1}};
    /** @brief Connections idle for longer are closed, not used again. */
    duration idle_limit{std::chrono::seconds{15}};
};

/** @brief Request to send. */
struct client_request
{
    std::string method{"GET"};
    /** @brief Address such as `http://127.0.0.1:8080/v1/state`. */
    std::string url;
    std::vector<header> headers;
    std::string body;
    /** @brief Time until the answer must be whole. */
    duration timeout{std::chrono::seconds{5}};
    /** @brief Largest answer, in bytes. */
    std::size_t answer_bytes{std::size_t{8} << 20U};
    /**
     * @brief Header that the answer must bear with the same value, such as
     * `X-Request-Id`; no check if its name is empty.
     */
    header echo;
    /**
     * @brief Whether to send it on a connection of its own. It costs a round
     * trip, and rules out that the peer closes an idle connection just then.
     */
    bool fresh_connection{false};
};

/** @brief What became of a request. */
struct client_response
{
    transport_result transport{transport_result::not_sent};
    /** @brief The answer; it counts only if the transport completed. */
    response answer;
    /** @brief Time from the call to the end. */
    duration elapsed{};
    /** @brief Text of a transport error. */
    std::string error;
};

/** @brief Sends requests without blocking the caller. */
class client
{
public:
    /** @brief Receives the result on a thread of the client. */
    using callback = std::function<void(client_response)>;

    virtual ~client() = default;

    /**
     * @brief Sends a request.
     * @param outgoing Request to send; it waits while all connections to its
     * host are in use.
     * @param done Called once, also when the client is destroyed; not by the
     * caller's own thread within this call.
     */
    virtual void fetch(client_request outgoing, callback done) = 0;

    /**
     * @brief Sends a request and waits; for command-line programs and tests.
     * @param outgoing Request to send.
     * @return What became of it.
     */
    [[nodiscard]] client_response fetch_and_wait(client_request outgoing);
};

/**
 * @brief Client whose one thread also runs other work of its owner.
 *
 * Results of requests, posted calls and timers all run on that thread, so that
 * state used only there needs no lock.
 */
class event_loop : public client
{
public:
    /** @brief Work to run once. */
    using task = std::function<void()>;

    /** @param work Called soon on the loop's thread; any thread may post. */
    virtual void post(task work) = 0;

    /**
     * @brief Runs work later; only from the loop's thread.
     * @param at When it is due.
     * @param work Called once on the loop's thread, unless the loop ends first.
     */
    virtual void post_at(time_point at, task work) = 0;
};

/**
 * @brief Makes a client that runs libcurl's multi interface on own threads.
 *
 * A connection whose answer was late, cut off, too large or crossed is closed
 * and never used again. An answer that announces no end counts as cut off, as
 * it cannot be told from one that was. Requests are never repeated by the
 * client itself, also not where the peer closes an idle connection. A kept
 * connection on which something is to be read before the request was sent is
 * closed, and the request goes out on a fresh one.
 * @param options How to keep connections.
 * @return The client.
 */
[[nodiscard]] std::unique_ptr<client>
make_curl_client(const client_options& options);

/**
 * @brief Makes an event loop that runs libcurl's multi interface.
 * @param options How to keep connections; there is one thread in any case.
 * @return The loop.
 */
[[nodiscard]] std::unique_ptr<event_loop>
make_event_loop(const client_options& options);

} // namespace rosemarytrail::http

#endif
