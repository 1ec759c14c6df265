#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rosemarytrail::fleet {

// A previous leader renews a lease only once the ledger names its epoch for the
// worker, and only while its evidence of leadership is fresh. It obtains none
// after the claim of the next epoch, which bounds the leases that it may have
// renewed.
void dispatcher::state::restore_lease_bounds(const job_index& ledger_jobs,
                                             time_point now)
{
    recorded_workers = ledger_jobs.workers();
    for (auto& [id, it] : workers) {
        const auto known = recorded_workers.find(id);
        if (known == recorded_workers.end()) {
            it.lease_until = now;
            continue;
        }
        restore_worker(it, known->second);
        const auto& [record, read_at] = known->second;
        const auto usual =
            record.renewing
                ? ledger_jobs.claimed_at(record.epoch + 1).value_or(now) +
                      options.renewal_timeout + worst_case_lease()
                : read_at + worst_case_lease();
        it.lease_until = std::max(usual, it.previous_clock_lease_until);
        const auto last_start =
            record.renewing
                ? ledger_jobs.claimed_at(record.epoch + 1).value_or(now) +
                      options.renewal_timeout
                : read_at;
        it.unconfirmed_until = last_start + longest_start_delay(it, now) +
                               worst_case_previous_lease();
    }
}

void dispatcher::state::restore_worker(tracked_worker& worker,
                                       const ledger_worker& known) const
{
    worker.vm.address = known.record.address;
    worker.vm.incarnation = known.record.incarnation;
    worker.recorded_as_restarted = known.record.restarted;
    if (known.record.restarted) {
        worker.previous_clock_lease_until =
            known.read_at + worst_case_previous_lease();
    }
}

// Returns the maximum duration on this node's clock of a duration measured on a
// worker's clock.
duration dispatcher::state::worst_case(duration length) const
{
    return std::chrono::duration_cast<duration>(length *
                                                (1 + options.clock_drift)) +
           options.lease_margin;
}

duration dispatcher::state::worst_case_lease() const
{
    return worst_case(options.lease);
}

void dispatcher::set_workers(std::span<const worker_vm> vms, time_point now)
{
    auto& self = *state_;
    for (auto& [id, it] : self.workers) {
        it.listed = false;
    }
    const auto known_before = self.workers.size();
    bool kind_changed = false;
    for (const auto& vm : vms) {
        auto& it = self.workers[vm.id];
        if (const auto before = self.recorded_workers.find(vm.id);
            it.vm.address.empty() && before != self.recorded_workers.end()) {
            self.restore_worker(it, before->second);
        }
        if (const auto before = self.removed_workers.extract(vm.id)) {
            it.restarts = before.mapped().restarts;
            it.generation = before.mapped().generation;
            it.unsettled_starts = std::move(before.mapped().unsettled_starts);
            it.vm.address = before.mapped().address;
            it.vm.incarnation = before.mapped().incarnation;
        }
        const bool known = !it.vm.address.empty();
        if (known && vm.incarnation != 0 && it.vm.incarnation != 0 &&
            vm.incarnation > it.vm.incarnation) {
            self.on_later_incarnation(it, now, "the directory",
                                      self.restart_counters.from_directory);
        }
        // The directory repeats the record as long as it does not change.
        if (!vm.draining || vm.remaining_ms <= 0) {
            it.leaves_at.reset();
        } else if (!it.leaves_at || vm.remaining_ms != it.vm.remaining_ms) {
            it.leaves_at = vm.read_at.value_or(now) +
                           std::chrono::milliseconds{vm.remaining_ms};
        }
        if (vm.cold_left_ms != it.vm.cold_left_ms ||
            vm.incarnation > it.vm.incarnation) {
            it.cold_until = vm.read_at.value_or(now) +
                            std::chrono::milliseconds{vm.cold_left_ms};
        }
        kind_changed = kind_changed || vm.service != it.vm.service ||
                       vm.labels != it.vm.labels ||
                       !(vm.capacity == it.vm.capacity);
        const auto incarnation = std::max(vm.incarnation, it.vm.incarnation);
        it.vm = vm;
        it.vm.incarnation = incarnation;
        it.listed = true;
        it.evacuated = self.evacuated_zones.contains(vm.zone);
    }
    const bool any_added = self.workers.size() != known_before;
    const auto removed =
        std::erase_if(self.workers, [&self, now](const auto& it) {
            const auto& worker = it.second;
            const bool removable = !worker.listed && worker.load.empty() &&
                                   worker.unexplained_losses.empty() &&
                                   !worker.poll_in_flight &&
                                   worker.lease_until < now;
            if (removable && !worker.vm.address.empty()) {
                self.removed_workers[it.first] = {
                    .address = worker.vm.address,
                    .incarnation = worker.vm.incarnation,
                    .restarts = worker.restarts,
                    .generation = worker.generation,
                    .unsettled_starts = worker.unsettled_starts};
            }
            if (removable) {
                self.removals.push_back(
                    {.key = encode_key(
                         {.kind = entry_kind::worker, .worker = it.first}),
                     .value = std::nullopt});
            }
            return removable;
        });
    if (any_added || removed > 0 || kind_changed) {
        ++self.workers_version;
    }
    self.replan = true;
}

