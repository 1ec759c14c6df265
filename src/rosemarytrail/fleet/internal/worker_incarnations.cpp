#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace rosemarytrail::fleet {

using internal::responder;

namespace {

[[nodiscard]] std::string describe_age(time_point since, time_point now)
{
    return since == time_point{}
               ? "an unknown time"
               : std::to_string(to_milliseconds(now - since)) + " ms";
}

} // namespace

// A worker that restarts under its id takes calls that were sent to its
// previous incarnation. So a bound may rest on an incarnation only if that one
// has answered; a late start without a ticket is limited by `max_start_delay`.

// A lease end on the clock of a previous incarnation may lie far ahead on that
// of the present one, which grants no longer lease than the maximum.
duration dispatcher::state::worst_case_previous_lease() const
{
    return worst_case(options.max_lease);
}

// Decides by the clock in a response to a call that was sent at `sent_at`. The
// clock of each incarnation begins anew, at zero or elsewhere, and is not
// faster than the leader's. Responses may overtake each other.
responder dispatcher::state::identify_responder(const tracked_worker& worker,
                                                std::int64_t clock_ms,
                                                time_point sent_at,
                                                time_point now) const
{
    constexpr std::int64_t tolerance_ms = 5;
    if (!worker.clock_ms || worker.alive_at == time_point{}) {
        return responder::undecided;
    }
    const auto passed = sent_at - worker.clock_at;
    const auto least = passed > duration{}
                           ? std::chrono::duration_cast<duration>(
                                 passed * (1 - options.clock_drift))
                           : passed;
    const auto earliest = *worker.clock_ms + to_milliseconds(least);
    const auto since_alive = to_milliseconds(now - worker.alive_at);
    const auto latest = worker.alive_clock_ms + since_alive;
    if (clock_ms < earliest - tolerance_ms ||
        clock_ms > latest + tolerance_ms) {
        return responder::later;
    }
    // A later incarnation started after the known one was last alive.
    return clock_ms > since_alive + tolerance_ms ? responder::known
                                                 : responder::undecided;
}

// A worker's clock is not faster than the leader's, so at least the time that
// it shows has passed between two responses.
void dispatcher::state::observe_alive(tracked_worker& worker,
                                      std::int64_t clock_ms, time_point sent_at)
{
    const auto by_clock =
        worker.alive_at +
        std::chrono::milliseconds{clock_ms - worker.alive_clock_ms};
    const auto alive_at = worker.alive_at == time_point{}
                              ? sent_at
                              : std::max<time_point>(sent_at, by_clock);
    if (alive_at > worker.alive_at) {
        worker.alive_at = alive_at;
        worker.alive_clock_ms = clock_ms;
    }
}

// Only a poll names the incarnation that answers.
responder dispatcher::state::observe_response(const start_request& request,
                                              const start_response& response,
                                              time_point now)
{
    const auto found = workers.find(request.worker.id);
    if (found == workers.end() || !response.clock_ms ||
        response.result == start_result::wrong_incarnation ||
        request.restarts != found->second.restarts) {
        return responder::undecided;
    }
    auto& worker = found->second;
    const auto by = identify_responder(worker, *response.clock_ms,
                                       request.requested_at, now);
    if (by == responder::known) {
        observe_alive(worker, *response.clock_ms, request.requested_at);
        auto* task = find_task(request.task);
        if (response.result == start_result::started && task != nullptr &&
            task->worker == worker.vm.id && task->run == request.run) {
            confirm_run(*find_step(request.task.step), request.task.index, now);
        }
    } else if (by == responder::later) {
        log_decision(request.task.step.job,
                     "start answered by a later incarnation",
                     to_text(request.task) + " run " +
                         std::to_string(request.run) + " on " + worker.vm.id +
                         ", clock " + std::to_string(*response.clock_ms) +
                         " ms after " + std::to_string(*worker.clock_ms));
        on_restarted(worker, now, "the response to a start");
        ++restart_counters.from_start;
        worker.incarnation_outdated = true;
    }
    return by;
}

void dispatcher::state::begin_generation(tracked_worker& worker)
{
    ++worker.generation;
    worker.polled_in_generation = false;
}

bool dispatcher::state::awaits_start_response(const tracked_worker& it)
{
    return it.fenced &&
           it.last_start_at > std::max(it.alive_at, it.unanswered_start_at);
}

