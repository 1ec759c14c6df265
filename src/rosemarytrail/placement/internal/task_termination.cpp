#include <rosemarytrail/placement/internal/task_termination.hpp>

#include <algorithm>
#include <chrono>

namespace rosemarytrail::placement::internal {

namespace {

/** @brief A task that ran at least this long has its failure count reset. */
constexpr duration stable_run_time = std::chrono::minutes{2};
/** @brief How long a VM that rejected a start receives no new tasks. */
constexpr duration refusal_pause = std::chrono::seconds{1};
constexpr std::size_t max_run_times = 64;

[[nodiscard]] decision stop_decision(const context& c, task_key task,
                                     decision_kind kind, result_code code)
{
    const auto& state = c.tables.task(task);
    return {.kind = kind,
            .task = c.tables.ref(task),
            .attempt = state.attempt,
            .vm = c.tables.vms[state.vm].view.vm,
            .request = c.tables.request(task),
            .code = code};
}

void stop_one(context& c, task_key task, result_code code)
{
    const auto phase = c.tables.task(task).phase;
    if (phase == task_phase::stopping || !is_committed(phase)) {
        return;
    }
    if (c.decisions.withdraw_start(task)) {
        c.tables.requeue(task);
        return;
    }
    const bool can_checkpoint = c.tables.jobs[task.job].spec.checkpointable;
    const auto kind =
        can_checkpoint ? decision_kind::checkpoint : decision_kind::stop;
    c.decisions.push(task, stop_decision(c, task, kind, code));
    c.tables.stop(task);
}

[[nodiscard]] std::vector<task_key> committed_tasks(const context& c, index job)
{
    std::vector<task_key> found;
    const auto& tasks = c.tables.jobs[job].tasks;
    for (std::uint32_t it = 0; it < tasks.size(); ++it) {
        if (is_committed(tasks[it].phase)) {
            found.push_back({.job = job, .task = it});
        }
    }
    return found;
}

/** @brief Ends queued tasks and those whose start was not returned yet. */
void drop_unissued(context& c, index n)
{
    c.reservations.release(n);
    c.tables.drop_queued(n);
    c.decisions.drop_stops(n);
    for (const auto& it : committed_tasks(c, n)) {
        if (c.decisions.withdraw_start(it)) {
            c.tables.finish(it);
        }
    }
}

[[nodiscard]] std::vector<decision> stop_committed(context& c, index n,
                                                   result_code code)
{
    std::vector<decision> stops;
    for (const auto& it : committed_tasks(c, n)) {
        stops.push_back(stop_decision(c, it, decision_kind::stop, code));
        if (c.tables.task(it).phase != task_phase::stopping) {
            c.tables.stop(it);
        }
    }
    return stops;
}

void record_run_time(context& c, task_key task, time_point now)
{
    auto& job = c.tables.jobs[task.job];
    const auto run_time = now - c.tables.task(task).since;
    c.history.add(job.history, run_time);
    job.expected = c.history.estimate(job);
    if (job.run_times.size() < max_run_times) {
        const auto at = std::upper_bound(job.run_times.begin(),
                                         job.run_times.end(), run_time);
        job.run_times.insert(at, run_time);
    }
}

void record_failure(context& c, task_key task, time_point now)
{
    auto& job = c.tables.jobs[task.job];
    const index vm = c.tables.task(task).vm;
    const auto add = [&](std::vector<index>& list) {
        if (std::find(list.begin(), list.end(), vm) == list.end()) {
            list.push_back(vm);
        }
    };
    add(job.avoided);
    if (!c.tables.vms[vm].quarantined) {
        add(job.failed_on);
        (void)c.health.failed(c.tables, task, vm, now);
    }
    if (job.avoided.size() >= c.tables.vms.accepting()) {
        job.avoided.clear();
    }
}

void count_failure(context& c, task_key task, time_point now)
{
    auto& state = c.tables.task(task);
    if (now - state.since >= stable_run_time) {
        state.failures = 0;
    }
    ++state.failures;
}

/** @return Why the job of a failed task is rejected, or `ok`. */
[[nodiscard]] result_code rejection_code(const context& c, task_key task)
{
    const auto& job = c.tables.jobs[task.job];
    const bool fails_everywhere =
        job.succeeded == 0 &&
        job.failed_on.size() >= c.options.distinct_failures;
    if (fails_everywhere) {
        return result_code::failed_everywhere;
    }
    const bool is_spent = c.tables.task(task).failures >= job.spec.max_attempts;
    return is_spent ? result_code::attempts_spent : result_code::ok;
}

void handle_failed_end(context& c, task_key task, task_end end, time_point now)
{
    auto& job = c.tables.jobs[task.job];
    if (end == task_end::refused) {
        job.last_failure = result_code::worker_full;
        c.tables.vms.pause_until(c.tables.task(task).vm, now + refusal_pause);
    } else {
        job.last_failure = end == task_end::failed
                               ? result_code::task_failed
                               : result_code::task_lease_lapsed;
        count_failure(c, task, now);
    }
    if (end == task_end::failed) {
        record_failure(c, task, now);
    }
    c.retries.defer(c.tables, task, now);
    if (job.ready.empty()) {
        c.tables.set_wait(task.job, result_code::waiting_for_retry, now);
    }
    const auto code = rejection_code(c, task);
    if (code != result_code::ok) {
        if (job.succeeded == 0 && job.failed_on.size() > 1) {
            c.health.clear_failures(c.tables, task.job);
        }
        reject_job(c, task.job, code);
    } else if (job.spec.policy == job_class::gang) {
        stop_job(c, task.job, result_code::waiting_for_gang);
    }
}

void handle_eviction(context& c, task_key task)
{
    ++c.tables.task(task).evictions;
    c.tables.requeue(task);
    if (c.tables.jobs[task.job].spec.policy == job_class::gang) {
        stop_job(c, task.job, result_code::waiting_for_gang);
    }
}

} // namespace

void stop_task(context& c, task_key task, result_code code)
{
    if (c.tables.jobs[task.job].spec.policy == job_class::gang) {
        stop_job(c, task.job, code);
    } else {
        stop_one(c, task, code);
    }
}

void stop_job(context& c, index job, result_code code)
{
    for (const auto& it : committed_tasks(c, job)) {
        stop_one(c, it, code);
    }
}

void reject_job(context& c, index n, result_code code)
{
    auto& job = c.tables.jobs[n];
    job.phase = job_phase::rejected;
    drop_unissued(c, n);
    c.decisions.push({.job = n}, {.kind = decision_kind::reject,
                                  .task = {.job = job.id, .index = 0},
                                  .request = job.spec.request,
                                  .code = code});
    for (auto& it : stop_committed(c, n, code)) {
        const task_key task{.job = n, .task = it.task.index};
        c.decisions.push(task, std::move(it));
    }
    c.tables.forget_if_done(n);
}

std::vector<decision> cancel_job(context& c, index n)
{
    c.tables.jobs[n].phase = job_phase::cancelled;
    drop_unissued(c, n);
    auto stops = stop_committed(c, n, result_code::task_cancelled);
    c.tables.forget_if_done(n);
    return stops;
}

void end_task(context& c, task_key task, task_end end, time_point now)
{
    auto& job = c.tables.jobs[task.job];
    c.decisions.drop_stop(task);
    if (end == task_end::succeeded) {
        ++job.succeeded;
        record_run_time(c, task, now);
        c.health.succeeded(c.tables, c.tables.task(task).vm);
    }
    if (end == task_end::succeeded || job.phase != job_phase::live) {
        c.tables.finish(task);
        c.tables.forget_if_done(task.job);
    } else if (end == task_end::evicted) {
        handle_eviction(c, task);
    } else {
        handle_failed_end(c, task, end, now);
    }
}

} // namespace rosemarytrail::placement::internal
