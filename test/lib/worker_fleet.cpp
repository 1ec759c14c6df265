#include <test/lib/worker_fleet.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::test {

namespace {

using fleet::run_end;
using fleet::start_result;

/** @return Ticket for the present incarnation of a worker. */
[[nodiscard]] std::string ticket_of(const model_worker& it)
{
    return "t-" + it.vm.id + "-" + std::to_string(it.vm.incarnation);
}

[[nodiscard]] std::int32_t percent_of(const model_run& run, time_point now)
{
    constexpr int whole = 100;
    if (run.startup) {
        return now - run.started >= *run.startup ? whole : 0;
    }
    const auto done = run.resumed + (now - run.started);
    const auto length = run.resumed + (run.ends - run.started);
    return static_cast<std::int32_t>(whole * done /
                                     std::max(length, duration{1}));
}

} // namespace

worker_fleet::worker_fleet()
    : scripted_outcome{[](const fleet::task_key&) {
        return task_outcome{};
    }}
{
    take_over();
}

std::int64_t worker_fleet::clock_ms() const
{
    return to_milliseconds(now.time_since_epoch());
}

void worker_fleet::add_workers(std::size_t n,
                               const fleet::resource_amounts& capacity,
                               std::size_t per_rack)
{
    for (std::size_t i = 0; i < n; ++i) {
        const auto id = "w" + std::to_string(workers.size());
        const auto rack = "r1-" + std::to_string(workers.size() / per_rack);
        workers[id].vm = {.id = id,
                          .service = "s",
                          .address = id + ":1",
                          .zone = "z",
                          .rack = rack,
                          .labels = {"a", rack},
                          .capacity = capacity,
                          .incarnation = 1};
    }
    list_workers();
}

void worker_fleet::list_workers()
{
    std::vector<fleet::worker_vm> vms;
    for (const auto& [id, it] : workers) {
        if ((!it.replaced_at || now < *it.replaced_at) &&
            (!it.leaves_at || now < *it.leaves_at)) {
            vms.push_back(it.vm);
            vms.back().incarnation -= it.listed_late ? 1 : 0;
        }
    }
    dispatcher_->set_workers(vms, now);
}

void worker_fleet::restart(const std::string& worker, duration clock)
{
    auto& it = workers.at(worker);
    it.token = 0;
    it.lease = {};
    it.running.clear();
    it.ended.clear();
    it.next_end = 1;
    it.highest.clear();
    it.clock_start = now - clock;
    ++it.vm.incarnation;
}

void worker_fleet::crash(const std::string& worker)
{
    restart(worker);
    auto& it = workers.at(worker);
    it.unreachable = true;
    it.replaced_at = now + replacement_delay;
}

void worker_fleet::drain(const std::string& worker, duration remaining)
{
    auto& it = workers.at(worker);
    it.vm.draining = true;
    it.vm.remaining_ms = to_milliseconds(remaining);
    it.leaves_at = now + remaining;
    list_workers();
}

void worker_fleet::remove_departed()
{
    bool any = false;
    for (auto& [id, it] : workers) {
        if (it.leaves_at && *it.leaves_at <= now && !it.unreachable) {
            it.unreachable = true;
            it.running.clear();
            any = true;
        }
    }
    if (any) {
        list_workers();
    }
}

void worker_fleet::replace_crashed()
{
    std::vector<model_worker> replacements;
    for (auto& [id, it] : workers) {
        if (it.replaced_at && it.unreachable && *it.replaced_at <= now) {
            it.unreachable = false;
            model_worker replacement;
            replacement.vm = it.vm;
            replacements.push_back(std::move(replacement));
        }
    }
    for (auto& it : replacements) {
        it.vm.id = "w" + std::to_string(workers.size());
        workers[it.vm.id] = std::move(it);
    }
    if (!replacements.empty()) {
        list_workers();
    }
}

