// Load on proxy and upstreams over loopback, in one process: added latency,
// goodput under overload, retries and slow upstreams.

#include <rosemarytrail/documents/key_secret.hpp>
#include <rosemarytrail/http/server.hpp>
#include <rosemarytrail/load/runner.hpp>
#include <rosemarytrail/proxy/proxy_handler.hpp>
#include <rosemarytrail/standin/delay_queue.hpp>
#include <rosemarytrail/standin/upstream_service.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

ABSL_FLAG(std::string, scenario, "added",
          "added, overload, failing, down, slow or rate");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the arrivals");
ABSL_FLAG(double, seconds, 5.0, "length of each phase");
ABSL_FLAG(int, upstreams, 6, "upstreams of 8 slots");
ABSL_FLAG(int, service_ms, 10, "time of a request at an upstream");
ABSL_FLAG(int, threads, 2, "threads of the proxy's server and client");

namespace rosemarytrail::bench {

namespace {

constexpr std::uint32_t slots = 8;
constexpr std::chrono::milliseconds tick_period{10};

/** @brief Upstream behind a server of its own. */
class upstream_server final : public http::handler
{
public:
    upstream_server(const std::string& name, standin::shared_run_counter& runs,
                    standin::delay_queue& delays)
        : service_{vm_id{name}, {.slots = slots}, runs, delays}
        , server_{{.threads = 1}, *this}
    {
        reason why;
        const auto port = server_.start(why);
        if (!port) {
            std::cerr << why.detail << '\n';
            std::exit(1);
        }
        address = "127.0.0.1:" + std::to_string(*port);
    }

    [[nodiscard]] std::optional<http::response>
    on_head(const http::request& /*head*/) override
    {
        return std::nullopt;
    }

    void on_request(std::shared_ptr<http::exchange> it) override
    {
        const std::string path = it->incoming().path;
        service_.serve(it, path);
    }

    void set(const standin::upstream_faults& faults)
    {
        service_.set_faults(faults);
    }

    std::string address;

private:
    standin::upstream_service service_;
    http::server server_;
};

/** @brief Keeps nothing; this bench sends no POST. */
class no_intents final : public request::intent_store
{
public:
    void open(request::intent_key /*key*/, time_point /*deadline*/,
              std::function<void(request::intent_outcome)> done) override
    {
        done({.status = request::intent_status::run});
    }

    void close(const request::intent_key& /*key*/, bool /*ran*/,
               request::stored_response /*answer*/) override
    {}
};

/** @brief Proxy, its server and its upstreams. */
class cell
{
public:
    cell()
    {
        const auto n = static_cast<std::size_t>(absl::GetFlag(FLAGS_upstreams));
        for (std::size_t i = 0; i < n; ++i) {
            upstreams.push_back(std::make_unique<upstream_server>(
                "u" + std::to_string(i), runs_, delays_));
        }
        set_all({});
        publish();
        reason why;
        port_ = server_.start(why).value_or(0);
        ticker_ = std::jthread{[this](const std::stop_token& stop) {
            while (!stop.stop_requested()) {
                proxy_.tick(clock_.now());
                std::this_thread::sleep_for(tick_period);
            }
        }};
    }

    /** @brief Stops the answers before the upstreams end. */
    ~cell() { delays_.stop(); }
    cell(const cell&) = delete;
    cell& operator=(const cell&) = delete;

    void set_all(standin::upstream_faults faults)
    {
        for (const auto& it : upstreams) {
            set(*it, faults);
        }
    }

    static void set(upstream_server& it, standin::upstream_faults faults)
    {
        faults.service =
            std::chrono::milliseconds{absl::GetFlag(FLAGS_service_ms)};
        it.set(faults);
    }

    /** @return Requests a second that all slots can run. */
    [[nodiscard]] double capacity() const
    {
        return 1000.0 * slots * static_cast<double>(upstreams.size()) /
               absl::GetFlag(FLAGS_service_ms);
    }

    [[nodiscard]] load::target proxied() const
    {
        return {.name = "proxy",
                .urls = {"http://127.0.0.1:" + std::to_string(port_) +
                         "/v1/services/plugs/x"},
                .key = "k.secret"};
    }

    [[nodiscard]] load::target direct() const
    {
        load::target it{.name = "direct"};
        for (const auto& upstream : upstreams) {
            it.urls.push_back("http://" + upstream->address + "/plugs/x");
        }
        return it;
    }

    [[nodiscard]] std::uint64_t count(const std::string& name)
    {
        return metrics_.make_counter(name, "").value();
    }

private:
    void publish()
    {
        auto table = std::make_shared<request::routing_table>();
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            table->services[service_id{"plugs"}].push_back(
                {.vm = vm_id{"u" + std::to_string(i)},
                 .address = upstreams[i]->address,
                 .slots = slots});
        }
        table->keys[key_id{"k"}] = {.key = key_id{"k"},
                                    .team = team_id{"t"},
                                    .account = "a",
                                    .salt = "00",
                                    .hash =
                                        documents::hash_secret("00", "secret")};
        table->fresh_until = clock_.now() + std::chrono::hours{1};
        table->catching_up = false;
        proxy_.set_table(std::move(table));
    }

