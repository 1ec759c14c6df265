#include <rosemarytrail/placement/internal/ending.hpp>

#include <algorithm>
#include <chrono>

namespace rosemarytrail::placement::internal {

namespace {

/** @brief A task that ran so long starts with a clean account. */
constexpr duration stable_run = std::chrono::minutes{2};
/** @brief A VM that refused a start gets none for so long. */
constexpr duration refusal_pause = std::chrono::seconds{1};
constexpr std::size_t most_run_times = 64;

[[nodiscard]] decision stop_decision(const context& c, task_key task,
                                     decision_kind kind, result_code code)
{
    const auto& state = c.book.task(task);
    return {.kind = kind,
            .task = c.book.ref(task),
            .attempt = state.attempt,
            .vm = c.book.vms[state.vm].view.vm,
            .request = c.book.request(task),
            .code = code};
}

void stop_one(context& c, task_key task, result_code code)
{
    const auto phase = c.book.task(task).phase;
    if (phase == task_phase::stopping || !is_committed(phase)) {
        return;
    }
    if (c.out.withdraw_start(task)) {
        c.book.requeue(task);
        return;
    }
    const bool can_checkpoint = c.book.jobs[task.job].spec.checkpointable;
    const auto kind =
        can_checkpoint ? decision_kind::checkpoint : decision_kind::stop;
    c.out.push(task, stop_decision(c, task, kind, code));
    c.book.stop(task);
}

[[nodiscard]] std::vector<task_key> committed_tasks(const context& c, index job)
{
    std::vector<task_key> found;
    const auto& tasks = c.book.jobs[job].tasks;
    for (std::uint32_t it = 0; it < tasks.size(); ++it) {
        if (is_committed(tasks[it].phase)) {
            found.push_back({.job = job, .task = it});
        }
    }
    return found;
}

/** @brief Ends what is queued and what the caller has not seen start. */
void drop_unseen(context& c, index n)
{
    c.holds.release(n);
    c.book.drop_queued(n);
    c.out.drop_stops(n);
    for (const auto& it : committed_tasks(c, n)) {
        if (c.out.withdraw_start(it)) {
            c.book.finish(it);
        }
    }
}

[[nodiscard]] std::vector<decision> stops_of(context& c, index n,
                                             result_code code)
{
    std::vector<decision> stops;
    for (const auto& it : committed_tasks(c, n)) {
        stops.push_back(stop_decision(c, it, decision_kind::stop, code));
        if (c.book.task(it).phase != task_phase::stopping) {
            c.book.stop(it);
        }
    }
    return stops;
}

void note_run_time(context& c, task_key task, time_point now)
{
    auto& job = c.book.jobs[task.job];
    const auto run_time = now - c.book.task(task).since;
    c.history.add(job.history, run_time);
    job.expected = c.history.estimate(job);
    if (job.run_times.size() < most_run_times) {
        const auto at = std::upper_bound(job.run_times.begin(),
                                         job.run_times.end(), run_time);
        job.run_times.insert(at, run_time);
    }
}

void note_failure(context& c, task_key task, time_point now)
{
    auto& job = c.book.jobs[task.job];
    const index vm = c.book.task(task).vm;
    const auto add = [&](std::vector<index>& list) {
        if (std::find(list.begin(), list.end(), vm) == list.end()) {
            list.push_back(vm);
        }
    };
    add(job.avoided);
    if (!c.book.vms[vm].set_aside) {
        add(job.failed_on);
        (void)c.health.failed(c.book, task, vm, now);
    }
    if (job.avoided.size() >= c.book.vms.accepting()) {
        job.avoided.clear();
    }
}

void count_failure(context& c, task_key task, time_point now)
{
    auto& state = c.book.task(task);
    if (now - state.since >= stable_run) {
        state.failures = 0;
    }
    ++state.failures;
}

/** @return Why the job of a failed task has to be given up, or `ok`. */
[[nodiscard]] result_code given_up(const context& c, task_key task)
{
    const auto& job = c.book.jobs[task.job];
    const bool fails_everywhere =
        job.succeeded == 0 &&
        job.failed_on.size() >= c.options.distinct_failures;
    if (fails_everywhere) {
        return result_code::failed_everywhere;
    }
    const bool is_spent = c.book.task(task).failures >= job.spec.max_attempts;
    return is_spent ? result_code::attempts_spent : result_code::ok;
}

void end_badly(context& c, task_key task, task_end end, time_point now)
{
    auto& job = c.book.jobs[task.job];
    if (end == task_end::refused) {
        job.last_failure = result_code::worker_full;
        c.book.vms.pause_until(c.book.task(task).vm, now + refusal_pause);
    } else {
        job.last_failure = end == task_end::failed
                               ? result_code::task_failed
                               : result_code::task_lease_lapsed;
        count_failure(c, task, now);
    }
    if (end == task_end::failed) {
        note_failure(c, task, now);
    }
    c.retries.defer(c.book, task, now);
    if (job.ready.empty()) {
        c.book.set_wait(task.job, result_code::waiting_for_retry, now);
    }
    const auto code = given_up(c, task);
    if (code != result_code::ok) {
        if (job.succeeded == 0 && job.failed_on.size() > 1) {
            c.health.absolve(c.book, task.job);
        }
        reject_job(c, task.job, code);
    } else if (job.spec.policy == job_class::gang) {
        stop_job(c, task.job, result_code::waiting_for_gang);
    }
}

void end_evicted(context& c, task_key task)
{
    ++c.book.task(task).evictions;
    c.book.requeue(task);
    if (c.book.jobs[task.job].spec.policy == job_class::gang) {
        stop_job(c, task.job, result_code::waiting_for_gang);
    }
}

} // namespace

void stop_task(context& c, task_key task, result_code code)
{
    if (c.book.jobs[task.job].spec.policy == job_class::gang) {
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
    auto& job = c.book.jobs[n];
    job.phase = job_phase::rejected;
    drop_unseen(c, n);
    c.out.push({.job = n}, {.kind = decision_kind::reject,
                            .task = {.job = job.id, .index = 0},
                            .request = job.spec.request,
                            .code = code});
    for (auto& it : stops_of(c, n, code)) {
        const task_key task{.job = n, .task = it.task.index};
        c.out.push(task, std::move(it));
    }
    c.book.forget_if_done(n);
}

std::vector<decision> cancel_job(context& c, index n)
{
    c.book.jobs[n].phase = job_phase::cancelled;
    drop_unseen(c, n);
    auto stops = stops_of(c, n, result_code::task_cancelled);
    c.book.forget_if_done(n);
    return stops;
}

void end_task(context& c, task_key task, task_end end, time_point now)
{
    auto& job = c.book.jobs[task.job];
    c.out.drop_stop(task);
    if (end == task_end::succeeded) {
        ++job.succeeded;
        note_run_time(c, task, now);
        c.health.succeeded(c.book, c.book.task(task).vm);
    }
    if (end == task_end::succeeded || job.phase != job_phase::live) {
        c.book.finish(task);
        c.book.forget_if_done(task.job);
    } else if (end == task_end::evicted) {
        end_evicted(c, task);
    } else {
        end_badly(c, task, end, now);
    }
}

} // namespace rosemarytrail::placement::internal