void worker_fleet::apply(const std::vector<fleet::ledger_entry>& entries)
{
    for (const auto& it : entries) {
        const auto value = it.value ? std::optional<std::string_view>{*it.value}
                                    : std::nullopt;
        const auto about = ledger_jobs_.apply(it.key, value, now);
        leader_jobs_.apply(it.key, value, now);
        if (!about) {
            violations.push_back("entry not decoded: " + it.key);
        } else if (about->kind == fleet::entry_kind::progress && it.value) {
            remember_runs(*about);
        }
    }
}

// The progress of a job that has ended is removed.
void worker_fleet::remember_runs(const fleet::entry_key& entry)
{
    fleet::task_key task{.step = entry.step, .index = entry.first_task};
    const auto* job = ledger_jobs_.find(entry.step.job);
    const auto* row = job->find_progress(task);
    while (row != nullptr) {
        recorded_runs_[task] = std::max(recorded_runs_[task], row->run);
        ++task.index;
        row = job->find_progress(task);
    }
}

void worker_fleet::submit(fleet::job_record record)
{
    record.accepted_unix_ms = clock_ms();
    jobs_[record.id] = record;
    apply({{.key = fleet::encode_key(
                {.kind = fleet::entry_kind::job, .step = {.job = record.id}}),
            .value = fleet::encode(record)}});
    dispatcher_->on_job_changed(record.id, *ledger_jobs_.find(record.id), now,
                                clock_ms());
}

void worker_fleet::cancel(std::uint64_t id)
{
    apply({{.key = fleet::encode_key(
                {.kind = fleet::entry_kind::cancellation, .step = {.job = id}}),
            .value = "1"}});
    dispatcher_->on_job_changed(id, *ledger_jobs_.find(id), now, clock_ms());
}

void worker_fleet::end_in_ledger(std::uint64_t id)
{
    apply(
        {{.key = fleet::encode_key(
              {.kind = fleet::entry_kind::outcome, .step = {.job = id}}),
          .value = fleet::encode(fleet::job_outcome{
              .state = fleet::job_state::completed, .unix_ms = clock_ms()})}});
}

void worker_fleet::grant(const fleet::step_key& step,
                         const std::vector<std::string>& ids, duration valid)
{
    fleet::advice_grant it{.valid_ms = to_milliseconds(valid)};
    for (const auto& id : ids) {
        it.rows.push_back({.worker = id, .ticket = ticket_of(workers.at(id))});
    }
    apply({{.key = fleet::encode_key(
                {.kind = fleet::entry_kind::advice, .step = step}),
            .value = fleet::encode(it)}});
    dispatcher_->on_job_changed(step.job, *ledger_jobs_.find(step.job), now,
                                clock_ms());
}

void worker_fleet::take_over()
{
    if (dispatcher_) {
        ++options.epoch;
    }
    apply({{.key = fleet::encode_key({.kind = fleet::entry_kind::leader}),
            .value = fleet::encode(
                fleet::leader_record{.epoch = options.epoch, .node = "n"})}});
    pending_batch_.reset();
    pending_polls_.clear();
    dispatcher_ = std::make_unique<fleet::dispatcher>(options, ledger_jobs_,
                                                      now, clock_ms());
    dispatcher_->set_config(std::make_shared<const fleet::cell_config>(config));
    list_workers();
}

void worker_fleet::end(model_worker& it, const fleet::task_key& task,
                       run_end how)
{
    const auto found = it.running.find(task);
    if (how == run_end::stopped && !found->second.checkpoint.empty()) {
        const auto saved =
            found->second.resumed + (now - found->second.started);
        found->second.checkpoint = "c" + std::to_string(to_milliseconds(saved));
    }
    it.highest[task] = std::max(it.highest[task], found->second.run);
    it.ended.push_back({.number = it.next_end++,
                        .task = task,
                        .run = found->second.run,
                        .how = how,
                        .checkpoint = found->second.checkpoint});
    if (how == run_end::done) {
        done_.insert(task);
    }
    it.running.erase(found);
}

