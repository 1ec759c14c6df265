#include <rosemarytrail/fleet/internal/books.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rosemarytrail::fleet {

// A previous leader renews a lease only once the ledger names its epoch for the
// worker, and only while its evidence of leadership is fresh. It obtains none
// after the claim of the next epoch, which bounds the leases that it may have
// renewed.
void dispatcher::books::set_wait_out(const job_board& board, time_point now)
{
    for (auto& [id, it] : workers) {
        const auto known = board.workers().find(id);
        if (known == board.workers().end()) {
            it.lease_until = now;
            continue;
        }
        const auto& [record, read_at] = known->second;
        it.vm.address = record.address;
        it.lease_until =
            record.renewing ? board.claimed_by(record.epoch + 1).value_or(now) +
                                  options.renewal_bound + longest_lease()
                            : read_at + longest_lease();
    }
}

// Returns the maximum duration on this node's clock of a duration measured on a
// worker's clock.
duration dispatcher::books::longest(duration span) const
{
    return std::chrono::duration_cast<duration>(span *
                                                (1 + options.clock_drift)) +
           options.lease_margin;
}

duration dispatcher::books::longest_lease() const
{
    return longest(options.lease);
}

void dispatcher::set_workers(std::span<const worker_vm> vms, time_point now)
{
    auto& state = *books_;
    for (auto& [id, it] : state.workers) {
        it.listed = false;
    }
    const auto known_before = state.workers.size();
    for (const auto& vm : vms) {
        auto& it = state.workers[vm.id];
        const bool known = !it.vm.address.empty();
        if (known && vm.incarnation != 0 && it.vm.incarnation != 0 &&
            vm.incarnation > it.vm.incarnation) {
            state.on_restarted(it, now);
        }
        const auto incarnation = std::max(vm.incarnation, it.vm.incarnation);
        it.vm = vm;
        it.vm.incarnation = incarnation;
        it.listed = true;
    }
    const bool some_new = state.workers.size() != known_before;
    const auto gone =
        std::erase_if(state.workers, [&state, now](const auto& it) {
            const auto& worker = it.second;
            const bool leaves = !worker.listed && worker.load.empty() &&
                                !worker.hold_in_flight &&
                                worker.lease_until < now;
            if (leaves) {
                state.removals.push_back(
                    {.key = encode_key(
                         {.kind = entry_kind::worker, .worker = it.first}),
                     .value = std::nullopt});
            }
            return leaves;
        });
    if (some_new || gone > 0) {
        ++state.workers_version;
    }
    state.replan = true;
}

void dispatcher::books::note_failure(worker_book& worker, std::uint64_t job,
                                     time_point now)
{
    ++worker.failures_in_a_row;
    worker.failed_jobs.insert(job);
    // Failures of a single job don't indicate a faulty worker.
    if (worker.failures_in_a_row < options.suspect_failures ||
        worker.failed_jobs.size() < 2) {
        return;
    }
    const auto set_aside =
        std::ranges::count_if(workers, [now](const auto& it) {
            return it.second.quarantined_until > now;
        });
    if (static_cast<double>(set_aside + 1) >
        options.quarantine_share * static_cast<double>(workers.size())) {
        return;
    }
    worker.quarantined_until = now + options.quarantine;
    worker.failures_in_a_row = 0;
    worker.failed_jobs.clear();
    note(job, "worker set aside", worker.vm.id);
}

void dispatcher::books::on_run_failed(worker_book& worker, step_book& step,
                                      std::uint32_t index, time_point now)
{
    auto& task = step.tasks[index];
    task.failed_on = worker.vm.id;
    note_failure(worker, step.key.job, now);
    if (step.spec->gang) {
        for (auto& it : step.tasks) {
            ++it.failures;
        }
    } else {
        ++task.failures;
    }
    const auto failures = task.failures;
    back_to_waiting(step, index, now);
    if (!step.spec->long_running &&
        failures >= step.job->record.queue.max_attempts && !step.job->ended()) {
        fail_job(*step.job, now);
    }
}

void dispatcher::books::complete_task(step_book& step, std::uint32_t index,
                                      time_point now)
{
    set_done(step, index);
    if (step.spec->gang) {
        // The end of one member completes the gang; the ends of the others are
        // reported later.
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            if (step.tasks[i].phase != task_phase::done) {
                set_done(step, i);
            }
        }
    }
    if (step.complete() && !step.job->ended()) {
        step.done_at = now;
        learn_speeds(step);
        ready.erase(&step);
        update_ready(*step.job, 0);
    }
}