void dispatcher::set_evacuated_zones(const std::set<std::string>& zones)
{
    auto& self = *state_;
    if (zones == self.evacuated_zones) {
        return;
    }
    self.evacuated_zones = zones;
    for (auto& [id, it] : self.workers) {
        it.evacuated = zones.contains(it.vm.zone);
    }
    self.replan = true;
}

void dispatcher::state::on_run_failed(tracked_worker& worker,
                                      tracked_step& step, std::uint32_t index,
                                      time_point now)
{
    auto& task = step.tasks[index];
    task.failed_on = worker.vm.id;
    record_bad_run(worker, {.step = step.key, .index = index}, bad_run::failed,
                   now);
    const auto run = task.run;
    back_to_waiting(step, index, now);
    count_failed_run(step, index, run, now);
}

// A failed run of one member is an attempt of the whole gang.
void dispatcher::state::count_failed_run(tracked_step& step,
                                         std::uint32_t index, std::uint32_t run,
                                         time_point now)
{
    if (step.spec->long_running || step.tasks[index].has_result()) {
        return;
    }
    const auto first = step.spec->gang ? 0 : index;
    const auto n =
        step.spec->gang ? static_cast<std::uint32_t>(step.tasks.size()) : 1U;
    std::size_t attempts = 0;
    for (std::uint32_t i = first; i < first + n; ++i) {
        auto& it = step.tasks[i];
        if (std::ranges::find(it.failed_runs, run) == it.failed_runs.end()) {
            it.failed_runs.push_back(run);
        }
        attempts = std::max(attempts, it.failed_runs.size());
        mark_dirty(step, i);
    }
    if (attempts >= step.job->record.queue.max_attempts && !step.job->ended()) {
        fail_job(*step.job, "a task failed in each of its attempts", now);
    }
}

void dispatcher::state::complete_task(tracked_step& step, std::uint32_t index,
                                      time_point now)
{
    set_done(step, index);
    if (step.spec->gang) {
        // The end of one member completes the gang; the ends of the others are
        // reported later.
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            const auto& member = step.tasks[i];
            if (member.phase == task_phase::running) {
                record_good_run(workers[member.worker],
                                {.step = step.key, .index = i}, now);
            }
            if (member.phase != task_phase::done) {
                set_done(step, i);
            }
        }
    }
    check_complete(step, now);
}

void dispatcher::state::check_complete(tracked_step& step, time_point now)
{
    if (step.complete() && !step.job->ended()) {
        step.done_at = now;
        update_speeds(step);
        ready.erase(&step);
        update_ready(*step.job, 0);
    }
}

// The capacity of a later run that was sent stays allocated until that run is
// over.
void dispatcher::state::take_result(tracked_step& step, std::uint32_t index,
                                    time_point now)
{
    auto& task = step.tasks[index];
    if (!task.was_sent()) {
        set_done(step, index);
        return;
    }
    task.result_known = true;
    task.crashes = {};
    mark_dirty(step, index);
    if (task.phase != task_phase::stopping) {
        stop_task(step, index, now);
    }
}

