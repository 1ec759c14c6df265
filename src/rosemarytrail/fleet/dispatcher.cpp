#include <rosemarytrail/fleet/dispatcher.hpp>

#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace rosemarytrail::fleet {

namespace {

/** @return Longest chain of dependent declared work, in milliseconds. */
[[nodiscard]] std::int64_t longest_chain(const job_spec& spec)
{
    std::vector<std::int64_t> ends;
    std::int64_t longest = 0;
    for (const auto& step : spec.steps) {
        std::int64_t start = 0;
        for (const auto before : step.depends_on) {
            if (before < ends.size()) {
                start = std::max(start, ends[before]);
            }
        }
        ends.push_back(start + (step.long_running ? 0 : step.estimate_ms));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

} // namespace

dispatcher::dispatcher(const dispatcher_options& options,
                       const job_index& ledger_jobs, time_point now,
                       std::int64_t unix_ms)
    : state_{std::make_unique<state>()}
{
    state_->options = options;
    state_->last_plan = now;
    state_->previous_starts_until =
        now + options.renewal_timeout + options.max_start_delay;
    state_->restore_run_times(ledger_jobs, now);
    ledger_jobs.each_live([&](std::uint64_t /*id*/, const job_entry& entry) {
        state_->add_job(entry, now, unix_ms);
    });
    state_->restore_lease_bounds(ledger_jobs, now);
    ledger_jobs.each_leftover([this](const task_key& first) {
        state_->removals.push_back(progress_removal(first));
    });
}

dispatcher::~dispatcher() = default;

void dispatcher::state::log_decision(std::uint64_t job, std::string_view what,
                                     std::string detail)
{
    decisions.push_back(
        {.job = job, .what = what, .detail = std::move(detail)});
}

internal::tracked_step* dispatcher::state::find_step(const step_key& key)
{
    const auto it = jobs.find(key.job);
    if (it == jobs.end()) {
        return nullptr;
    }
    auto& job = *it->second;
    // An occurrence before the first tracked one wraps around.
    const auto round = key.occurrence - job.first_occurrence;
    return round < job.occurrences.size() &&
                   key.step < job.occurrences[round].size()
               ? &job.occurrences[round][key.step]
               : nullptr;
}

internal::task_state* dispatcher::state::find_task(const task_key& key)
{
    auto* step = find_step(key.step);
    return step != nullptr && key.index < step->tasks.size()
               ? &step->tasks[key.index]
               : nullptr;
}

void dispatcher::state::record_progress(tracked_step& step, std::uint32_t index)
{
    dirty.insert(&step);
    step.changed_entries.insert(index - index % step.tasks_per_entry);
}

void dispatcher::state::mark_dirty(tracked_step& step, std::uint32_t index)
{
    record_progress(step, index);
    step.job->triage.stale = true;
    replan = true;
}

void dispatcher::state::allocate(tracked_step& step, std::uint32_t index,
                                 const std::string& worker)
{
    step.tasks[index].worker = worker;
    auto& target = workers[worker];
    target.vm.id = worker;
    target.used += step.spec->reserved();
    target.load.insert({.step = step.key, .index = index});
    step.job->account->used += step.spec->demand;
    ++step.job->active;
}

void dispatcher::state::release(tracked_step& step, std::uint32_t index)
{
    auto& task = step.tasks[index];
    if (task.worker.empty()) {
        return;
    }
    auto& target = workers[task.worker];
    target.used -= step.spec->reserved();
    const task_key key{.step = step.key, .index = index};
    target.load.erase(key);
    if (target.isolated_run == key) {
        target.isolated_run.reset();
    }
    step.job->account->used -= step.spec->demand;
    --step.job->active;
    task.worker.clear();
    replan = true;
}

void dispatcher::state::back_to_waiting(tracked_step& step, std::uint32_t index,
                                        time_point now)
{
    auto& task = step.tasks[index];
    if (task.result_known) {
        set_done(step, index);
        check_complete(step, now);
        return;
    }
    remember_start(step, index, now);
    release(step, index);
    if (task.phase == task_phase::running ||
        task.phase == task_phase::unknown) {
        task.lost_at = now;
    }
    if (task.phase != task_phase::waiting) {
        task.phase = task_phase::waiting;
        ++step.waiting;
    }
    task.since = now;
    task.percent = 0;
    task.percent_at = {};
    task.progress_at = {};
    task.stalled = false;
    task.cpu_limit_percent = 100;
    task.stop_acknowledged.reset();
    mark_dirty(step, index);
}

void dispatcher::state::set_done(tracked_step& step, std::uint32_t index)
{
    auto& task = step.tasks[index];
    release(step, index);
    if (task.phase == task_phase::done) {
        return;
    }
    if (task.phase == task_phase::waiting) {
        --step.waiting;
    }
    task.phase = task_phase::done;
    task.crashes = {};
    ++step.done;
    mark_dirty(step, index);
}

void dispatcher::state::update_ready(tracked_job& job, std::int64_t unix_ms)
{
    const auto& spec = job.record.spec;
    for (auto& steps : job.occurrences) {
        for (auto& step : steps) {
            if (step.ready || step.complete() || job.ended() ||
                !spec.due(step.key.occurrence, unix_ms)) {
                continue;
            }
            step.ready = std::ranges::all_of(
                step.spec->depends_on, [&steps](std::uint32_t it) {
                    return it < steps.size() && steps[it].complete();
                });
            if (step.ready) {
                step.ready_at = last_plan;
                job.triage.stale = true;
                ready.insert(&step);
                replan = true;
            }
        }
    }
}

void dispatcher::state::restore_tasks(tracked_step& step, std::uint32_t first,
                                      const std::vector<task_progress>& rows,
                                      time_point now)
{
    const auto n = static_cast<std::uint32_t>(
        std::min(rows.size(), step.tasks.size() - first));
    step.recorded_entries.insert(first);
    for (std::uint32_t i = first; i < first + n; ++i) {
        const task_key key{.step = step.key, .index = i};
        auto& task = step.tasks[i];
        const auto& row = rows[i - first];
        // Entries of earlier versions hold all tasks of a step.
        if (n > step.tasks_per_entry) {
            mark_dirty(step, i);
        }
        task.run = row.run;
        task.begun = row.has_begun();
        task.failed_runs = row.failed_runs;
        task.crashes = row.crashes;
        task.checkpoint = row.checkpoint;
        task.confirmed = row.confirmed;
        task.confirmation_recorded = row.confirmed;
        task.start_unanswered = !row.confirmed;
        if (!row.earlier_start.empty()) {
            tie_to_worker(step, i, row.earlier_start, previous_starts_until);
            auto& worker = workers[row.earlier_start];
            worker.vm.id = row.earlier_start;
            inherit_unsettled(worker, key, 0);
        }
        task.since = now;
        task.resumed = true;
        // The previous leader may have lost an earlier run just now.
        if (row.run > 1) {
            task.lost_at = now;
        }
        for (const auto& it : row.crashes.unexplained) {
            auto& worker = workers[it.id];
            worker.vm.id = it.id;
            worker.unexplained_losses.insert(key);
            worker.losses_expire = now + options.crash_memory;
        }
        if (row.done) {
            task.phase = task_phase::done;
            --step.waiting;
            ++step.done;
        } else if (!row.worker.empty()) {
            task.phase = task_phase::unknown;
            --step.waiting;
            allocate(step, i, row.worker);
            if (!row.confirmed && !step.job->record.queue.advice) {
                inherit_unsettled(workers[row.worker], key, row.run);
            }
        }
    }
}

void dispatcher::state::apply_advice(tracked_step& step,
                                     const ledger_advice& advice)
{
    step.advice_read_at = advice.read_at;
    step.tickets.clear();
    step.allowed_as_of = 0;
    for (const auto& row : advice.grant.rows) {
        step.tickets.emplace(row.worker, row.ticket);
        if (step.granted.insert(row.worker).second) {
            step.refused_retry = {};
        }
        step.refused.erase(row.worker);
    }
    update_granted_share(step, advice.grant);
    if (!step.assigned_node.empty()) {
        auto& open = open_requests[step.assigned_node];
        open.distrusted_until = {};
        open.distrust = {};
    }
    close_request(step);
    if (step.advised_at == time_point{}) {
        step.advised_at = last_plan;
    }
    step.tickets_until = advice.read_at +
                         std::chrono::milliseconds{advice.grant.valid_ms} -
                         options.ticket_margin;
    replan = true;
}

void dispatcher::state::update_granted_share(tracked_step& step,
                                             const advice_grant& grant)
{
    // The accepting node may have sent a request of its own, with other
    // workers.
    const bool matches_request =
        !step.requested_workers.empty() &&
        std::ranges::all_of(grant.rows, [&step](const auto& row) {
            return step.requested_workers.contains(row.worker);
        });
    if (!matches_request) {
        return;
    }
    const auto part = static_cast<double>(grant.rows.size()) /
                      static_cast<double>(step.requested_workers.size());
    auto& share =
        granted_share
            .try_emplace(step.job->record.queue.name, options.granted_share)
            .first->second;
    share += (part - share) * options.granted_share_weight;
    for (const auto& id : step.requested_workers) {
        if (!step.granted.contains(id)) {
            step.refused.insert(id);
        }
    }
    step.requested_workers.clear();
}

void dispatcher::state::add_job(const job_entry& entry, time_point now,
                                std::int64_t unix_ms)
{
    auto owned = std::make_unique<tracked_job>();
    auto& job = *owned;
    job.record = *entry.record;
    job.account = &accounts[job.record.account];
    job.account->limit = limit_of(job.record.account);
    job.payload =
        std::make_shared<const std::string>(std::move(job.record.spec.payload));
    const auto& spec = job.record.spec;
    job.chain_ms = longest_chain(spec);
    // New submissions are read within milliseconds, so the age matters only for
    // jobs found at a takeover. It is clamped because the nodes' clocks may
    // differ.
    const auto age_ms = std::clamp<std::int64_t>(
        unix_ms - job.record.accepted_unix_ms, 0, 600000);
    job.accepted = now - std::chrono::milliseconds{age_ms};
    const auto objective_ms = static_cast<std::int64_t>(
        job.record.queue.slack_factor * static_cast<double>(job.chain_ms) +
        static_cast<double>(job.record.queue.target_latency_ms));
    job.objective = job.accepted + std::chrono::milliseconds{objective_ms};
    job.beyond_share = job.record.beyond_share;
    restore_occurrences(job, entry, now);
    if (spec.occurrences > 0) {
        scheduled.insert(job.record.id);
    }
    jobs.emplace(job.record.id, std::move(owned));
    job.each_step([&](const tracked_step& step) {
        for (const auto& task : step.tasks) {
            const bool out_of_attempts =
                !step.spec->long_running &&
                task.failed_runs.size() >= job.record.queue.max_attempts;
            if (out_of_attempts || exceeds_crash_limit(task)) {
                job.failed = true;
            }
        }
    });
    if (entry.cancelled) {
        cancel_job(job, now);
    } else if (job.failed) {
        fail_job(job, "a task had reached its limit before the takeover", now);
    } else {
        update_ready(job, unix_ms);
        check_finished(job);
    }
}

resource_amounts dispatcher::state::limit_of(const std::string& account) const
{
    const auto* found =
        config && !account.empty() ? config->find_account(account) : nullptr;
    return found == nullptr ? resource_amounts{} : found->limit;
}

void dispatcher::set_config(std::shared_ptr<const cell_config> config)
{
    state_->config = std::move(config);
    for (auto& [name, it] : state_->accounts) {
        it.limit = state_->limit_of(name);
    }
    state_->replan = true;
}

void dispatcher::on_job_changed(std::uint64_t id, const job_entry& entry,
                                time_point now, std::int64_t unix_ms)
{
    auto& it = *state_;
    const auto found = it.jobs.find(id);
    if (it.ended.contains(id)) {
        return;
    }
    if (found == it.jobs.end()) {
        if (entry.record && !entry.outcome) {
            it.add_job(entry, now, unix_ms);
        }
        return;
    }
    auto& job = *found->second;
    if (entry.cancelled && !job.ended()) {
        it.cancel_job(job, now);
    }
    for (const auto& [key, advice] : entry.advice) {
        auto* step = it.find_step(key);
        // The entry holds the advice of all steps, old and new.
        if (step != nullptr && !step->complete() &&
            advice.read_at != step->advice_read_at) {
            it.apply_advice(*step, advice);
        }
    }
}

void dispatcher::state::check_finished(tracked_job& job)
{
    if (job.cancelled) {
        if (job.active == 0) {
            finish_job(job, job_state::cancelled);
        }
        return;
    }
    if (!job.failed && job.next_occurrence() == job.record.spec.rounds() &&
        std::ranges::all_of(job.occurrences, internal::is_complete)) {
        finish_job(job, job_state::completed);
    }
}

void dispatcher::state::cancel_job(tracked_job& job, time_point now)
{
    job.cancelled = true;
    log_decision(job.record.id, "cancelling",
                 "active tasks " + std::to_string(job.active));
    stop_all(job, now);
    check_finished(job);
}

void dispatcher::state::fail_job(tracked_job& job, std::string_view why,
                                 time_point now)
{
    job.failed = true;
    finish_job(job, job_state::failed);
    log_decision(job.record.id, "failed", std::string{why});
    stop_all(job, now);
}

dispatcher_requests dispatcher::take_requests(time_point now)
{
    auto& self = *state_;
    const auto& options = self.options;
    dispatcher_requests result;
    for (auto& [id, worker] : self.workers) {
        const bool unresponsive =
            worker.unanswered > 0 || worker.vm.address.empty();
        if (worker.lease_until < now && unresponsive && !worker.load.empty()) {
            self.lose_expired(worker, now);
        }
        if (!worker.unexplained_losses.empty() && worker.losses_expire < now) {
            self.explain_losses(worker, false, now);
        }
        if (worker.recorded_as_restarted && worker.renewable &&
            worker.previous_clock_lease_until < now) {
            // A successor need not allow for the restart any more.
            worker.recorded_as_restarted = false;
            self.newly_renewed.push_back(id);
        }
        const bool needed = worker.listed || !worker.load.empty() ||
                            !worker.unexplained_losses.empty();
        if (worker.vm.address.empty() || worker.poll_in_flight ||
            worker.replaced || now < worker.next_poll || !needed) {
            continue;
        }
        const bool to_record = worker.last_seen_end > worker.last_recorded_end;
        const bool renewal_due =
            now - worker.last_renewal >= options.poll_timeout;
        if (to_record && !renewal_due) {
            continue;
        }
        if (self.awaits_start_response(worker) &&
            now < worker.next_poll + options.max_poll_hold) {
            continue;
        }
        // A later incarnation may run what was started since the known one was
        // last alive: the poll must not renew that, nor acknowledge its end.
        const bool start_outstanding = worker.last_start_at > worker.alive_at;
        self.drop_settled_starts(worker);
        const bool withheld = !worker.unsettled_starts.empty();
        if (withheld && worker.last_recorded_end > 0) {
            ++self.restart_counters.withheld_acknowledgements;
        }
        // An unresponsive worker may have restarted and numbers its ended runs
        // from one again.
        poll_request request{
            .worker = {.id = worker.vm.id, .address = worker.vm.address},
            .epoch = options.epoch,
            .generation = worker.generation,
            .restarts = worker.restarts,
            .acknowledged =
                worker.unanswered > 0 || start_outstanding || withheld
                    ? 0
                    : worker.last_recorded_end,
            .lease_end_ms = std::nullopt,
            .wait = to_record || !worker.fenced || start_outstanding
                        ? duration{}
                        : options.poll_timeout};
        // The lease of an unresponsive worker is not renewed, so that it
        // expires.
        if (worker.renewable && worker.unanswered == 0 && worker.clock_ms &&
            !start_outstanding) {
            request.lease_end_ms = self.lease_end(worker, now);
            if (withheld) {
                self.allow_for_late_renewal(worker, now);
            }
        }
        worker.last_renewal = now;
        worker.poll_in_flight = true;
        worker.polled_in_generation = true;
        result.polls.push_back(std::move(request));
    }
    result.starts.swap(self.starts);
    result.stops.swap(self.stops);
    result.throttles.swap(self.throttles);
    result.advice_assignments.swap(self.advice_assignments);
    self.assign_generations(result, now);
    return result;
}

std::vector<decision> dispatcher::take_decisions()
{
    return std::exchange(state_->decisions, {});
}

relocation_counts dispatcher::take_relocation_counts()
{
    return std::exchange(state_->relocated, {});
}

withheld_starts dispatcher::take_withheld_starts()
{
    return std::exchange(state_->withheld, {});
}

restart_counts dispatcher::take_restart_counts()
{
    return std::exchange(state_->restart_counters, {});
}

bool dispatcher::superseded() const noexcept
{
    return state_->superseded;
}

void dispatcher::state::count_waiting(const tracked_step& step, time_point now,
                                      dispatcher_counts& counts) const
{
    if (!within_limit(*step.job, step.spec->demand)) {
        counts.waiting_for_limit += step.waiting;
        return;
    }
    if (!step.job->record.queue.advice || step.tickets_until > now) {
        return;
    }
    counts.waiting_for_advice += step.waiting;
    auto waits_since = now;
    for (const auto& it : step.tasks) {
        if (it.phase == task_phase::waiting) {
            waits_since = std::min(waits_since, it.since);
        }
    }
    const auto waited =
        now - std::max({waits_since, step.ready_at, step.tickets_until});
    if (waited > counts.longest_advice_wait) {
        counts.longest_advice_wait = waited;
        counts.longest_advice_wait_step = step.key;
    }
}

dispatcher_counts dispatcher::count(time_point now) const
{
    dispatcher_counts result;
    result.jobs = state_->jobs.size();
    for (const auto& [id, job] : state_->jobs) {
        job->each_step([&](const internal::tracked_step& step) {
            result.tracked_tasks += step.tasks.size();
        });
    }
    result.evacuated_zones = state_->evacuated_zones.size();
    result.evacuation_left = state_->evacuation_left;
    result.demotions = state_->service_order.demotions;
    for (const auto* step : state_->ready) {
        result.waiting += step->waiting;
        result.waiting_by_class[static_cast<std::size_t>(
            step->job->triage.service_class)] += step->waiting;
        if (step->waiting > 0) {
            state_->count_waiting(*step, now, result);
        }
    }
    for (const auto& [id, worker] : state_->workers) {
        ++result.workers;
        result.fenced_workers += worker.fenced ? 1U : 0U;
        result.placed += worker.load.size();
        result.tasks_in_evacuated_zones +=
            worker.evacuated ? worker.load.size() : 0;
        if (!worker.load.empty() && worker.unanswered > 0) {
            ++result.unanswered_workers;
        } else if (!worker.load.empty() && !worker.renewable) {
            ++result.unrecorded_workers;
        }
        if (worker.health.quarantined(now)) {
            ++result.quarantined_workers;
        } else if (worker.health.on_probation()) {
            ++result.probed_workers;
        }
        if (state_->accepts_work(worker, now)) {
            ++result.usable_workers;
            result.capacity += worker.vm.capacity;
            result.used += worker.used;
        }
    }
    return result;
}

} // namespace rosemarytrail::fleet
