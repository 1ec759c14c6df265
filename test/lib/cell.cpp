#include <test/lib/cell.hpp>

#include <test/lib/cell_links.hpp>

#include <rosemarytrail/documents/document.hpp>
#include <rosemarytrail/state/record.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::test {

namespace {

constexpr duration write_timeout = std::chrono::seconds{5};
constexpr duration settle_limit = std::chrono::seconds{30};

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
        it.controller.reset();
    }
}

void cell::start(std::size_t daemon)
{
    auto& it = daemons[daemon];
    it.controller.reset();
    ++it.generation;
    it.paused = false;
    it.inbox.clear();
    it.metrics = std::make_unique<metrics::registry>();
    it.log = std::make_unique<cell_log_link>(*this, daemon, it.generation);
    it.vms = std::make_unique<cell_vm_list_link>(*this, daemon, it.generation);
    it.workers =
        std::make_unique<cell_worker_link>(*this, daemon, it.generation);
    it.peers = std::make_unique<cell_peer_link>(*this, daemon, it.generation);
    control::controller_options opts{
        .self = incarnation_id{"d" + std::to_string(daemon) + "-" +
                               std::to_string(it.generation)},
        .peer_address = peer_address(daemon),
        .api_address = "api-" + std::to_string(daemon),
        .region = "region-1",
        .zone = zone_id{"zone-" + std::to_string(daemon % 2)},
        .partitions = options.partitions,
        .freshness = options.freshness};
    control::controller_ports ports{
        .log = *it.log,
        .vms = *it.vms,
        .workers = *it.workers,
        .peers = *it.peers,
        .clock = time,
        .metrics = *it.metrics,
        .routing =
            [this, daemon](std::shared_ptr<const request::routing_table> t) {
                daemons[daemon].table = std::move(t);
            },
        .changed =
            [](result_code, const std::string&) {
            }};
    it.controller =
        std::make_unique<control::controller>(std::move(opts), ports);
}

void cell::kill(std::size_t daemon)
{
    auto& it = daemons[daemon];
    ++it.generation;
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
    vm_list.upsert(it.entry, time.now());
}

void cell::set_leaving(std::size_t vm, bool leaving)
{
    workers[vm].entry.leaving = leaving;
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

void cell::note_start(const task_ref& task, const resources& request,
                      const vm_id&)
{
    auto& it = known_tasks_[task];
    it.request = request;
    if (const auto job = teams_of_jobs_.find(task.job);
        job != teams_of_jobs_.end()) {
        it.team = job->second;
    }
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

void cell::check()
{
    check_capacity();
    check_single_run();
    check_limits();
}

void cell::check_capacity()
{
    for (const auto& it : workers) {
        if (it.model && !it.model->committed().fits_in(it.entry.capacity)) {
            broken_.insert("promise 1: over-committed " + it.entry.vm.str());
        }
    }
}

void cell::check_single_run()
{
    for (const auto& [task, it] : known_tasks_) {
        if (places_of(task) > 1) {
            broken_.insert("promise 2: runs twice: " + task.job.str() + "/" +
                           std::to_string(task.index));
        }
    }
}

void cell::check_limits()
{
    for (const auto& [team, limit] : limits) {
        const auto grace = limit_grace.find(team);
        if (grace != limit_grace.end() && time.now() < grace->second) {
            continue;
        }
        if (!running_of(team).fits_in(limit)) {
            broken_.insert("promise 4: over its limit: " + team.str());
        }
    }
}

} // namespace rosemarytrail::test