// A run that was treated as lost may have completed all the same. Its result is
// accepted unless the start of a later run has been sent.
void dispatcher::books::on_late_end(const worker_book& worker, step_book& step,
                                    const ended_row& row, time_point now)
{
    const auto unsent = [](const task_state& it) {
        return it.phase == task_phase::waiting ||
               it.phase == task_phase::placed;
    };
    const auto index = row.task.index;
    const bool taken =
        !step.spec->long_running &&
        (step.spec->gang ? std::ranges::all_of(step.tasks, unsent)
                         : unsent(step.tasks[index]));
    note(row.task.step.job, taken ? "late end taken" : "late end not taken",
         to_text(row.task) + " run " + std::to_string(row.run) + " on " +
             worker.vm.id + ", newest run " +
             std::to_string(step.tasks[index].run));
    if (taken) {
        complete_task(step, index, now);
        check_finished(*step.job);
    }
}

void dispatcher::books::on_ended(worker_book& worker, const ended_row& row,
                                 time_point now)
{
    auto* step = find_step(row.task.step);
    if (step == nullptr || row.task.index >= step->tasks.size()) {
        return;
    }
    const auto index = row.task.index;
    auto& task = step->tasks[index];
    if (task.worker != worker.vm.id || task.run != row.run) {
        if (row.how == run_end::done && task.phase != task_phase::done) {
            on_late_end(worker, *step, row, now);
        }
        return;
    }
    if (!row.checkpoint.empty()) {
        task.checkpoint = row.checkpoint;
    }
    if (row.how == run_end::done && !step->spec->long_running) {
        worker.failures_in_a_row = 0;
        worker.failed_jobs.clear();
        task.done_on = worker.vm.id;
        task.done_after = now - task.since;
        complete_task(*step, index, now);
    } else if (row.how == run_end::failed) {
        on_run_failed(worker, *step, index, now);
    } else {
        back_to_waiting(*step, index, now);
    }
    check_finished(*step->job);
}

void dispatcher::books::compare_running(worker_book& worker,
                                        const hold_answer& answer,
                                        time_point sent_at, time_point now)
{
    std::set<task_key> present;
    worker.strangers = 0;
    for (const auto& row : answer.running) {
        auto* step = find_step(row.task.step);
        auto* task = find_task(row.task);
        if (task == nullptr || task->worker != worker.vm.id ||
            task->run != row.run) {
            ++worker.strangers;
            stops.push_back(
                {.worker = {.id = worker.vm.id, .address = worker.vm.address},
                 .task = row.task,
                 .run = row.run,
                 .epoch = options.epoch});
            continue;
        }
        present.insert(row.task);
        if (!row.checkpoint.empty()) {
            task->checkpoint = row.checkpoint;
        }
        task->percent = row.percent;
        note_progress(worker, *step, row, now);
        if (task->phase == task_phase::ordered ||
            task->phase == task_phase::unsure) {
            task->phase = task_phase::running;
            task->since = sent_at;
        } else if (task->phase == task_phase::stopping &&
                   now - task->stop_sent > options.stop_retry) {
            stop_task(*step, row.task.index, now);
        }
    }
    const std::vector<task_key> load{worker.load.begin(), worker.load.end()};
    for (const auto& key : load) {
        auto* step = find_step(key.step);
        if (step == nullptr || present.contains(key)) {
            continue;
        }
        auto& task = step->tasks[key.index];
        const bool gone =
            task.phase == task_phase::unsure ||
            (task.phase == task_phase::running && task.since < sent_at) ||
            (task.phase == task_phase::stopping && task.stop_acknowledged &&
             *task.stop_acknowledged <= sent_at);
        if (gone) {
            lose_run(*step, key.index, now);
            check_finished(*step->job);
        } else if (task.phase == task_phase::stopping &&
                   now - task.stop_sent > options.stop_retry) {
            stop_task(*step, key.index, now);
        }
    }
}

// Limits scavenger tasks that slow down a serving task on the same worker: they
// are stopped at a fraction of its latency target, before it is missed for
// long, and released step by step.
void dispatcher::books::pace_scavengers(worker_book& worker,
                                        const hold_answer& answer,
                                        time_point now)
{
    constexpr double worry = 0.8;
    constexpr double calm = 0.5;
    constexpr std::uint32_t full_pace = 100;
    constexpr std::uint32_t step_up = 25;
    constexpr duration settle = std::chrono::milliseconds{1500};
    double worst = 0;
    for (const auto& row : answer.running) {
        const auto* step = find_step(row.task.step);
        if (step != nullptr && step->spec->long_running &&
            step->spec->target_ms > 0) {
            worst =
                std::max(worst, static_cast<double>(row.usage) /
                                    static_cast<double>(step->spec->target_ms));
        }
    }
    if (worst > worry && worker.scavenger_pace > 0) {
        worker.scavenger_pace = 0;
        worker.pace_changed = now;
    } else if (worst < calm && worker.scavenger_pace < full_pace &&
               now - worker.pace_changed > settle) {
        worker.scavenger_pace += step_up;
        worker.pace_changed = now;
    }
    for (const auto& row : answer.running) {
        const auto* step = find_step(row.task.step);
        auto* task = find_task(row.task);
        if (step == nullptr || task == nullptr || !step->spec->scavenger ||
            task->phase != task_phase::running ||
            task->pace == worker.scavenger_pace) {
            continue;
        }
        task->pace = worker.scavenger_pace;
        paces.push_back(
            {.worker = {.id = worker.vm.id, .address = worker.vm.address},
             .task = row.task,
             .run = row.run,
             .percent = task->pace,
             .epoch = options.epoch});
    }
}