// The end of its lease is on the clock of an incarnation that is known to have
// ended.
bool dispatcher::state::drop_outdated_start(const start_request& request,
                                            time_point now)
{
    const auto worker = workers.find(request.worker.id);
    if (worker != workers.end() &&
        worker->second.restarts == request.restarts) {
        return false;
    }
    if (worker != workers.end()) {
        erase_unsettled(worker->second, request);
    }
    auto* step = find_step(request.task.step);
    auto* task = find_task(request.task);
    if (task != nullptr && task->run == request.run &&
        task->worker == request.worker.id &&
        (task->phase == task_phase::start_sent ||
         task->phase == task_phase::stopping)) {
        task->start_unanswered = false;
        lose_run(*step, request.task.index, now);
        check_finished(*step->job);
    }
    return true;
}

// The incarnation that executes a start refuses the polls sent before it, which
// would renew or acknowledge runs of another one.
void dispatcher::state::assign_generations(dispatcher_requests& requests,
                                           time_point now)
{
    std::erase_if(requests.starts, [this, now](const start_request& it) {
        return drop_outdated_start(it, now);
    });
    for (const auto& it : requests.starts) {
        auto& worker = workers.at(it.worker.id);
        worker.last_start_at = it.requested_at;
        if (worker.polled_in_generation) {
            begin_generation(worker);
        }
    }
    const auto set = [this](auto& calls) {
        for (auto& it : calls) {
            const auto worker = workers.find(it.worker.id);
            it.generation =
                worker == workers.end() ? 0 : worker->second.generation;
        }
    };
    set(requests.starts);
    set(requests.stops);
    set(requests.throttles);
    for (auto& it : requests.stops) {
        const auto worker = workers.find(it.worker.id);
        it.restarts = worker == workers.end() ? 0 : worker->second.restarts;
    }
}

// A start without a ticket may be executed by a later incarnation, even if the
// known one has answered since.
void dispatcher::state::remember_start(tracked_step& step, std::uint32_t index,
                                       time_point now)
{
    auto& task = step.tasks[index];
    if (step.job->record.queue.advice || task.worker.empty() ||
        task.phase == task_phase::placed || task.confirmed ||
        !task.start_unanswered || workers[task.worker].replaced) {
        return;
    }
    // A previous leader may send starts until its evidence has expired.
    const auto sent = task.start_seen ? task.start_requested_at
                                      : task.since + options.renewal_timeout;
    if (const auto until = sent + options.max_start_delay; until > now) {
        tie_to_worker(step, index, task.worker, until);
    }
}

void dispatcher::state::tie_to_worker(tracked_step& step, std::uint32_t index,
                                      const std::string& worker,
                                      time_point executed_until)
{
    const task_key key{.step = step.key, .index = index};
    step.tasks[index].earlier_start = {.worker = worker,
                                       .executed_until = executed_until};
    ties.insert({executed_until, key});
    ties.insert({executed_until + worst_case_previous_lease(), key});
}

void dispatcher::state::release_ties(time_point now)
{
    while (!ties.empty() && ties.begin()->first <= now) {
        const auto key = ties.extract(ties.begin()).value().second;
        auto* task = find_task(key);
        if (task != nullptr && task->earlier_start) {
            if (const auto until = open_start_until(*task); until > now) {
                ties.insert({until, key});
            } else {
                task->earlier_start.reset();
                record_progress(*find_step(key.step), key.index);
            }
        }
        replan = true;
    }
}

time_point dispatcher::state::open_start_until(const task_state& task) const
{
    const auto& start = *task.earlier_start;
    const auto until = start.executed_until + worst_case_previous_lease();
    const auto found = workers.find(start.worker);
    if (found == workers.end()) {
        return until;
    }
    const auto& worker = found->second;
    const bool ruled_out =
        worker.replaced || (worker.list_requested_at > start.executed_until &&
                            worker.untracked_runs == 0);
    return ruled_out ? time_point{}
                     : std::max(until, worker.late_renewals_until);
}

const internal::pending_start*
dispatcher::state::find_open_start(const task_state& task, time_point now) const
{
    return task.earlier_start && open_start_until(task) > now
               ? &*task.earlier_start
               : nullptr;
}

// Most short runs are over before a successor could need the confirmation.
void dispatcher::state::confirm_run(tracked_step& step, std::uint32_t index,
                                    time_point now)
{
    auto& task = step.tasks[index];
    const std::chrono::milliseconds declared{step.spec->estimate_ms};
    const bool is_short = !step.spec->long_running && declared > duration{} &&
                          declared < options.short_run &&
                          now - task.since < options.short_run;
    task.confirmed = true;
    task.begun = true;
    if (!task.confirmation_recorded && !is_short) {
        record_progress(step, index);
    }
}

