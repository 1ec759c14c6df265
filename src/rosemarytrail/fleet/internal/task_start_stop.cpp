#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::fleet {

using internal::task_phase;

void dispatcher::state::stop_task(tracked_step& step, std::uint32_t index,
                                  time_point now)
{
    auto& task = step.tasks[index];
    if (task.phase == task_phase::placed) {
        // The start request has not been sent yet.
        back_to_waiting(step, index, now);
        return;
    }
    if (task.phase != task_phase::stopping) {
        task.phase = task_phase::stopping;
        task.since = now;
        task.stop_acknowledged.reset();
    }
    task.stop_sent = now;
    const auto& worker = workers[task.worker];
    const auto& vm = worker.vm;
    if (!vm.address.empty()) {
        stops.push_back({.worker = {.id = vm.id, .address = vm.address},
                         .task = {.step = step.key, .index = index},
                         .run = task.run,
                         .epoch = options.epoch});
    }
}

void dispatcher::state::stop_all(tracked_job& job, time_point now)
{
    job.each_step([&](tracked_step& step) {
        ready.erase(&step);
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            if (step.tasks[i].occupies_worker()) {
                stop_task(step, i, now);
            }
        }
    });
}

std::int64_t dispatcher::state::lease_end(tracked_worker& worker,
                                          time_point now) const
{
    const auto age = now - worker.clock_at;
    const auto clock = *worker.clock_ms + to_milliseconds(age);
    worker.lease_until = std::max(worker.lease_until,
                                  now + worst_case(options.lease + age) - age);
    return clock + to_milliseconds(options.lease);
}

dispatcher::state::start_obstacle
dispatcher::state::obstacle_to_start(const tracked_step& step,
                                     std::uint32_t index, time_point now) const
{
    const auto& task = step.tasks[index];
    if (step.job->ended()) {
        return start_obstacle::job_ended;
    }
    if (task.phase != task_phase::placed) {
        return start_obstacle::incomplete_gang;
    }
    const auto worker = workers.find(task.worker);
    if (worker == workers.end() || !is_reachable(worker->second) ||
        !is_of_kind(worker->second, step) ||
        (worker->second.health.quarantined(now) &&
         !is_probe(worker->second, step, index))) {
        return start_obstacle::worker;
    }
    // The capacity may have shrunk since the task was placed.
    if (!worker->second.used.fits(worker->second.vm.capacity)) {
        return start_obstacle::capacity;
    }
    const bool has_ticket =
        !step.job->record.queue.advice ||
        (step.tickets_until > now && step.tickets.contains(task.worker));
    return has_ticket ? start_obstacle::none : start_obstacle::ticket;
}

void dispatcher::state::withhold_start(tracked_step& step, std::uint32_t index,
                                       start_obstacle obstacle, time_point now)
{
    std::string_view why = "the job has ended";
    if (obstacle == start_obstacle::incomplete_gang) {
        why = "another member of the gang is not placed";
    } else if (obstacle == start_obstacle::worker) {
        why = "the worker accepts no tasks";
        ++withheld.worker;
    } else if (obstacle == start_obstacle::capacity) {
        why = "the worker's capacity does not suffice";
        ++withheld.capacity;
    } else if (obstacle == start_obstacle::ticket) {
        why = "the tickets have expired";
        ++withheld.ticket;
    }
    const auto& task = step.tasks[index];
    log_decision(step.key.job, "start withheld",
                 to_text(task_key{.step = step.key, .index = index}) + " run " +
                     std::to_string(task.run) + " on " + task.worker + ": " +
                     std::string{why});
    if (step.spec->gang) {
        abort_gang(step, now);
    } else {
        back_to_waiting(step, index, now);
    }
}

// The remaining members of an incomplete gang would only occupy capacity.
void dispatcher::state::abort_gang(tracked_step& step, time_point now)
{
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        const auto phase = step.tasks[i].phase;
        if (phase == task_phase::placed || phase == task_phase::start_sent ||
            phase == task_phase::running || phase == task_phase::unknown) {
            stop_task(step, i, now);
        }
    }
}

// Handles a run that did not start or was lost: the task waits again, and the
// other members of its gang are stopped.
void dispatcher::state::lose_run(tracked_step& step, std::uint32_t index,
                                 time_point now)
{
    back_to_waiting(step, index, now);
    if (step.spec->gang) {
        abort_gang(step, now);
    }
}

