#ifndef ROSEMARYTRAIL_DAEMON_API_HANDLER_HPP
#define ROSEMARYTRAIL_DAEMON_API_HANDLER_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/core/time_source.hpp>
#include <rosemarytrail/daemon/answer_deadlines.hpp>
#include <rosemarytrail/daemon/controller_access.hpp>
#include <rosemarytrail/daemon/refusal.hpp>
#include <rosemarytrail/daemon/shared_view.hpp>
#include <rosemarytrail/http/server.hpp>
#include <rosemarytrail/metrics/registry.hpp>

#include <memory>
#include <optional>
#include <string>

namespace rosemarytrail::daemon {

/** @brief Settings of the HTTP interface. */
struct api_options
{
    /** @brief Salt of the operator key, in hexadecimal. */
    std::string operator_key_salt;
    /** @brief Hash of the operator key; empty admits nobody. */
    std::string operator_key_hash;
    /** @brief Longest time for a request. */
    duration request_timeout{std::chrono::seconds{10}};
};

/** @brief What the HTTP interface works with; all outlive it. */
struct api_ports
{
    controller_access& controller;
    const shared_view& view;
    /** @brief Serves `/v1/services/`. */
    http::handler& services;
    const time_source& clock;
    metrics::registry& metrics;
};

/** @brief Serves docs/API.md; any thread may call it. */
class api_handler final : public http::handler
{
public:
    /**
     * @brief Makes a handler.
     * @param options Its settings.
     * @param ports What it works with.
     */
    api_handler(api_options options, const api_ports& ports);

    /**
     * @brief Refuses a request whose path or key does not allow it.
     * @param head Request without its body.
     * @return Refusal, or nothing to read the body.
     */
    [[nodiscard]] std::optional<http::response>
    on_head(const http::request& head) override;

    /**
     * @brief Serves a whole request; never waits.
     * @param it Exchange to answer.
     */
    void on_request(std::shared_ptr<http::exchange> it) override;

    /**
     * @brief Answers what the control state left unanswered past its time.
     * @param now Present time.
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
    answer_deadlines waiting_;
    metrics::counter& requests_;
    metrics::code_counters& refusals_;
};

} // namespace rosemarytrail::daemon

#endif
