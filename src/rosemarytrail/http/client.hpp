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

/** @brief Outcome of a request at the transport level. */
enum class transport_result : std::uint8_t
{
    /** @brief The complete response was received. */
    complete,
    /** @brief No byte of the request was sent, so it was not executed. */
    not_sent,
    /** @brief The deadline passed after the request was sent. */
    timed_out,
    /** @brief The connection closed before the response was complete. */
    cut_off,
    /** @brief The response exceeds the size limit. */
    too_large,
    /** @brief The `echo` header does not match: it answers another request.
     */
    crossed
};

/** @brief Limits and timeouts of the connection pool of a client. */
struct client_options
{
    /** @brief Event-loop threads; each host is bound to one of them. */
    unsigned threads{1};
    /** @brief Maximum connections per host and port; more requests queue. */
    long connections_per_host{64};
    /** @brief Timeout for establishing a connection. */
    duration connect_timeout{std::chrono::seconds{1}};
    /** @brief Connections that are idle for longer are closed, not reused. */
    duration idle_timeout{std::chrono::seconds{15}};
};

/** @brief Request to send. */
struct client_request
{
    std::string method{"GET"};
    /** @brief URL such as `http://127.0.0.1:8080/v1/state`. */
    std::string url;
    std::vector<header> headers;
    std::string body;
    /** @brief Timeout for the complete response, including queueing. */
    duration timeout{std::chrono::seconds{5}};
    /** @brief Maximum response body, in bytes; a larger one is dropped. */
    std::size_t answer_bytes{std::size_t{8} << 20U};
    /**
     * @brief Header that the response must repeat with the same value, such
     * as `X-Request-Id`; not checked if its name is empty.
     */
    header echo;
    /**
     * @brief Whether to open a new connection for this request. It costs a
     * round trip and avoids a race with the peer closing an idle connection.
     */
    bool fresh_connection{false};
};

/** @brief Result of a request. */
struct client_response
{
    transport_result transport{transport_result::not_sent};
    /** @brief The response; valid only if `transport` is `complete`. */
    response answer;
    /** @brief Duration from the call to the result. */
    duration elapsed{};
    /** @brief Description of the transport error, if any. */
    std::string error;
};

/** @brief Asynchronous HTTP client. */
class client
{
public:
    /** @brief Receives the result, on a thread of the client. */
    using callback = std::function<void(client_response)>;

    virtual ~client() = default;

    /**
     * @brief Sends a request.
     * @param outgoing Request to send; it is queued while all connections to
     * its host are in use.
     * @param done Called exactly once, also when the client is destroyed;
     * never from within this call.
     */
    virtual void fetch(client_request outgoing, callback done) = 0;

    /**
     * @brief Sends a request and blocks; for command-line programs and tests.
     * @param outgoing Request to send.
     * @return Result of the request.
     */
    [[nodiscard]] client_response fetch_and_wait(client_request outgoing);
};

/**
 * @brief Client with a single thread that also runs tasks of its owner.
 *
 * Request callbacks, posted tasks and timers all run on that thread, so state
 * that is used only there needs no lock.
 */
class event_loop : public client
{
public:
    /** @brief Task that runs once. */
    using task = std::function<void()>;

    /** @param work Task to run on the loop's thread; callable from any thread.
     */
    virtual void post(task work) = 0;

    /**
     * @brief Schedules a task; callable only from the loop's thread.
     * @param at Time at which the task is due.
     * @param work Task to run once, unless the loop is destroyed first.
     */
    virtual void post_at(time_point at, task work) = 0;
};

/**
 * @brief Creates a client that runs libcurl's multi interface on its own
 * threads.
 *
 * A connection whose response was late, truncated, too large or crossed is
 * closed and not reused. A response without Content-Length or
 * Transfer-Encoding counts as truncated, because truncation could not be
 * detected. The client never retries a request, not even if the peer closes an
 * idle connection. A pooled connection that is readable before the request was
 * sent is closed, and the request is sent on a new connection.
 * @param options Limits and timeouts of the connection pool.
 * @return The client.
 */
[[nodiscard]] std::unique_ptr<client>
make_curl_client(const client_options& options);

/**
 * @brief Creates an event loop that runs libcurl's multi interface.
 * @param options Limits and timeouts of the connection pool; `threads` is
 * ignored.
 * @return The event loop.
 */
[[nodiscard]] std::unique_ptr<event_loop>
make_event_loop(const client_options& options);

} // namespace rosemarytrail::http

#endif