void worker_fleet::advance(model_worker& it)
{
    for (auto i = it.delayed.begin(); i != it.delayed.end();) {
        if (i->first <= now) {
            const auto late = i->second;
            i = it.delayed.erase(i);
            [[maybe_unused]] const auto result = handle_start(it, late);
        } else {
            ++i;
        }
    }
    execute_delayed_polls(it);
    std::vector<std::pair<fleet::task_key, run_end>> ends;
    for (const auto& [task, run] : it.running) {
        if (it.lease < now) {
            ends.emplace_back(task, run_end::lease_expired);
        } else if (run.ends <= now && run.stopping) {
            ends.emplace_back(task, run_end::stopped);
        } else if (run.ends <= now) {
            ends.emplace_back(task, it.fails_all ? run_end::failed
                                                 : scripted_outcome(task).end);
        }
    }
    for (const auto& [task, how] : ends) {
        end(it, task, how);
    }
}

void worker_fleet::execute_delayed_polls(model_worker& it)
{
    std::erase_if(it.delayed_polls, [&](const auto& delayed) {
        const auto& [at, request] = delayed;
        if (at > now) {
            return false;
        }
        if (accept_token(it, request)) {
            execute_poll(it, request);
        }
        return true;
    });
}

void worker_fleet::check(model_worker& it)
{
    fleet::resource_amounts used;
    for (const auto& [task, run] : it.running) {
        used += run.demand;
    }
    if (!used.fits(it.vm.capacity)) {
        violations.push_back("capacity exceeded: " + it.vm.id);
    }
}

void worker_fleet::start(model_worker& it, const fleet::start_request& request)
{
    const auto& spec = jobs_.at(request.task.step.job).spec;
    const auto& step = spec.steps[request.task.step.step];
    for (const auto& [id, other] : workers) {
        if (other.running.contains(request.task)) {
            violations.push_back("already running: " + to_text(request.task));
        }
    }
    if (recorded_runs_[request.task] < request.run) {
        violations.push_back("start not recorded: " + to_text(request.task));
    }
    if (acknowledged_.contains(request.task)) {
        violations.push_back("started after completion: " +
                             to_text(request.task));
    }
    for (const auto before : step.depends_on) {
        for (std::uint32_t i = 0; i < spec.steps[before].tasks; ++i) {
            fleet::task_key key{.step = request.task.step, .index = i};
            key.step.step = before;
            if (!done_.contains(key) && !spec.steps[before].gang) {
                violations.push_back("started before its dependencies: " +
                                     to_text(request.task));
            }
        }
    }
    ++starts[request.task];
    const auto length =
        step.long_running || it.hangs
            ? duration{std::chrono::hours{1}}
            : std::chrono::duration_cast<duration>(
                  scripted_outcome(request.task).length * it.slowness);
    const duration resumed = request.checkpoint.size() > 1
                                 ? std::chrono::milliseconds{std::stoll(
                                       request.checkpoint.substr(1))}
                                 : std::chrono::milliseconds{};
    it.running[request.task] = {
        .run = request.run,
        .started = now,
        .ends = now + length - resumed,
        .demand = step.reserved(),
        .checkpoint = step.checkpoints ? "c" : "",
        .resumed = resumed,
        .startup = step.long_running ? std::optional{startup} : std::nullopt};
    check(it);
    if (crashes_worker && crashes_worker(request.task)) {
        // Three workers may crash, and two more starts may follow.
        constexpr std::size_t max_crashes = 5;
        if (++crashes[request.task] > max_crashes) {
            violations.push_back("crashed too many workers: " +
                                 to_text(request.task));
        }
        crash(it.vm.id);
    }
}

std::int64_t worker_fleet::clock_of(const model_worker& it) const
{
    return to_milliseconds(now - it.clock_start);
}

void worker_fleet::extend_lease(model_worker& it, std::int64_t end_ms) const
{
    const duration length = std::chrono::milliseconds{end_ms - clock_of(it)};
    it.lease = std::max(it.lease, now + std::min(length, options.max_lease));
}

template <typename Request>
bool worker_fleet::accept_token(model_worker& it, const Request& request)
{
    const auto token = fleet::fencing_token(request.epoch, request.generation);
    const bool accepted = token >= it.token;
    it.token = std::max(it.token, token);
    return accepted;
}

