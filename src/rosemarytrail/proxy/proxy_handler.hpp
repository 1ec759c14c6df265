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

/** @brief How a proxy bounds and times requests. */
struct proxy_options
{
    /** @brief This daemon; part of the ids that upstreams get. */
    incarnation_id self{};
    /** @brief Requests in flight at most. */
    std::uint32_t requests_in_flight{1024};
    /** @brief Requests in flight of one client account at most. */
    std::uint32_t account_in_flight{256};
    /** @brief Requests a second of one client account at most. */
    double account_rate{10000.0};
    /** @brief Longest time for a request. */
    duration request_timeout{std::chrono::seconds{10}};
    /** @brief Largest answer, in bytes. */
    std::size_t answer_bytes{std::size_t{8} << 20U};
    /** @brief Most attempts of one request. */
    std::uint32_t attempts{3};
    /** @brief Seed of the choice between upstreams. */
    std::uint64_t seed{1};
};

/**
 * @brief Serves `/v1/services/{service}/{path}`: checks the key, admits,
 * chooses an upstream, sends, checks the answer, tries again where that is
 * safe, and answers.
 *
 * Any thread may call it. It outlives the server that calls it; the client and
 * the intent store outlive it, and it must not be destroyed before
 * `in_flight()` is zero.
 */
class proxy_handler final : public http::handler
{
public:
    /**
     * @brief Makes a proxy that refuses all until it has a table.
     * @param options Bounds and times.
     * @param clock Present time.
     * @param upstreams Sends requests to upstreams.
     * @param intents Keeps requests that run at most once.
     * @param metrics Owns the counters.
     */
    proxy_handler(const proxy_options& options, const time_source& clock,
                  http::client& upstreams, request::intent_store& intents,
                  metrics::registry& metrics);
    proxy_handler(const proxy_handler&) = delete;
    proxy_handler& operator=(const proxy_handler&) = delete;
    ~proxy_handler() override;

    /**
     * @brief Publishes what the control thread knows.
     * @param table Snapshot; replaces the one before as a whole.
     */
    void set_table(std::shared_ptr<const request::routing_table> table);

    /**
     * @brief Refuses a request whose key, rate or form does not allow it.
     * @param head Request without its body.
     * @return Refusal, or nothing to read the body.
     */
    [[nodiscard]] std::optional<http::response>
    on_head(const http::request& head) override;

    /**
     * @brief Serves a whole request.
     * @param it Exchange to answer.
     */
    void on_request(std::shared_ptr<http::exchange> it) override;

    /**
     * @brief Refuses requests that have waited for too long; to be called
     * every 10 to 20 ms.
     * @param now Present time.
     */
    void tick(time_point now);

    /** @return Requests taken and not yet answered. */
    [[nodiscard]] std::size_t in_flight() const noexcept;

    /** @brief Refuses new requests; those in flight are answered. */
    void begin_drain() noexcept;

private:
    struct internal_state;
    std::shared_ptr<internal_state> state_;
};

} // namespace rosemarytrail::proxy

#endif
