#include <rosemarytrail/daemon/entry_daemon.hpp>

#include <rosemarytrail/backends/http_log_client.hpp>
#include <rosemarytrail/backends/http_vm_list_client.hpp>
#include <rosemarytrail/backends/http_worker_client.hpp>
#include <rosemarytrail/core/time_source.hpp>
#include <rosemarytrail/daemon/api_handler.hpp>
#include <rosemarytrail/daemon/control_plane.hpp>
#include <rosemarytrail/daemon/shared_view.hpp>
#include <rosemarytrail/documents/key_secret.hpp>
#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/http/server.hpp>
#include <rosemarytrail/logging/log.hpp>
#include <rosemarytrail/metrics/registry.hpp>
#include <rosemarytrail/proxy/proxy_handler.hpp>
#include <rosemarytrail/request/intent_log.hpp>

#include <algorithm>
#include <string>
#include <thread>
#include <utility>

namespace rosemarytrail::daemon {

namespace {

/** Share of the shutdown time for the balancer to see the unready state. */
constexpr int accepting_divisor = 5;
constexpr duration max_accepting_time{std::chrono::seconds{5}};
constexpr duration shutdown_poll{std::chrono::milliseconds{10}};
/** Length of the random suffix of an incarnation name. */
constexpr std::size_t incarnation_digits = 12;
/** Share of the append limit that the intent stream may use. */
constexpr double intent_append_part = 0.5;

std::string address_of(const settings::daemon_settings& settings,
                       std::uint16_t port)
{
    const bool six = settings.address.find(':') != std::string::npos;
    const auto ip = six ? "[" + settings.address + "]" : settings.address;
    return ip + ":" + std::to_string(port);
}

control::controller_options
controller_options_of(const settings::daemon_settings& from,
                      const incarnation_id& self)
{
    return {.self = self,
            .peer_address = address_of(from, from.peer_port),
            .api_address = address_of(from, from.api_port),
            .region = from.region,
            .zone = from.zone,
            .stream = from.stream,
            .partitions = from.partitions,
            .appends_per_second = from.appends_per_second,
            .heartbeat_period = from.heartbeat,
            .peer_timeout = from.peer_timeout,
            .worker_period = from.worker_period,
            .freshness = {.news_period = from.news_period,
                          .command_bound = from.command_bound,
                          .task_lease = from.task_lease,
                          .drift_margin = from.drift_margin}};
}

control_plane_options plane_options_of(const settings::daemon_settings& from,
                                       const incarnation_id& self)
{
    return {.controller = controller_options_of(from, self),
            .peer_server = {.address = from.address, .port = from.peer_port},
            .peer_client = {.call_timeout = from.peer_timeout}};
}

proxy::proxy_options proxy_options_of(const settings::daemon_settings& from,
                                      const incarnation_id& self)
{
    return {.self = self,
            .requests_in_flight = from.requests_in_flight,
            .account_rate = from.account_rate,
            .request_timeout = from.request_timeout,
            .seed = std::hash<incarnation_id>{}(self)};
}

request::intent_log_options
intent_options_of(const settings::daemon_settings& from,
                  const incarnation_id& self)
{
    const auto rate = from.appends_per_second * intent_append_part;
    return {.stream = from.stream + "-intents",
            .appends = {.writer = self, .appends_per_second = rate}};
}

http::server_options server_options_of(const settings::daemon_settings& from)
{
    return {.address = from.address,
            .port = from.api_port,
            .threads = from.traffic_threads,
            .connections = from.connections,
            .body_bytes = from.body_bytes};
}

} // namespace

incarnation_id make_incarnation(const zone_id& zone)
{
    const auto random = documents::make_salt().substr(0, incarnation_digits);
    return incarnation_id{zone.str() + "-" + random};
}

/** Members are declared in dependency order: each outlives the next. */
struct entry_daemon::internal_state
{
    internal_state(const settings::daemon_settings& from,
                   const incarnation_id& name)
        : settings{from}
        , self{name}
        , upstreams{http::make_curl_client({.threads = from.traffic_threads})}
        , platform{http::make_curl_client({})}
        , log{backends::make_http_log_client(*platform, from.log_url)}
        , vms{backends::make_http_vm_list_client(*platform, from.vm_list_url)}
        , workers{backends::make_http_worker_client(*platform)}
        , intents{intent_options_of(from, name), *log, clock,
                  [this](const incarnation_id& it) {
                      return view.is_alive(it);
                  }}
        , services{proxy_options_of(from, name), clock, *upstreams, intents,
                   metrics}
        , plane{plane_options_of(from, name), plane_ports()}
        , api{{.operator_key_salt = from.operator_key_salt,
               .operator_key_hash = from.operator_key_hash,
               .request_timeout = from.request_timeout},
              {.controller = plane,
               .view = view,
               .services = services,
               .clock = clock,
               .metrics = metrics}}
        , server{server_options_of(from), api}
    {}

