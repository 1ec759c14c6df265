#include <test/lib/cell.hpp>

#include <test/lib/cell_links.hpp>

#include <rosemarytrail/documents/document.hpp>
#include <rosemarytrail/documents/key_secret.hpp>
#include <rosemarytrail/state/record.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::test {

namespace {

constexpr duration write_timeout = std::chrono::seconds{5};
constexpr duration settle_limit = std::chrono::seconds{30};
constexpr const char* caller_secret = "secret";
constexpr const char* caller_salt = "00112233445566778899aabbccddeeff";

[[nodiscard]] incarnation_id intents_writer(std::size_t daemon,
                                            std::uint64_t generation)
{
    return incarnation_id{"d" + std::to_string(daemon) + "-" +
                          std::to_string(generation) + "/intents"};
}

/** Exchange of a caller in the same thread. */
class cell_exchange final : public http::exchange
{
public:
    cell_exchange(http::request incoming, std::shared_ptr<caller_answer> out)
        : incoming_{std::move(incoming)}
        , out_{std::move(out)}
    {}

    [[nodiscard]] const http::request& incoming() const noexcept override
    {
        return incoming_;
    }

    void respond(http::response answer) override
    {
        if (!out_->arrived) {
            out_->arrived = true;
            out_->answer = std::move(answer);
        }
    }

    void cut_off(http::response, std::size_t) override {}

private:
    http::request incoming_;
    std::shared_ptr<caller_answer> out_;
};

[[nodiscard]] std::string peer_address(std::size_t daemon)
{
    return "peer-" + std::to_string(daemon);
}

} // namespace

cell::cell(const cell_options& opts)
    : options{opts}
{
    workers.resize(options.vms);
    for (std::size_t n = 0; n < options.vms; ++n) {
        auto& it = workers[n];
        it.entry = {
            .vm = vm_id{"vm-" + std::to_string(n)},
            .rack = rack_id{"rack-" + std::to_string(n / options.vms_per_rack)},
            .zone = zone_id{"zone-" + std::to_string(n % 2)},
            .region = "region-1",
            .capacity = options.vm_capacity,
            .worker_address = "vm-" + std::to_string(n),
            .service_address = "service-vm-" + std::to_string(n)};
        restart_vm(n);
    }
    daemons.resize(options.daemons);
    for (std::size_t n = 0; n < options.daemons; ++n) {
        start(n);
    }
}

cell::~cell()
{
    for (auto& it : daemons) {
        it.proxy.reset();
        it.intents.reset();
        it.controller.reset();
    }
}

void cell::start(std::size_t daemon)
{
    auto& it = daemons[daemon];
    it.proxy.reset();
    it.intents.reset();
    it.controller.reset();
    ++it.generation;
    it.paused = false;
    it.inbox.clear();
    retired_.insert(retired_.end(),
                    {it.log, it.vms, it.workers, it.peers, it.upstreams});
    it.metrics = std::make_unique<metrics::registry>();
    it.log = std::make_shared<cell_log_link>(*this, daemon, it.generation);
    it.vms = std::make_shared<cell_vm_list_link>(*this, daemon, it.generation);
    it.workers =
        std::make_shared<cell_worker_link>(*this, daemon, it.generation);
    it.peers = std::make_shared<cell_peer_link>(*this, daemon, it.generation);
    control::controller_options opts{
        .self = incarnation_id{"d" + std::to_string(daemon) + "-" +
                               std::to_string(it.generation)},
        .peer_address = peer_address(daemon),
        .api_address = "api-" + std::to_string(daemon),
        .region = "region-1",
        .zone = zone_id{"zone-" + std::to_string(daemon % 2)},
        .partitions = options.partitions,
        .freshness = options.freshness,
        .snapshots = {.entries = options.snapshot_entries}};
    control::controller_ports ports{
        .log = *it.log,
        .vms = *it.vms,
        .workers = *it.workers,
        .peers = *it.peers,
        .clock = time,
        .metrics = *it.metrics,
        .routing =
            [this, daemon](std::shared_ptr<const request::routing_table> t) {
                auto& target = daemons[daemon];
                target.table = t;
                if (target.proxy) {
                    target.proxy->set_table(std::move(t));
                }
            },
        .changed =
            [](result_code, const std::string&) {
            }};
    it.upstreams =
        std::make_shared<cell_upstream_link>(*this, daemon, it.generation);
    it.intents = std::make_unique<request::intent_log>(
        request::intent_log_options{
            .appends = {.writer = intents_writer(daemon, it.generation)}},
        *it.log, time,
        [this](const incarnation_id& writer) { return writes(writer); });
    it.proxy = std::make_unique<proxy::proxy_handler>(
        proxy::proxy_options{.self = opts.self, .seed = daemon + 1}, time,
        *it.upstreams, *it.intents, *it.metrics);
    it.controller =
        std::make_unique<control::controller>(std::move(opts), ports);
}