// A run that was treated as lost may have completed all the same. The end of
// one member completes its gang.
void dispatcher::state::on_late_end(const tracked_worker& worker,
                                    tracked_step& step, const ended_row& row,
                                    time_point now)
{
    const auto index = row.task.index;
    const bool accepted = !step.spec->long_running;
    log_decision(row.task.step.job,
                 accepted ? "late end taken" : "late end not taken",
                 to_text(row.task) + " run " + std::to_string(row.run) +
                     " on " + worker.vm.id + ", newest run " +
                     std::to_string(step.tasks[index].run));
    if (!accepted) {
        return;
    }
    ++restart_counters.late_results;
    if (step.spec->gang) {
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            take_result(step, i, now);
        }
    } else {
        take_result(step, index, now);
    }
    check_complete(step, now);
    check_finished(*step.job);
}

void dispatcher::state::on_ended(tracked_worker& worker, const ended_row& row,
                                 time_point now)
{
    settle_by_list(worker, row.task, row.run);
    auto* step = find_step(row.task.step);
    if (step == nullptr || row.task.index >= step->tasks.size()) {
        on_unacknowledged_end(worker, row.task, now);
        return;
    }
    const auto index = row.task.index;
    auto& task = step->tasks[index];
    task.begun = true;
    if (task.worker != worker.vm.id || task.run != row.run) {
        if (task.has_result()) {
            on_unacknowledged_end(worker, row.task, now);
        }
        if (row.how == run_end::done && !task.has_result()) {
            on_late_end(worker, *step, row, now);
        } else if (row.how == run_end::failed && row.run <= task.run) {
            count_failed_run(*step, index, row.run, now);
        }
        return;
    }
    if (!row.checkpoint.empty()) {
        task.checkpoint = row.checkpoint;
    }
    if (row.how == run_end::done || row.how == run_end::failed) {
        clear_crashes(*step, index);
    }
    if (row.how == run_end::done && !step->spec->long_running &&
        !task.result_known) {
        record_good_run(worker, row.task, now);
        task.completed_on = worker.vm.id;
        task.run_duration = now - task.since;
        observe_run(worker, *step, index, now);
        complete_task(*step, index, now);
    } else if (row.how == run_end::failed) {
        on_run_failed(worker, *step, index, now);
    } else {
        back_to_waiting(*step, index, now);
    }
    check_finished(*step->job);
}

void dispatcher::state::log_untracked(const tracked_worker& worker,
                                      const running_row& row,
                                      const task_state* task)
{
    auto detail = to_text(row.task) + " run " + std::to_string(row.run) +
                  " on " + worker.vm.id;
    if (task != nullptr && task->occupies_worker()) {
        detail +=
            ", newest run " + std::to_string(task->run) + " on " + task->worker;
    }
    log_decision(row.task.step.job, "untracked run", std::move(detail));
}

void dispatcher::state::compare_running(tracked_worker& worker,
                                        const poll_response& response,
                                        time_point sent_at, time_point now)
{
    std::set<task_key> reported;
    std::set<task_key> earlier_runs;
    const bool had_untracked = std::exchange(worker.untracked_runs, 0) > 0;
    for (const auto& row : response.running) {
        settle_by_list(worker, row.task, row.run);
        auto* step = find_step(row.task.step);
        auto* task = find_task(row.task);
        if (task == nullptr || task->worker != worker.vm.id ||
            task->run != row.run) {
            ++worker.untracked_runs;
            log_untracked(worker, row, task);
            earlier_runs.insert(row.task);
            stops.push_back(
                {.worker = {.id = worker.vm.id, .address = worker.vm.address},
                 .task = row.task,
                 .run = row.run,
                 .epoch = options.epoch});
            continue;
        }
        reported.insert(row.task);
        confirm_run(*step, row.task.index, now);
        if (!row.checkpoint.empty()) {
            task->checkpoint = row.checkpoint;
        }
        check_progress(worker, *step, row, sent_at);
        update_speed_by_progress(worker, *step, row, now);
        if (task->phase == task_phase::start_sent ||
            task->phase == task_phase::unknown) {
            if (task->phase == task_phase::unknown) {
                task->evidence = internal::run_evidence::settled;
            }
            task->phase = task_phase::running;
            task->since = sent_at;
        } else if (task->phase == task_phase::stopping &&
                   now - task->stop_sent > options.stop_retry) {
            stop_task(*step, row.task.index, now);
        }
        observe_running(worker, row.task, sent_at);
    }
    // Nothing is placed there as long as there are any.
    replan = replan || (had_untracked && worker.untracked_runs == 0);
    std::size_t missing = 0;
    const std::vector<task_key> load{worker.load.begin(), worker.load.end()};
    for (const auto& key : load) {
        auto* step = find_step(key.step);
        if (step == nullptr || reported.contains(key) ||
            earlier_runs.contains(key)) {
            continue;
        }
        auto& task = step->tasks[key.index];
        const bool lost =
            task.phase == task_phase::unknown ||
            (task.phase == task_phase::running && task.since < sent_at) ||
            (task.phase == task_phase::stopping && task.stop_acknowledged &&
             *task.stop_acknowledged <= sent_at);
        if (lost && response.ended_truncated) {
            // The run may be among the ends that follow.
            continue;
        }
        if (lost) {
            ++missing;
            lose_run(*step, key.index, now);
            check_finished(*step->job);
        } else if (task.phase == task_phase::stopping &&
                   now - task.stop_sent > options.stop_retry) {
            stop_task(*step, key.index, now);
        }
    }
    if (missing > 0) {
        log_decision(0, "runs missing",
                     worker.vm.id + " tasks " + std::to_string(missing) +
                         ", listed running " +
                         std::to_string(response.running.size()) + ", ended " +
                         std::to_string(response.ended.size()));
    }
}