start_result worker_fleet::handle_start(model_worker& it,
                                        const fleet::start_request& request)
{
    if (it.replaced_at) {
        return start_result::wrong_incarnation;
    }
    if (!accept_token(it, request)) {
        return start_result::fenced;
    }
    if (refuse_tickets ||
        (!request.ticket.empty() && request.ticket != ticket_of(it))) {
        ++refused_starts;
        return start_result::ticket_refused;
    }
    if (it.refuses_starts) {
        ++refused_starts;
        return start_result::unhealthy;
    }
    if (request.lease_end_ms < clock_of(it)) {
        return start_result::lease_expired;
    }
    extend_lease(it, request.lease_end_ms);
    if (const auto found = it.highest.find(request.task);
        found != it.highest.end() && found->second >= request.run) {
        return start_result::outdated_run;
    }
    start(it, request);
    return it.unreachable && !responds_before_crash ? start_result::unknown
                                                    : start_result::started;
}

fleet::start_response worker_fleet::respond(start_result result,
                                            std::int64_t clock_ms)
{
    fleet::start_response response{.result = result, .clock_ms = std::nullopt};
    if (result != start_result::unknown) {
        response.clock_ms = clock_ms;
    }
    return response;
}

void worker_fleet::handle_stop(model_worker& it,
                               const fleet::stop_request& request)
{
    if (!accept_token(it, request)) {
        return;
    }
    it.highest[request.task] = std::max(it.highest[request.task], request.run);
    const auto found = it.running.find(request.task);
    if (found == it.running.end() || found->second.stopping) {
        return;
    }
    if (stop_time == duration{}) {
        end(it, request.task, run_end::stopped);
        return;
    }
    found->second.stopping = true;
    found->second.ends = std::min(found->second.ends, now + stop_time);
}

void worker_fleet::execute_poll(model_worker& it,
                                const fleet::poll_request& request)
{
    if (request.lease_end_ms) {
        extend_lease(it, *request.lease_end_ms);
    }
    std::erase_if(it.ended, [&](const fleet::ended_row& row) {
        const bool known = row.number <= request.acknowledged;
        if (known && row.how == run_end::done) {
            acknowledged_.insert(row.task);
        }
        return known;
    });
}

void worker_fleet::handle_poll(model_worker& it,
                               const fleet::poll_request& request,
                               time_point sent)
{
    if (it.unreachable) {
        dispatcher_->on_poll_result(request, fleet::poll_result::failed, {},
                                    sent, now + tick);
        return;
    }
    if (it.replaced_at) {
        dispatcher_->on_poll_result(request,
                                    fleet::poll_result::wrong_incarnation, {},
                                    sent, now + tick);
        return;
    }
    if (!accept_token(it, request)) {
        dispatcher_->on_poll_result(request, fleet::poll_result::fenced, {},
                                    sent, now + tick);
        return;
    }
    execute_poll(it, request);
    fleet::poll_response response{.clock_ms = clock_of(it),
                                  .incarnation = it.vm.incarnation,
                                  .running = {},
                                  .ended = it.ended,
                                  .ended_truncated = false};
    if (it.max_ended_rows && response.ended.size() >= *it.max_ended_rows) {
        response.ended.resize(*it.max_ended_rows);
        response.ended_truncated = true;
    }
    for (const auto& [task, run] : it.running) {
        response.running.push_back({.task = task,
                                    .run = run.run,
                                    .checkpoint = run.checkpoint,
                                    .percent = percent_of(run, now)});
    }
    dispatcher_->on_poll_result(request, fleet::poll_result::answered, response,
                                sent, now + tick);
}

void worker_fleet::append()
{
    if (!ledger_down && !pending_batch_) {
        pending_batch_ = {now + ledger_delay,
                          dispatcher_->take_batch(clock_ms())};
        for (const auto& it : pending_batch_->second.entries) {
            largest_entry =
                std::max(largest_entry, it.value ? it.value->size() : 0);
        }
        most_entries =
            std::max(most_entries, pending_batch_->second.entries.size());
    }
    if (pending_batch_ && pending_batch_->first <= now) {
        const auto batch = std::exchange(pending_batch_, std::nullopt)->second;
        apply(batch.entries);
        dispatcher_->on_recorded(batch.number, now);
    }
}