bool cell::writes(const incarnation_id& writer) const
{
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        if (daemons[n].controller != nullptr &&
            writer == intents_writer(n, daemons[n].generation)) {
            return true;
        }
    }
    return false;
}

void cell::kill(std::size_t daemon)
{
    auto& it = daemons[daemon];
    ++it.generation;
    it.proxy.reset();
    it.intents.reset();
    it.controller.reset();
    it.table.reset();
    it.inbox.clear();
}

void cell::pause(std::size_t daemon)
{
    daemons[daemon].paused = true;
}

void cell::resume(std::size_t daemon)
{
    auto& it = daemons[daemon];
    it.paused = false;
    auto waiting = std::exchange(it.inbox, {});
    for (auto& call : waiting) {
        call();
    }
}

bool cell::running(std::size_t daemon) const
{
    return daemons[daemon].controller != nullptr && !daemons[daemon].paused;
}

void cell::kill_vm(std::size_t vm)
{
    workers[vm].dead = true;
    workers[vm].model.reset();
    workers[vm].upstream.reset();
    vm_list.remove(workers[vm].entry.vm, time.now());
}

void cell::restart_vm(std::size_t vm)
{
    auto& it = workers[vm];
    it.dead = false;
    const auto first_token =
        static_cast<std::uint64_t>(time.now().time_since_epoch().count());
    it.model = std::make_unique<standin::worker_model>(
        standin::worker_options{.capacity = it.entry.capacity,
                                .token_span = options.freshness.command_bound,
                                .first_token = first_token});
    it.upstream = std::make_unique<standin::upstream_model>(
        standin::upstream_options{}, runs,
        standin::upstream_faults{.service = std::chrono::milliseconds{20}});
    vm_list.upsert(it.entry, time.now());
}

void cell::set_leaving(std::size_t vm, bool leaving)
{
    workers[vm].entry.leaving = leaving;
    workers[vm].leaving_since.reset();
    if (leaving) {
        workers[vm].leaving_since = time.now();
    }
    vm_list.upsert(workers[vm].entry, time.now());
}

message_fate cell::see(const message_event& event) const
{
    message_fate fate;
    if (on_message) {
        on_message(event, fate);
    }
    return fate;
}

void cell::deliver(std::size_t daemon, std::uint64_t generation,
                   std::function<void()> call)
{
    auto& it = daemons[daemon];
    if (it.generation != generation || !it.controller) {
        return;
    }
    if (it.paused) {
        it.inbox.push_back(std::move(call));
        return;
    }
    call();
}

void cell::wait_for_entries(const std::string& stream,
                            std::function<void()> wake)
{
    readers_[stream].push_back(std::move(wake));
}

void cell::wake_readers(const std::string& stream)
{
    auto waiting = std::exchange(readers_[stream], {});
    for (auto& wake : waiting) {
        wake();
    }
}

std::optional<std::size_t> cell::daemon_at(const std::string& address) const
{
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        if (peer_address(n) == address) {
            return n;
        }
    }
    return std::nullopt;
}

void cell::run_for(duration span)
{
    const auto until = time.now() + span;
    while (time.now() < until) {
        time.run_until(time.now() + options.tick);
        tick_all();
        check();
    }
}

bool cell::run_until(duration limit, const std::function<bool()>& condition)
{
    const auto until = time.now() + limit;
    while (time.now() < until) {
        if (condition()) {
            return true;
        }
        run_for(options.tick);
    }
    return condition();
}

void cell::tick_all()
{
    for (auto& it : workers) {
        if (it.model) {
            it.model->advance(time.now());
        }
    }
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        if (running(n)) {
            daemons[n].controller->tick(time.now());
            daemons[n].intents->tick(time.now());
        }
    }
}

bool cell::settle()
{
    return run_until(settle_limit, [this] {
        for (std::size_t n = 0; n < daemons.size(); ++n) {
            if (!running(n)) {
                continue;
            }
            const auto view = daemons[n].controller->view();
            std::uint32_t vms = 0;
            for (const auto& it : view.partitions) {
                vms += it.vms;
                if (!it.settled) {
                    return false;
                }
            }
            if (view.partitions.empty() || vms < options.vms) {
                return false;
            }
        }
        return true;
    });
}