    control_plane_ports plane_ports()
    {
        return {.log = *log,
                .vms = *vms,
                .workers = *workers,
                .clock = clock,
                .metrics = metrics,
                .view = view,
                .routing =
                    [this](std::shared_ptr<const request::routing_table> it) {
                        services.set_table(std::move(it));
                    },
                .ticked =
                    [this](time_point now) {
                        intents.tick(now);
                        services.tick(now);
                        api.sweep(now);
                    }};
    }

    [[nodiscard]] bool finished() const
    {
        return server.in_flight() == 0 && services.in_flight() == 0 &&
               intents.flushed() && plane.shutdown_complete();
    }

    /** Waits until a time point, or until all work ends if `early` is set. */
    bool wait_until(time_point end, bool early) const
    {
        while (clock.now() < end) {
            if (early && finished())
                return true;
            std::this_thread::sleep_for(shutdown_poll);
        }
        return finished();
    }

    settings::daemon_settings settings;
    incarnation_id self;
    boot_time_source clock;
    metrics::registry metrics;
    shared_view view;
    std::unique_ptr<http::client> upstreams;
    std::unique_ptr<http::client> platform;
    std::unique_ptr<backends::log_client> log;
    std::unique_ptr<backends::vm_list_client> vms;
    std::unique_ptr<backends::worker_client> workers;
    request::intent_log intents;
    proxy::proxy_handler services;
    control_plane plane;
    api_handler api;
    http::server server;
};

entry_daemon::entry_daemon(const settings::daemon_settings& settings,
                           const incarnation_id& self)
    : state_{std::make_unique<internal_state>(settings, self)}
{}

entry_daemon::~entry_daemon()
{
    state_->server.stop();
    state_->plane.stop();
    // Aborts the calls whose callbacks refer to the control thread.
    state_->platform.reset();
}

bool entry_daemon::start(reason& why)
{
    auto& self = *state_;
    if (!self.server.start(why))
        return false;
    if (!self.plane.start(why))
        return false;
    logging::change(logging::level::info, result_code::ok,
                    "started " + self.self.str() + ", callers " +
                        address_of(self.settings, self.settings.api_port) +
                        ", peers " +
                        address_of(self.settings, self.settings.peer_port));
    return true;
}

bool entry_daemon::shut_down()
{
    auto& self = *state_;
    const auto span = self.settings.shutdown;
    const auto began = self.clock.now();
    const auto accepting =
        std::min<duration>(span / accepting_divisor, max_accepting_time);
    logging::change(logging::level::info, result_code::draining,
                    "shutting down");
    self.view.begin_drain();
    // Serve as before until the balancer has seen that: a daemon that has left
    // the cell may no longer trust its keys and refuses requests.
    self.wait_until(began + accepting, false);
    self.plane.begin_shutdown();
    self.services.begin_drain();
    self.server.stop_accepting();
    const bool clean = self.wait_until(began + span, true);
    logging::change(clean ? logging::level::info : logging::level::error,
                    result_code::draining,
                    clean ? "shut down; no work remains in flight"
                          : "the shutdown timeout expired with work in flight");
    return clean;
}

} // namespace rosemarytrail::daemon
