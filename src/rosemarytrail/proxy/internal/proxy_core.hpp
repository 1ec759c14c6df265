#ifndef ROSEMARYTRAIL_PROXY_INTERNAL_PROXY_CORE_HPP
#define ROSEMARYTRAIL_PROXY_INTERNAL_PROXY_CORE_HPP

#include <rosemarytrail/proxy/proxy_handler.hpp>
#include <rosemarytrail/request/admission.hpp>
#include <rosemarytrail/request/upstream_selector.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace rosemarytrail::proxy {

/** @brief State shared by all requests of a proxy. */
struct proxy_core
{
    proxy_core(const proxy_options& opts, const time_source& source,
               http::client& upstream_client, request::intent_store& store,
               metrics::registry& registry);

    /** @return Current routing table, or null before the first. */
    [[nodiscard]] std::shared_ptr<const request::routing_table> table() const;

    /** @param next Table that replaces the current one. */
    void set_table(std::shared_ptr<const request::routing_table> next);

    /** @return New request id, unique within the cell. */
    [[nodiscard]] std::string make_id();

    /**
     * @brief Counts a refusal and builds its response.
     * @param why Reason of the refusal.
     * @param not_run True if the request was certainly not executed.
     * @param request_id Request id known to the caller.
     * @return Response to the caller.
     */
    [[nodiscard]] http::response refuse(const reason& why, bool not_run,
                                        std::string_view request_id);

    /**
     * @return Request id given by the caller, or a new one if it is missing,
     * empty or too long.
     */
    [[nodiscard]] std::string request_id(const http::request& head);

    proxy_options options;
    const time_source& clock;
    http::client& upstreams;
    request::intent_store& intents;
    request::admission admission;
    request::upstream_selector selector;

    metrics::counter& requests;
    metrics::counter& answered;
    metrics::counter& attempts;
    metrics::counter& ejections;
    metrics::code_counters& refusals;
    metrics::code_counters& faults;
    metrics::code_counters& retries;
    metrics::code_counters& retries_withheld;
    metrics::gauge& in_flight_gauge;
    metrics::summary& added;
    metrics::summary& upstream_time;

    std::atomic<std::size_t> in_flight{0};
    std::atomic<bool> draining{false};

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const request::routing_table> table_;
    std::atomic<std::uint64_t> ids_{0};
};

/** @brief Notifies queued requests whether they got a slot. */
void notify(const std::vector<request::slot_notification>& notifications);

} // namespace rosemarytrail::proxy

#endif