control::publish_outcome cell::publish(std::size_t daemon,
                                       const std::string& name,
                                       record_number replaces,
                                       const std::string& content)
{
    auto out = std::make_shared<std::optional<control::publish_outcome>>();
    daemons[daemon].controller->publish(
        {.name = name, .replaces = replaces, .content = content}, write_timeout,
        [out](control::publish_outcome outcome) { *out = std::move(outcome); });
    (void)run_until(2 * write_timeout, [out] { return out->has_value(); });
    return out->value_or(control::publish_outcome{
        .why = {.code = result_code::submission_outcome_unknown}});
}

bool cell::publish_team(const std::string& team, const resources& limit,
                        double weight)
{
    limits[team_id{team}] = limit;
    const auto text = documents::format_published(
        team_spec{.team = team_id{team}, .weight = weight, .limit = limit});
    return publish(0, "team/" + team, 0, text).revision.has_value();
}

control::submit_outcome cell::submit(std::size_t daemon, const job_spec& spec,
                                     const std::string& submission)
{
    auto out = std::make_shared<std::optional<control::submit_outcome>>();
    daemons[daemon].controller->submit(
        {.team = spec.team,
         .document = documents::format_job(spec),
         .id = submission},
        write_timeout, [this, out, team = spec.team](auto outcome) {
            if (outcome.job) {
                teams_of_jobs_[*outcome.job] = team;
            }
            *out = std::move(outcome);
        });
    (void)run_until(2 * write_timeout, [out] { return out->has_value(); });
    control::submit_outcome unknown;
    unknown.not_run = false;
    unknown.why.code = result_code::submission_outcome_unknown;
    return out->value_or(unknown);
}

std::optional<control::job_status> cell::status(std::size_t daemon,
                                                const team_id& team,
                                                const job_id& job,
                                                record_number read_from)
{
    struct answer
    {
        bool arrived{false};
        std::optional<control::job_status> status;
    };
    auto out = std::make_shared<answer>();
    daemons[daemon].controller->status(
        team, job, read_from, write_timeout,
        [out](std::optional<control::job_status> it, const reason&) {
            out->arrived = true;
            out->status = std::move(it);
        });
    (void)run_until(2 * write_timeout, [out] { return out->arrived; });
    return out->status;
}

std::string key_document(const std::string& key, const std::string& team,
                         bool withdrawn)
{
    return documents::format_published(
        key_spec{.key = key_id{key},
                 .team = team_id{team},
                 .account = team,
                 .salt = caller_salt,
                 .hash = documents::hash_secret(caller_salt, caller_secret),
                 .withdrawn = withdrawn});
}

control::publish_outcome cell::publish_key(std::size_t daemon,
                                           const std::string& key,
                                           const std::string& team,
                                           bool withdrawn,
                                           record_number replaces)
{
    shown_key = key + "." + caller_secret;
    return publish(daemon, "key/" + key, replaces,
                   key_document(key, team, withdrawn));
}

std::shared_ptr<caller_answer> cell::request(std::size_t daemon,
                                             const std::string& method,
                                             const std::string& key)
{
    auto out = std::make_shared<caller_answer>();
    if (!running(daemon)) {
        return out;
    }
    http::request incoming{.method = method,
                           .path = "/v1/services/plugs/book",
                           .headers = {{"Authorization", "Bearer " + shown_key},
                                       {"X-Deadline-Ms", "5000"}}};
    if (!key.empty()) {
        incoming.headers.push_back({"Idempotency-Key", key});
    }
    auto& proxy = *daemons[daemon].proxy;
    if (auto refusal = proxy.on_head(incoming)) {
        out->arrived = true;
        out->answer = std::move(*refusal);
        return out;
    }
    proxy.on_request(std::make_shared<cell_exchange>(incoming, out));
    return out;
}

std::vector<state::record> cell::records() const
{
    std::vector<state::record> out;
    const auto all =
        log.read({.stream = "cell", .bytes = std::size_t{1} << 30U});
    for (const auto& it : all.entries) {
        std::uint64_t unknown = 0;
        reason why;
        if (const auto batch = state::decode(it.payload, unknown, why)) {
            out.insert(out.end(), batch->records.begin(), batch->records.end());
        }
    }
    return out;
}

std::uint64_t cell::task_ends(result_code code)
{
    std::uint64_t n = 0;
    for (const auto& it : daemons) {
        n += it.metrics->make_code_counters("rosemarytrail_task_ends_total", "")
                 .value(code);
    }
    return n;
}

std::size_t cell::places_of(const task_ref& task) const
{
    return static_cast<std::size_t>(
        std::count_if(workers.begin(), workers.end(), [&](const auto& it) {
            return it.model && it.model->runs(task);
        }));
}

resources cell::running_of(const team_id& team) const
{
    resources out{};
    for (const auto& [task, it] : known_tasks_) {
        if (it.team == team) {
            out += it.request * static_cast<std::int64_t>(places_of(task));
        }
    }
    return out;
}

} // namespace rosemarytrail::test
