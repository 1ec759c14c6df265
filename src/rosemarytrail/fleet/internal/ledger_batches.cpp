#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rosemarytrail::fleet {

job_timing dispatcher::state::timing_of(const tracked_job& job) const
{
    const auto elapsed = [](time_point from, time_point to) {
        return std::max(to - from, duration{});
    };
    job_timing result{.total = elapsed(job.accepted, last_plan),
                      .in_time = last_plan <= job.objective,
                      .steps = {}};
    job.each_step([&](const tracked_step& step) {
        // Steps placed by a previous leader have no recorded times.
        if (step.done_at != time_point{} && step.placed_at != time_point{}) {
            result.steps.push_back(
                {.advice = elapsed(step.ready_at, step.advised_at),
                 .placement = elapsed(std::max(step.ready_at, step.advised_at),
                                      step.placed_at),
                 .run = elapsed(step.placed_at, step.done_at)});
        }
    });
    return result;
}

// Formats the timing of a job as one line, in milliseconds.
std::string dispatcher::state::describe_timing(const tracked_job& job,
                                               const job_timing& timing) const
{
    const auto text_of = [](duration it) {
        return std::to_string(to_milliseconds(it));
    };
    auto text = "state " + std::to_string(static_cast<int>(*job.outcome)) +
                " queue " + job.record.queue.name + " age " +
                text_of(timing.total) + " objective " +
                text_of(job.objective - job.accepted) + " declared chain " +
                std::to_string(job.chain_ms);
    for (const auto& step : timing.steps) {
        text += "; step advice " + text_of(step.advice) + " room " +
                text_of(step.placement) + " run " + text_of(step.run);
    }
    return text;
}

void dispatcher::state::finish_job(tracked_job& job, job_state outcome)
{
    if (job.outcome) {
        return;
    }
    job.outcome = outcome;
    remember_ended(job.record.id);
    finished.push_back(&job);
    replan = true;
    job.each_step([&](tracked_step& step) { ready.erase(&step); });
}

void dispatcher::state::remember_ended(std::uint64_t id)
{
    ended.insert(id);
    ended_order.emplace_back(last_plan, id);
    while (ended_order.front().first + options.ended_retention < last_plan) {
        ended.erase(ended_order.front().second);
        ended_order.pop_front();
    }
}

void dispatcher::state::add_progress(tracked_step& step,
                                     std::vector<ledger_entry>& entries)
{
    std::vector<task_progress> rows;
    for (const auto first : step.changed_entries) {
        rows.clear();
        const auto end = std::min<std::size_t>(
            std::size_t{first} + step.tasks_per_entry, step.tasks.size());
        for (std::size_t i = first; i < end; ++i) {
            auto& task = step.tasks[i];
            task.confirmation_recorded = task.confirmed;
            rows.push_back({.done = task.has_result(),
                            .run = task.run,
                            .failed_runs = task.failed_runs,
                            .worker = task.worker,
                            .checkpoint = step.spec->checkpoints
                                              ? task.checkpoint
                                              : std::string{},
                            .crashes = task.crashes,
                            .confirmed = task.confirmed,
                            .earlier_start = task.earlier_start
                                                 ? task.earlier_start->worker
                                                 : std::string{},
                            .begun = task.begun && !task.confirmed});
        }
        entries.push_back({.key = encode_key({.kind = entry_kind::progress,
                                              .step = step.key,
                                              .first_task = first}),
                           .value = encode(rows)});
        step.recorded_entries.insert(first);
    }
    step.changed_entries.clear();
}

// The outcome precedes the removals: if only a part of them is appended, the
// job has ended all the same, and a successor removes the rest.
void dispatcher::state::add_outcome(const tracked_job& job,
                                    std::int64_t unix_ms,
                                    std::vector<ledger_entry>& entries) const
{
    const auto id = job.record.id;
    const auto remove = [&entries](const entry_key& key) {
        entries.push_back({.key = encode_key(key), .value = std::nullopt});
    };
    entries.push_back(
        {.key = encode_key({.kind = entry_kind::outcome, .step = {.job = id}}),
         .value =
             encode(job_outcome{.state = *job.outcome, .unix_ms = unix_ms})});
    remove({.kind = entry_kind::job, .step = {.job = id}});
    if (job.cancelled) {
        remove({.kind = entry_kind::cancellation, .step = {.job = id}});
    }
    if (job.occurrences_recorded) {
        remove({.kind = entry_kind::occurrences, .step = {.job = id}});
    }
    for (const auto& it : job.obsolete_entries) {
        entries.push_back(progress_removal(it));
    }
    job.each_step([&](const tracked_step& step) {
        for (const auto first : step.recorded_entries) {
            entries.push_back(
                progress_removal({.step = step.key, .index = first}));
        }
    });
}

