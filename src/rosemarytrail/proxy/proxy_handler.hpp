#ifndef ROSEMARYTRAIL_PROXY_PROXY_HANDLER_HPP
#define ROSEMARYTRAIL_PROXY_PROXY_HANDLER_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/core/time_source.hpp>
#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/http/server.hpp>
#include <rosemarytrail/metrics/registry.hpp>
#include <rosemarytrail/request/intent_store.hpp>
#include <rosemarytrail/request/routing_table.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace rosemarytrail::proxy {

/** @brief Limits and timeouts of a proxy. */
struct proxy_options
{
    /**
     * @brief Incarnation of this daemon; prefix of the request ids sent to
     * upstreams.
     */
    incarnation_id self{};
    /** @brief Maximum requests in flight; more are refused as `overloaded`. */
    std::uint32_t requests_in_flight{1024};
    /**
     * @brief Maximum requests in flight of one client account; more are refused
     * as `account_over_limit`.
     */
    std::uint32_t account_in_flight{256};
    /**
     * @brief Maximum requests per second of one client account; more are
     * refused as `account_over_limit`.
     */
    double account_rate{10000.0};
    /** @brief Default and maximum timeout of a request. */
    duration request_timeout{std::chrono::seconds{10}};
    /**
     * @brief Maximum size of a response, in bytes; a larger one is treated as
     * cut off.
     */
    std::size_t answer_bytes{std::size_t{8} << 20U};
    /** @brief Maximum attempts of one request. */
    std::uint32_t attempts{3};
    /** @brief Seed of the random upstream selection. */
    std::uint64_t seed{1};
};

/**
 * @brief HTTP handler of `/v1/services/{service}/{path}`: authenticates and
 * admits a request, selects an upstream, forwards the request, checks the
 * response and retries where that is safe.
 *
 * Thread-safe. Must outlive the server that calls it and must not be destroyed
 * before `in_flight()` is zero. The client and the intent store must outlive
 * it.
 */
class proxy_handler final : public http::handler
{
public:
    /**
     * @brief Creates a proxy that refuses all requests until it has a routing
     * table.
     * @param options Limits and timeouts.
     * @param clock Source of the current time.
     * @param upstreams Client for requests to upstreams.
     * @param intents Store of the intents of requests that run at most once.
     * @param metrics Registry that owns the counters.
     */
    proxy_handler(const proxy_options& options, const time_source& clock,
                  http::client& upstreams, request::intent_store& intents,
                  metrics::registry& metrics);
    proxy_handler(const proxy_handler&) = delete;
    proxy_handler& operator=(const proxy_handler&) = delete;
    ~proxy_handler() override;

    /**
     * @brief Publishes a new routing table.
     * @param table Immutable snapshot that replaces the current one.
     */
    void set_table(std::shared_ptr<const request::routing_table> table);

    /**
     * @brief Checks the key, rate and form of a request before its body is
     * read.
     * @param head Request without its body.
     * @return Refusal, or `std::nullopt` if the body should be read.
     */
    [[nodiscard]] std::optional<http::response>
    on_head(const http::request& head) override;

    /**
     * @brief Processes a complete request.
     * @param it HTTP exchange to respond to.
     */
    void on_request(std::shared_ptr<http::exchange> it) override;

    /**
     * @brief Refuses queued requests whose wait has timed out. Must be called
     * every 10 to 20 ms.
     * @param now Current time.
     */
    void tick(time_point now);

    /** @return Number of requests received and not yet responded to. */
    [[nodiscard]] std::size_t in_flight() const noexcept;

    /** @brief Starts to refuse new requests; those in flight are completed. */
    void begin_drain() noexcept;

private:
    struct internal_state;
    std::shared_ptr<internal_state> state_;
};

} // namespace rosemarytrail::proxy

#endif
