#ifndef ROSEMARYTRAIL_DAEMON_API_HANDLER_HPP
#define ROSEMARYTRAIL_DAEMON_API_HANDLER_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/core/time_source.hpp>
#include <rosemarytrail/daemon/controller_access.hpp>
#include <rosemarytrail/daemon/refusal.hpp>
#include <rosemarytrail/daemon/response_deadlines.hpp>
#include <rosemarytrail/daemon/shared_view.hpp>
#include <rosemarytrail/http/server.hpp>
#include <rosemarytrail/metrics/registry.hpp>

#include <memory>
#include <optional>
#include <string>

namespace rosemarytrail::daemon {

/** @brief Options of the HTTP API. */
struct api_options
{
    /** @brief Salt of the operator key, hexadecimal. */
    std::string operator_key_salt;
    /** @brief Hash of the operator key; if empty, no operator is admitted. */
    std::string operator_key_hash;
    /** @brief Maximum duration of a request. */
    duration request_timeout{std::chrono::seconds{10}};
};

/** @brief Dependencies of the HTTP API; all outlive it. */
struct api_ports
{
    controller_access& controller;
    const shared_view& view;
    /** @brief Handles requests to `/v1/services/`. */
    http::handler& services;
    const time_source& clock;
    metrics::registry& metrics;
};

/** @brief HTTP API as specified in docs/API.md. Thread-safe. */
class api_handler final : public http::handler
{
public:
    /**
     * @brief Constructs a handler.
     * @param options Options.
     * @param ports Dependencies.
     */
    api_handler(api_options options, const api_ports& ports);

    /**
     * @brief Checks the path and key of a request before its body is read.
     * @param head Request head.
     * @return Refusal, or nothing if the body should be read.
     */
    [[nodiscard]] std::optional<http::response>
    on_head(const http::request& head) override;

    /**
     * @brief Handles a complete request without blocking.
     * @param it Exchange to respond to.
     */
    void on_request(std::shared_ptr<http::exchange> it) override;

    /**
     * @brief Responds to exchanges whose deadline has passed.
     * @param now Current time.
     */
    void sweep(time_point now);

private:
    struct call;
    struct route;
    using serve_function = void (api_handler::*)(const call&);

    [[nodiscard]] static const route* find_route(const http::request& head);
    [[nodiscard]] std::optional<team_id>
    admit(const route& target, const http::request& head, reason& why) const;
    [[nodiscard]] bool is_operator(const http::request& head) const;

    void serve_live(const call& it);
    void serve_ready(const call& it);
    void serve_metrics(const call& it);
    void serve_members(const call& it);
    void serve_documents(const call& it);
    void serve_document(const call& it);
    void serve_publication(const call& it);
    void serve_submission(const call& it);
    void serve_jobs(const call& it);
    void serve_status(const call& it);
    void serve_cancellation(const call& it);
    void serve_declaration(const call& it);

    void post(const call& it, controller_access::call work);
    void answer(const call& it, int status, std::string body,
                std::string content_type = "application/json") const;
    void refuse(const call& it, const refusal& value) const;
    [[nodiscard]] duration timeout_of(const http::request& head) const;

    api_options options_;
    api_ports ports_;
    response_deadlines waiting_;
    metrics::counter& requests_;
    metrics::code_counters& refusals_;
};

} // namespace rosemarytrail::daemon

#endif