// Limits scavenger tasks that slow down a serving task on the same worker: they
// are stopped at a fraction of its latency target, before it is missed for
// long, and released step by step.
void dispatcher::state::throttle_scavengers(tracked_worker& worker,
                                            const poll_response& response,
                                            time_point now)
{
    constexpr double throttle_threshold = 0.8;
    constexpr double release_threshold = 0.5;
    constexpr std::uint32_t full_limit_percent = 100;
    constexpr std::uint32_t release_step_percent = 25;
    constexpr duration release_delay = std::chrono::milliseconds{1500};
    double worst = 0;
    for (const auto& row : response.running) {
        const auto* step = find_step(row.task.step);
        if (step != nullptr && step->spec->long_running &&
            step->spec->target_ms > 0) {
            worst =
                std::max(worst, static_cast<double>(row.usage) /
                                    static_cast<double>(step->spec->target_ms));
        }
    }
    if (worst > throttle_threshold && worker.scavenger_cpu_limit_percent > 0) {
        worker.scavenger_cpu_limit_percent = 0;
        worker.throttle_changed = now;
    } else if (worst < release_threshold &&
               worker.scavenger_cpu_limit_percent < full_limit_percent &&
               now - worker.throttle_changed > release_delay) {
        worker.scavenger_cpu_limit_percent += release_step_percent;
        worker.throttle_changed = now;
    }
    for (const auto& row : response.running) {
        const auto* step = find_step(row.task.step);
        auto* task = find_task(row.task);
        if (step == nullptr || task == nullptr || !step->spec->scavenger ||
            task->phase != task_phase::running ||
            task->cpu_limit_percent == worker.scavenger_cpu_limit_percent) {
            continue;
        }
        task->cpu_limit_percent = worker.scavenger_cpu_limit_percent;
        throttles.push_back(
            {.worker = {.id = worker.vm.id, .address = worker.vm.address},
             .task = row.task,
             .run = row.run,
             .percent = task->cpu_limit_percent,
             .epoch = options.epoch});
    }
}

void dispatcher::state::reset_session(tracked_worker& worker)
{
    worker.fenced = false;
    worker.renewable = false;
    worker.untracked_runs = 0;
    worker.last_seen_end = 0;
    worker.last_recorded_end = 0;
    worker.listed_ends = 0;
    worker.in_batch.clear();
    worker.clock_ms.reset();
    worker.alive_at = {};
    worker.list_requested_at = {};
}

// An unresponsive worker is recorded as no longer renewed, so that a successor
// need not wait until this leader's evidence of leadership has expired.
void dispatcher::state::on_unanswered(tracked_worker& worker)
{
    ++worker.unanswered;
    if (worker.unanswered == options.unresponsive_after) {
        log_decision(0, "worker unresponsive",
                     worker.vm.id + " tasks " +
                         std::to_string(worker.load.size()));
    }
    if (worker.unanswered == options.unresponsive_after && worker.renewable) {
        worker.renewable = false;
        newly_unresponsive.push_back(worker.vm.id);
    }
}