    boot_time_source clock_;
    standin::shared_run_counter runs_;
    standin::delay_queue delays_;
    metrics::registry metrics_;
    no_intents intents_;
    unsigned threads_{static_cast<unsigned>(absl::GetFlag(FLAGS_threads))};

public:
    std::vector<std::unique_ptr<upstream_server>> upstreams;

private:
    std::unique_ptr<http::client> client_{
        http::make_curl_client({.threads = threads_})};
    proxy::proxy_handler proxy_{{.self = incarnation_id{"e1"},
                                 .requests_in_flight = 4096,
                                 .account_in_flight = 4096,
                                 .account_rate = 1e6},
                                clock_,
                                *client_,
                                intents_,
                                metrics_};
    http::server server_{{.threads = threads_, .connections = 4096}, proxy_};
    std::uint16_t port_{};
    std::jthread ticker_;
};

load::experiment make_experiment(std::vector<load::target> targets)
{
    return {.seed = absl::GetFlag(FLAGS_seed),
            .threads = 2,
            .connections = 1024,
            .targets = std::move(targets)};
}

load::phase make_phase(const std::string& name, double rate)
{
    const std::chrono::duration<double> span{absl::GetFlag(FLAGS_seconds)};
    return {.name = name,
            .span = std::chrono::duration_cast<duration>(span),
            .rate = rate};
}

load::phase warm_up(double rate)
{
    auto it = make_phase("warm-up", rate);
    it.span = std::chrono::seconds{1};
    it.warm_up = true;
    return it;
}

void run(const load::experiment& it)
{
    const boot_time_source clock;
    const auto client = http::make_curl_client(
        {.threads = it.threads, .connections_per_host = it.connections});
    const auto results = load::run(it, {.client = *client,
                                        .clock = clock,
                                        .wait_until = load::make_wait(clock)});
    std::cout << load::format_table(results);
}

void run_added(cell& it)
{
    auto all = make_experiment({it.direct(), it.proxied()});
    // Both targets together make half of the capacity.
    const double rate = it.capacity() / 4.0;
    all.phases = {warm_up(rate), make_phase("half load", rate)};
    run(all);
}

void run_overload(cell& it)
{
    auto all = make_experiment({it.proxied()});
    all.phases = {warm_up(0.5 * it.capacity())};
    for (const auto* const factor : {"0.5", "0.9", "1.0", "1.2", "3.0"}) {
        all.phases.push_back(make_phase(std::string{factor} + " x",
                                        std::stod(factor) * it.capacity()));
    }
    run(all);
}

/** @brief Runs half load with faults on the first upstreams. */
void run_with_faults(cell& it, std::size_t n,
                     const standin::upstream_faults& faults)
{
    const double rate = it.capacity() / 2.0;
    auto all = make_experiment({it.proxied()});
    all.phases = {warm_up(rate), make_phase("healthy", rate)};
    run(all);
    for (std::size_t i = 0; i < n; ++i) {
        cell::set(*it.upstreams[i], faults);
    }
    const auto requests = it.count("rosemarytrail_requests_total");
    const auto attempts = it.count("rosemarytrail_request_attempts_total");
    all.phases = {make_phase("faulty", rate)};
    run(all);
    const auto more = it.count("rosemarytrail_requests_total") - requests;
    const auto sent =
        it.count("rosemarytrail_request_attempts_total") - attempts;
    std::cout << "faulty: requests " << more << ", attempts " << sent
              << ", ejections " << it.count("rosemarytrail_ejections_total")
              << '\n';
}

/** @brief Raises the rate until the proxy cannot follow. */
void run_rate(cell& it)
{
    auto all = make_experiment({it.proxied()});
    all.phases = {warm_up(1000.0)};
    for (const int rate : {2000, 4000, 8000, 12000, 16000}) {
        all.phases.push_back(make_phase(std::to_string(rate) + "/s", rate));
    }
    run(all);
}

int run_bench()
{
    const auto scenario = absl::GetFlag(FLAGS_scenario);
    cell it;
    std::cout << "bench_request_load --scenario=" << scenario
              << " --seed=" << absl::GetFlag(FLAGS_seed)
              << " --upstreams=" << it.upstreams.size()
              << " --service_ms=" << absl::GetFlag(FLAGS_service_ms)
              << " --threads=" << absl::GetFlag(FLAGS_threads) << "; capacity "
              << it.capacity() << " a second\n";
    const auto third = it.upstreams.size() / 3;
    if (scenario == "added") {
        run_added(it);
    } else if (scenario == "overload") {
        run_overload(it);
    } else if (scenario == "failing") {
        run_with_faults(it, third, {.fail = 1.0});
    } else if (scenario == "down") {
        run_with_faults(it, third, {.mode = standin::fault_mode::down});
    } else if (scenario == "rate") {
        run_rate(it);
    } else if (scenario == "slow") {
        const std::chrono::milliseconds service{
            absl::GetFlag(FLAGS_service_ms)};
        run_with_faults(
            it, 1, {.mode = standin::fault_mode::slow, .slow = 9 * service});
    } else {
        std::cerr << "no such scenario: " << scenario << '\n';
        return 1;
    }
    return 0;
}

} // namespace

} // namespace rosemarytrail::bench

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    return rosemarytrail::bench::run_bench();
}