void worker_fleet::run(duration length)
{
    const auto until = now + length;
    while (now < until) {
        now += tick;
        replace_crashed();
        remove_departed();
        for (auto& [id, it] : workers) {
            advance(it);
        }
        dispatcher_->plan(now, clock_ms());
        append();
        const auto requests = dispatcher_->take_requests(now);
        advice_assignments.insert(advice_assignments.end(),
                                  requests.advice_assignments.begin(),
                                  requests.advice_assignments.end());
        auto polls = std::exchange(pending_polls_, {});
        for (const auto& it : requests.polls) {
            polls.emplace_back(now, it);
            last_polls[it.worker.id] = it;
        }
        for (const auto& [sent, it] : polls) {
            auto& worker = workers.at(it.worker.id);
            if (worker.poll_delay > duration{} && sent == now) {
                worker.delayed_polls.emplace_back(now + worker.poll_delay, it);
            }
            if (worker.delay_poll_responses) {
                pending_polls_.emplace_back(sent, it);
            } else if (worker.poll_delay > duration{}) {
                dispatcher_->on_poll_result(it, fleet::poll_result::failed, {},
                                            sent, now);
            } else {
                handle_poll(worker, it, sent);
            }
        }
        for (const auto& it : requests.stops) {
            auto& worker = workers.at(it.worker.id);
            const bool reached = !worker.unreachable && !worker.replaced_at;
            if (reached) {
                handle_stop(worker, it);
            }
            dispatcher_->on_stop_result(it, reached, now);
        }
        for (const auto& it : requests.starts) {
            auto& worker = workers.at(it.worker.id);
            // The start may crash it.
            const auto clock_ms = clock_of(worker);
            auto result = start_result::unknown;
            if (worker.start_delay > duration{}) {
                worker.delayed.emplace_back(now + worker.start_delay, it);
            } else if (!worker.unreachable) {
                result = handle_start(worker, it);
            }
            if (worker.withholds_start_results) {
                unanswered_starts.push_back(it);
            } else {
                dispatcher_->on_start_result(it, respond(result, clock_ms),
                                             now);
            }
        }
        throttles.insert(throttles.end(), requests.throttles.begin(),
                         requests.throttles.end());
    }
}

std::optional<fleet::job_state> worker_fleet::state(std::uint64_t id) const
{
    const auto* entry = ledger_jobs_.find(id);
    return entry == nullptr ? std::nullopt : std::optional{entry->state()};
}

std::size_t worker_fleet::running(std::uint64_t id) const
{
    std::size_t n = 0;
    for (const auto& [name, it] : workers) {
        n += static_cast<std::size_t>(
            std::ranges::count_if(it.running, [id](const auto& run) {
                return run.first.step.job == id;
            }));
    }
    return n;
}

std::string worker_fleet::worker_of(std::uint64_t id) const
{
    std::string result;
    for (const auto& [name, it] : workers) {
        if (std::ranges::any_of(it.running, [id](const auto& run) {
                return run.first.step.job == id;
            })) {
            result = name;
        }
    }
    return result;
}

std::size_t worker_fleet::running_on(const std::string& worker) const
{
    return workers.at(worker).running.size();
}

fleet::job_record make_job(std::uint64_t id,
                           std::vector<fleet::step_spec> steps)
{
    for (std::uint32_t i = 1; i < steps.size(); ++i) {
        steps[i].depends_on = {i - 1};
    }
    return {.id = id,
            .account = "a",
            .acceptor = "n",
            .queue = {.name = "q",
                      .service = "s",
                      .priority = 1,
                      .max_attempts = 3,
                      .slack_factor = 2,
                      .target_latency_ms = 1000,
                      .advice = std::nullopt},
            .spec = {.payload = "p", .steps = std::move(steps)}};
}

fleet::job_record make_advised_job(std::uint64_t id,
                                   const fleet::step_spec& step)
{
    auto job = make_job(id, {step});
    job.queue.advice = fleet::advice_policy{
        .base_ms = 400, .per_worker_ms = 5.7, .valid_ms = 2500};
    return job;
}

} // namespace rosemarytrail::test