ledger_entry dispatcher::state::worker_entry(const std::string& worker,
                                             bool renewing)
{
    auto& it = workers[worker];
    it.recorded_as_restarted = it.previous_clock_lease_until > last_plan;
    return {.key = encode_key(
                {.kind = entry_kind::worker, .step = {}, .worker = worker}),
            .value =
                encode(worker_record{.epoch = options.epoch,
                                     .address = it.vm.address,
                                     .renewing = renewing,
                                     .incarnation = it.vm.incarnation,
                                     .restarted = it.recorded_as_restarted})};
}

void dispatcher::on_poll_result(const poll_request& request, poll_result result,
                                const poll_response& response,
                                time_point sent_at, time_point now)
{
    auto& self = *state_;
    const auto found = self.workers.find(request.worker.id);
    if (found == self.workers.end()) {
        return;
    }
    auto& worker = found->second;
    worker.poll_in_flight = false;
    if (result == poll_result::wrong_incarnation &&
        request.worker.address == worker.vm.address) {
        self.on_replaced(worker, now);
        return;
    }
    const bool outdated = request.generation != worker.generation;
    if (result == poll_result::fenced && outdated) {
        ++self.restart_counters.overtaken_polls;
        worker.next_poll = now;
        return;
    }
    if (result != poll_result::answered) {
        self.on_unanswered(worker);
        worker.next_poll = now + (worker.listed || !worker.load.empty()
                                      ? self.options.poll_retry_delay
                                      : self.options.poll_timeout);
        self.superseded = self.superseded || result == poll_result::fenced;
        return;
    }
    if (response.incarnation && worker.vm.incarnation != 0 &&
        *response.incarnation != worker.vm.incarnation) {
        if (*response.incarnation < worker.vm.incarnation) {
            return;
        }
        self.on_later_incarnation(worker, now, "a poll",
                                  self.restart_counters.from_poll);
    }
    if (response.incarnation) {
        worker.vm.incarnation = *response.incarnation;
    }
    if (request.restarts != worker.restarts) {
        // Calls to the previous incarnation may still take effect.
        worker.next_poll = now;
        return;
    }
    if (std::exchange(worker.incarnation_outdated, false)) {
        // The incarnation is the same, so that its clock was misread.
        worker.restarted = false;
    }
    if (worker.unanswered > 0 || !worker.fenced) {
        self.replan = true;
        if (worker.unanswered >= self.options.unresponsive_after) {
            self.log_decision(0, "worker answers again", worker.vm.id);
        }
    }
    if (!worker.fenced) {
        // From here on, neither a previous leader nor a call to a previous
        // incarnation can extend the lease.
        if (std::exchange(worker.previous_calls_possible, false)) {
            worker.previous_clock_lease_until =
                now + self.worst_case_previous_lease();
        }
        worker.lease_until = std::max(
            worker.previous_clock_lease_until,
            std::min(worker.lease_until, now + self.worst_case_lease()));
    }
    if (!worker.renewable &&
        std::ranges::find(self.newly_renewed, worker.vm.id) ==
            self.newly_renewed.end()) {
        self.newly_renewed.push_back(worker.vm.id);
    }
    worker.fenced = true;
    worker.unanswered = 0;
    worker.list_requested_at = sent_at;
    worker.clock_ms = response.clock_ms;
    worker.clock_at = now;
    self.observe_alive(worker, response.clock_ms, sent_at);
    const bool listed_too_many = self.lists_too_many_ends(worker);
    worker.listed_ends = response.ended.size();
    self.replan =
        self.replan || (listed_too_many && !self.lists_too_many_ends(worker));
    const bool lists_known_ends =
        !response.ended.empty() &&
        response.ended.back().number <= worker.last_seen_end;
    worker.next_poll =
        now + (lists_known_ends && !worker.unsettled_starts.empty()
                   ? self.options.unacknowledged_poll_interval
                   : self.options.poll_interval);
    for (const auto& row : response.ended) {
        if (row.number > worker.last_seen_end) {
            worker.last_seen_end = row.number;
            self.on_ended(worker, row, now);
        }
    }
    self.compare_running(worker, response, sent_at, now);
    self.explain_losses(worker, std::exchange(worker.restarted, false), now);
    self.throttle_scavengers(worker, response, now);
}

} // namespace rosemarytrail::fleet
