#include <rosemarytrail/proxy/internal/proxy_core.hpp>

#include <rosemarytrail/proxy/refusal.hpp>

#include <utility>

namespace rosemarytrail::proxy {

namespace {

constexpr std::size_t max_request_id_bytes{128};

request::admission_options admission_of(const proxy_options& options)
{
    return {.in_flight = options.requests_in_flight,
            .account_in_flight = options.account_in_flight,
            .account_rate = options.account_rate};
}

} // namespace

proxy_core::proxy_core(const proxy_options& opts, const time_source& source,
                       http::client& upstream_client,
                       request::intent_store& store,
                       metrics::registry& registry)
    : options{opts}
    , clock{source}
    , upstreams{upstream_client}
    , intents{store}
    , admission{admission_of(opts)}
    , selector{{.seed = opts.seed}}
    , requests{registry.make_counter("rosemarytrail_requests_total",
                                     "Requests to services")}
    , answered{registry.make_counter("rosemarytrail_requests_answered_total",
                                     "Answers of upstreams given to callers")}
    , attempts{registry.make_counter("rosemarytrail_request_attempts_total",
                                     "Requests sent to upstreams")}
    , ejections{registry.make_counter("rosemarytrail_ejections_total",
                                      "Upstreams ejected by evidence")}
    , refusals{registry.make_code_counters("rosemarytrail_refusals_total",
                                           "Refusals by reason")}
    , faults{registry.make_code_counters("rosemarytrail_upstream_faults_total",
                                         "Attempts that failed, by reason")}
    , retries{registry.make_code_counters("rosemarytrail_retries_total",
                                          "Retries by reason")}
    , retries_withheld{registry.make_code_counters(
          "rosemarytrail_retries_withheld_total",
          "Retries that were safe but not in the budget, by reason")}
    , in_flight_gauge{registry.make_gauge("rosemarytrail_requests_in_flight",
                                          "Requests taken, not yet answered")}
    , added{registry.make_summary("rosemarytrail_request_added_seconds",
                                  "Time added to that of the upstreams")}
    , upstream_time{registry.make_summary("rosemarytrail_upstream_seconds",
                                          "Time of attempts at upstreams")}
{}

std::shared_ptr<const request::routing_table> proxy_core::table() const
{
    const std::lock_guard lock{mutex_};
    return table_;
}

void proxy_core::set_table(std::shared_ptr<const request::routing_table> next)
{
    const std::lock_guard lock{mutex_};
    table_.swap(next);
}

std::string proxy_core::make_id()
{
    const auto n = ids_.fetch_add(1, std::memory_order_relaxed);
    return options.self.str() + '-' + std::to_string(n);
}

http::response proxy_core::refuse(const reason& why, bool not_run,
                                  std::string_view request_id)
{
    refusals.add(why.code);
    return refusal(why, not_run, request_id);
}

void notify(const std::vector<request::slot_notification>& notifications)
{
    for (const auto& it : notifications) {
        it.notify(it.taken);
    }
}

std::string proxy_core::request_id(const http::request& head)
{
    const auto id = http::find_header(head.headers, "X-Request-Id");
    if (!id || id->empty() || id->size() > max_request_id_bytes) {
        return make_id();
    }
    return std::string{*id};
}

} // namespace rosemarytrail::proxy