void dispatcher::state::send_start(const placed_run& it, time_point now)
{
    const auto& key = it.task;
    auto* step = find_step(key.step);
    if (step == nullptr) {
        return;
    }
    auto& task = step->tasks[key.index];
    // The task may have been returned to waiting and placed again; a later
    // batch records that placement.
    if (task.phase != task_phase::placed || task.run != it.run) {
        return;
    }
    auto obstacle = obstacle_to_start(*step, key.index, now);
    if (step->spec->gang && key.index == 0) {
        for (std::uint32_t i = 0;
             i < step->tasks.size() && obstacle == start_obstacle::none; ++i) {
            obstacle = obstacle_to_start(*step, i, now);
        }
    }
    if (obstacle != start_obstacle::none) {
        withhold_start(*step, key.index, obstacle, now);
        return;
    }
    auto& worker = workers[task.worker];
    std::string ticket;
    if (step->job->record.queue.advice) {
        ticket = step->tickets[task.worker];
    }
    task.phase = task_phase::start_sent;
    task.since = now;
    task.resumed = step->spec->checkpoints && !task.checkpoint.empty();
    task.start_seen = true;
    task.start_requested_at = now;
    task.start_unanswered = true;
    worker.unconfirmed_until =
        std::max(worker.unconfirmed_until, now + start_delay_limit(*step, now) +
                                               worst_case_previous_lease());
    if (ticket.empty()) {
        worker.unsettled_starts.push_back(
            {.task = key,
             .run = task.run,
             .executed_until = now + options.max_start_delay});
    }
    starts.push_back(
        {.worker = {.id = worker.vm.id, .address = worker.vm.address},
         .task = key,
         .run = task.run,
         .payload = step->job->payload,
         .lease_end_ms = lease_end(worker, now),
         .epoch = options.epoch,
         .restarts = worker.restarts,
         .checkpoint = step->spec->checkpoints ? task.checkpoint : "",
         .ticket = std::move(ticket),
         .requested_at = now});
}

void dispatcher::on_start_result(const start_request& request,
                                 const start_response& response, time_point now)
{
    auto& self = *state_;
    const auto result = response.result;
    self.settle_by_response(request, response,
                            self.observe_response(request, response, now), now);
    auto* step = self.find_step(request.task.step);
    if (step == nullptr) {
        return;
    }
    auto& task = step->tasks[request.task.index];
    if (task.run != request.run || task.worker != request.worker.id) {
        return;
    }
    auto& worker = self.workers[request.worker.id];
    // A request of an earlier generation is refused, but a copy of it may have
    // been executed before.
    const bool outdated = result == start_result::fenced &&
                          request.generation != worker.generation;
    // Without a clock, a lost relay may have left a copy.
    const bool maybe_copied =
        result == start_result::started && !response.clock_ms;
    task.start_unanswered =
        result == start_result::unknown || outdated || maybe_copied;
    const bool start_sent = task.phase == task_phase::start_sent;
    const bool stopping = task.phase == task_phase::stopping;
    if (result == start_result::started) {
        task.begun = true;
        task.refused_by.clear();
        task.evidence =
            std::max(task.evidence, internal::run_evidence::started);
        if (start_sent) {
            task.phase = task_phase::running;
            task.since = now;
        }
        return;
    }
    if (!response.clock_ms) {
        worker.unanswered_start_at =
            std::max(worker.unanswered_start_at, request.requested_at);
    }
    if (result == start_result::unknown || outdated) {
        // The request may still be executed: only an acknowledged stop or the
        // end of the lease rules that out.
        if (start_sent) {
            self.log_decision(request.task.step.job, "start unanswered",
                              to_text(request.task) + " on " +
                                  request.worker.id);
            // A worker that does not respond at all is found by its polls.
            if (worker.unanswered == 0 && !outdated) {
                self.record_bad_run(worker, request.task, bad_run::unanswered,
                                    now);
            }
            self.stop_task(*step, request.task.index, now);
            if (step->spec->gang) {
                self.abort_gang(*step, now);
            }
        }
        return;
    }
    self.log_decision(request.task.step.job, "start refused",
                      to_text(request.task) + " on " + request.worker.id +
                          " result " +
                          std::to_string(static_cast<int>(result)));
    task.refused_by.insert(request.worker.id);
    switch (result) {
    case start_result::fenced:
        self.superseded = true;
        break;
    case start_result::ticket_refused:
        // All tickets of one response expire together.
        if (const auto it = step->tickets.find(request.worker.id);
            it != step->tickets.end() && it->second == request.ticket) {
            step->tickets_until = now;
        }
        break;
    case start_result::no_capacity:
    case start_result::unhealthy:
    case start_result::invalid:
        self.record_bad_run(worker, request.task, bad_run::refused, now);
        break;
    default:
        break;
    }
    if (start_sent || stopping) {
        self.lose_run(*step, request.task.index, now);
        self.check_finished(*step->job);
    }
}

void dispatcher::on_stop_result(const stop_request& request, bool answered,
                                time_point now)
{
    auto* task = state_->find_task(request.task);
    const auto worker = state_->workers.find(request.worker.id);
    if (task == nullptr || worker == state_->workers.end() || !answered ||
        request.restarts != worker->second.restarts) {
        return;
    }
    if (task->run == request.run && task->phase == task_phase::stopping &&
        !task->stop_acknowledged) {
        task->stop_acknowledged = now;
        // The next poll returns the ended run.
        worker->second.next_poll = now;
    }
}

} // namespace rosemarytrail::fleet