void dispatcher::books::lose_tasks(worker_book& worker, time_point now,
                                   std::string_view cause)
{
    const std::vector<task_key> load{worker.load.begin(), worker.load.end()};
    for (const auto& key : load) {
        auto* step = find_step(key.step);
        if (step == nullptr) {
            continue;
        }
        lose_run(*step, key.index, now);
        check_finished(*step->job);
    }
    if (!load.empty()) {
        note(0, "tasks lost",
             worker.vm.id + " tasks " + std::to_string(load.size()) + ": " +
                 std::string{cause});
    }
    forget_answers(worker);
}

void dispatcher::books::forget_answers(worker_book& worker)
{
    worker.fenced = false;
    worker.renewable = false;
    worker.strangers = 0;
    worker.seen = 0;
    worker.recorded = 0;
    worker.in_batch.clear();
    worker.clock_ms.reset();
}

// A start may reach the new incarnation before its restart is noticed, so only
// the worker's own report tells what it runs. Such a start carries a lease end
// on the clock of the previous incarnation, which may lie far ahead on the new
// clock.
void dispatcher::books::on_restarted(worker_book& worker, time_point now)
{
    note(0, "worker restarted",
         worker.vm.id + " tasks " + std::to_string(worker.load.size()));
    for (const auto& key : worker.load) {
        find_task(key)->stop_acknowledged.reset();
    }
    if (!worker.load.empty()) {
        worker.foreign_lease_until = now + longest(options.longest_grant);
        worker.lease_until =
            std::max(worker.lease_until, worker.foreign_lease_until);
    }
    forget_answers(worker);
    worker.next_hold = now;
    replan = true;
}

// An unresponsive worker is recorded as no longer renewed, so that a successor
// need not wait until this leader's evidence of leadership has expired.
void dispatcher::books::on_unanswered(worker_book& worker)
{
    ++worker.unanswered;
    if (worker.unanswered == options.silent_after && worker.renewable) {
        worker.renewable = false;
        silent.push_back(worker.vm.id);
    }
}

ledger_entry dispatcher::books::entry_of(const std::string& worker,
                                         bool renewing)
{
    return {.key = encode_key(
                {.kind = entry_kind::worker, .step = {}, .worker = worker}),
            .value = encode(worker_record{.epoch = options.epoch,
                                          .address = workers[worker].vm.address,
                                          .renewing = renewing})};
}

void dispatcher::on_hold_result(const hold_order& order, hold_result result,
                                const hold_answer& answer, time_point sent_at,
                                time_point now)
{
    auto& state = *books_;
    const auto found = state.workers.find(order.worker.id);
    if (found == state.workers.end()) {
        return;
    }
    auto& worker = found->second;
    worker.hold_in_flight = false;
    if (result != hold_result::answered) {
        state.on_unanswered(worker);
        worker.next_hold = now + state.options.hold_retry;
        state.deposed = state.deposed || result == hold_result::fenced;
        return;
    }
    if (answer.incarnation && worker.vm.incarnation != 0 &&
        *answer.incarnation != worker.vm.incarnation) {
        if (*answer.incarnation < worker.vm.incarnation) {
            return;
        }
        state.on_restarted(worker, now);
    }
    if (answer.incarnation) {
        worker.vm.incarnation = *answer.incarnation;
    }
    if (worker.unanswered > 0 || !worker.fenced) {
        state.replan = true;
        if (worker.unanswered >= state.options.silent_after) {
            state.note(0, "worker answers again", worker.vm.id);
        }
    }
    if (!worker.fenced) {
        // From here on, no previous leader can renew the lease.
        worker.lease_until =
            std::max(worker.foreign_lease_until,
                     std::min(worker.lease_until, now + state.longest_lease()));
    }
    if (!worker.renewable &&
        std::ranges::find(state.reached, worker.vm.id) == state.reached.end()) {
        state.reached.push_back(worker.vm.id);
    }
    worker.fenced = true;
    worker.unanswered = 0;
    worker.clock_ms = answer.clock_ms;
    worker.clock_at = now;
    worker.next_hold = now + state.options.hold_spacing;
    for (const auto& row : answer.ended) {
        if (row.number > worker.seen) {
            worker.seen = row.number;
            state.on_ended(worker, row, now);
        }
    }
    state.compare_running(worker, answer, sent_at, now);
    state.pace_scavengers(worker, answer, now);
}

} // namespace rosemarytrail::fleet