ledger_batch dispatcher::take_batch(std::int64_t unix_ms)
{
    auto& self = *state_;
    ledger_batch result{.number = self.next_batch++, .entries = {}};
    auto& open = self.batches[result.number];
    self.drop_ended_jobs();
    std::ranges::move(self.removals, std::back_inserter(result.entries));
    self.removals.clear();
    open.placed.swap(self.placed);
    open.workers.swap(self.newly_renewed);
    for (const auto& id : self.newly_unresponsive) {
        result.entries.push_back(self.worker_entry(id, false));
    }
    self.newly_unresponsive.clear();
    for (const auto& id : open.workers) {
        result.entries.push_back(self.worker_entry(id, true));
    }
    for (const auto id : self.advanced_jobs) {
        if (const auto it = self.jobs.find(id);
            it != self.jobs.end() && !it->second->outcome) {
            self.add_occurrences(*it->second, result.entries);
        }
    }
    self.advanced_jobs.clear();
    for (auto* step : self.dirty) {
        if (!step->job->outcome) {
            self.add_progress(*step, result.entries);
        }
    }
    self.dirty.clear();
    for (auto* job : self.finished) {
        const auto id = job->record.id;
        self.add_outcome(*job, unix_ms, result.entries);
        open.finished.push_back(id);
        const auto timing = self.timing_of(*job);
        self.log_decision(id, "ended", self.describe_timing(*job, timing));
        self.timings.push_back(timing);
    }
    self.finished.clear();
    self.record_run_times(result.entries);
    for (auto& [id, worker] : self.workers) {
        if (worker.last_seen_end > worker.last_recorded_end) {
            worker.in_batch[result.number] = worker.last_seen_end;
        }
    }
    return result;
}

// Ended jobs are kept until their tasks have stopped.
void dispatcher::state::drop_ended_jobs()
{
    std::erase_if(awaiting_removal, [this](std::uint64_t id) {
        const auto it = jobs.find(id);
        if (it == jobs.end() || it->second->active > 0) {
            return it == jobs.end();
        }
        it->second->each_step([&](tracked_step& step) {
            close_request(step);
            dirty.erase(&step);
            ready.erase(&step);
        });
        jobs.erase(it);
        return true;
    });
}

void dispatcher::on_recorded(std::uint64_t number, time_point now)
{
    auto& self = *state_;
    for (auto& [id, worker] : self.workers) {
        while (!worker.in_batch.empty() &&
               worker.in_batch.begin()->first <= number) {
            worker.last_recorded_end = std::max(
                worker.last_recorded_end, worker.in_batch.begin()->second);
            worker.in_batch.erase(worker.in_batch.begin());
        }
    }
    while (!self.batches.empty() && self.batches.begin()->first <= number) {
        const auto batch = std::move(self.batches.begin()->second);
        self.batches.erase(self.batches.begin());
        for (const auto& id : batch.workers) {
            auto& worker = self.workers[id];
            worker.renewable = worker.fenced && worker.unanswered == 0;
            self.replan = true;
        }
        for (const auto& it : batch.placed) {
            self.send_start(it, now);
        }
        self.awaiting_removal.insert(batch.finished.begin(),
                                     batch.finished.end());
    }
}

void dispatcher::on_rejected(std::string_view key, time_point now)
{
    auto& self = *state_;
    const auto about = decode_key(key);
    if (!about) {
        return;
    }
    if (about->kind == entry_kind::worker) {
        for (auto& [number, batch] : self.batches) {
            std::erase(batch.workers, about->worker);
        }
    }
    const auto job = self.jobs.find(about->step.job);
    if (about->kind == entry_kind::progress && job != self.jobs.end() &&
        !job->second->ended()) {
        self.fail_job(*job->second, "its progress cannot be recorded", now);
    }
}

std::vector<job_timing> dispatcher::take_timings()
{
    return std::exchange(state_->timings, {});
}

} // namespace rosemarytrail::fleet