// A ticket is valid in one incarnation only. The known one has started before
// it was granted if it has answered a later call.
bool dispatcher::state::may_run_in_later_incarnation(const task_key& key,
                                                     time_point now)
{
    const auto& step = *find_step(key.step);
    const auto& task = step.tasks[key.index];
    const auto* earlier = find_open_start(task, now);
    if (earlier != nullptr && earlier->worker == task.worker) {
        return true;
    }
    if (task.confirmed || task.phase == task_phase::placed) {
        return false;
    }
    const bool answered_since =
        task.start_seen &&
        workers[task.worker].alive_at >= task.start_requested_at;
    return !step.job->record.queue.advice || !answered_since;
}

duration dispatcher::state::start_delay_limit(const tracked_step& step,
                                              time_point now) const
{
    const auto& advice = step.job->record.queue.advice;
    if (!advice) {
        return options.max_start_delay;
    }
    const duration valid = std::chrono::milliseconds{advice->valid_ms};
    const auto left = step.tickets_until + options.ticket_margin - now;
    return worst_case(std::max<duration>(valid, left));
}

duration dispatcher::state::longest_start_delay(const tracked_worker& worker,
                                                time_point now)
{
    duration longest{};
    for (const auto& key : worker.load) {
        longest =
            std::max(longest, start_delay_limit(*find_step(key.step), now));
    }
    return longest;
}

void dispatcher::state::lose_tasks(tracked_worker& worker,
                                   std::span<const task_key> lost,
                                   time_point now, std::string_view cause)
{
    remember_losses(worker, lost, true, now);
    for (const auto& key : lost) {
        auto* step = find_step(key.step);
        if (step == nullptr) {
            continue;
        }
        lose_run(*step, key.index, now);
        check_finished(*step->job);
    }
    if (!lost.empty()) {
        log_decision(0, "tasks lost",
                     worker.vm.id + " tasks " + std::to_string(lost.size()) +
                         ": " + std::string{cause} + ", last alive " +
                         describe_age(worker.alive_at, now) +
                         " ago, restarts noticed " +
                         std::to_string(worker.restarts));
    }
    reset_session(worker);
}

// Runs that only the known incarnation can execute are over with its lease.
void dispatcher::state::lose_expired(tracked_worker& worker, time_point now)
{
    std::vector<task_key> lost;
    for (const auto& key : worker.load) {
        if (worker.unconfirmed_until < now ||
            !may_run_in_later_incarnation(key, now)) {
            lost.push_back(key);
        }
    }
    if (!lost.empty()) {
        lose_tasks(worker, lost, now, "lease expired");
    }
}

// A call may reach the new incarnation before its restart is noticed, so only
// the worker's own report tells what it runs. Such a call carries a lease end
// on the clock of the previous incarnation, so the bound on it counts from the
// first response to a call that was sent to the new one.
void dispatcher::state::on_restarted(tracked_worker& worker, time_point now,
                                     std::string_view source)
{
    log_decision(0, "worker restarted",
                 worker.vm.id + " tasks " + std::to_string(worker.load.size()) +
                     ", known from " + std::string{source} + ", last alive " +
                     describe_age(worker.alive_at, now) + " ago");
    const std::vector<task_key> load{worker.load.begin(), worker.load.end()};
    remember_losses(worker, load, false, now);
    ++worker.restarts;
    begin_generation(worker);
    worker.previous_calls_possible = true;
    worker.restarted = !worker.vm.draining;
    worker.replaced = false;
    for (const auto& key : worker.load) {
        find_task(key)->stop_acknowledged.reset();
    }
    worker.previous_clock_lease_until = now + worst_case_previous_lease();
    // A start without a response extends the lease of all runs, even if its own
    // run is refused.
    if (worker.last_start_at > worker.alive_at ||
        std::ranges::any_of(load, [this, now](const task_key& key) {
            return may_run_in_later_incarnation(key, now);
        })) {
        worker.previous_clock_lease_until = std::max(
            worker.previous_clock_lease_until, worker.unconfirmed_until);
    }
    worker.lease_until =
        std::max(worker.lease_until, worker.previous_clock_lease_until);
    worker.recorded_as_restarted = false;
    reset_session(worker);
    worker.next_poll = now;
    replan = true;
}

// The directory or a response names an incarnation later than the known one,
// whose restart a clock may have told before.
void dispatcher::state::on_later_incarnation(tracked_worker& worker,
                                             time_point now,
                                             std::string_view source,
                                             std::size_t& counter)
{
    if (!std::exchange(worker.incarnation_outdated, false)) {
        on_restarted(worker, now, source);
        ++counter;
    }
}

} // namespace rosemarytrail::fleet
