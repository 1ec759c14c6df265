#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <vector>

namespace rosemarytrail::fleet {

namespace {

using internal::order_criterion;
using internal::service_group;
using internal::tracked_job;

/** @brief Largest slowness of a worker in estimates; one that hangs its tasks
 * tells nothing about their run time. */
constexpr double max_slowness = 2.5;
/** @brief Number of jobs after which the mean work of a queue forgets. */
constexpr std::size_t mean_window = 200;

[[nodiscard]] double to_key(time_point at)
{
    return static_cast<double>(at.time_since_epoch().count());
}

/** @return True if work of the current occurrence is done or running. */
[[nodiscard]] bool has_begun(const internal::job_triage& it)
{
    return it.remaining_work < it.work;
}

// To leave a job half done wastes what has been spent on it, so a job that has
// begun keeps its place in class 0 until it is overdue.
[[nodiscard]] service_group group_of(const tracked_job& job)
{
    const auto& it = job.triage;
    const bool kept = it.service_class == triage_class::late && has_begun(it);
    return {.beyond_share = job.beyond_share,
            .overdue = it.service_class == triage_class::overdue,
            .priority = job.record.queue.priority,
            .service_class = kept ? triage_class::on_time : it.service_class};
}

/** @return True if the end of the job does not decide its value. */
[[nodiscard]] bool lacks_objective(const tracked_job& job)
{
    return std::ranges::any_of(job.record.spec.steps, &step_spec::long_running);
}

/** @return Index of the first occurrence that is not complete, of those that
 * are tracked; the first one if there is none. */
[[nodiscard]] std::size_t current_round(const tracked_job& job)
{
    const auto it =
        std::ranges::find_if_not(job.occurrences, internal::is_complete);
    return it == job.occurrences.end()
               ? 0
               : static_cast<std::size_t>(it - job.occurrences.begin());
}

/** @brief Job of a class with waiting tasks. */
struct waiting_job
{
    service_group group;
    due_work work;
    tracked_job* job{};
};

} // namespace

internal::step_rank internal::rank_of(const tracked_step& step)
{
    const auto& job = *step.job;
    return {.group = group_of(job),
            .criterion = job.triage.criterion,
            .order = job.triage.key,
            .key = step.key};
}

void dispatcher::state::restore_run_times(const job_index& ledger_jobs,
                                          time_point now)
{
    service_order.observed.restore(ledger_jobs.run_times(), now);
    service_order.recorded_version = service_order.observed.version();
}

void dispatcher::state::record_run_times(std::vector<ledger_entry>& entries)
{
    auto& it = service_order;
    if (it.observed.version() == it.recorded_version ||
        last_plan - it.recorded_at < options.run_times_interval) {
        return;
    }
    it.recorded_version = it.observed.version();
    it.recorded_at = last_plan;
    entries.push_back({.key = encode_key({.kind = entry_kind::run_times}),
                       .value = encode(it.observed.ratios())});
}

void dispatcher::state::observe_run(const tracked_worker& worker,
                                    tracked_step& step, std::uint32_t index,
                                    time_point now)
{
    const auto& task = step.tasks[index];
    const auto& spec = *step.spec;
    // Of a run that a previous leader started, only a part is seen, and a run
    // that resumes from a checkpoint is shorter.
    if (!task.start_seen || spec.scavenger ||
        (spec.checkpoints && task.run > 1)) {
        return;
    }
    const auto slowness = std::min(worker.slowness, max_slowness);
    step.longest_run = std::max(
        step.longest_run,
        std::chrono::duration_cast<duration>(task.run_duration / slowness));
    const auto& queue = step.job->record.queue;
    service_order.observed.add(
        {.source = {.image = spec.image, .queue = queue.name},
         .declared = std::chrono::milliseconds{spec.estimate_ms},
         .observed = task.run_duration,
         .slowness = slowness},
        now);
}

duration dispatcher::state::expected_run(const tracked_step& step,
                                         std::size_t tasks) const
{
    const auto& spec = *step.spec;
    if (spec.long_running) {
        return {};
    }
    return service_order.observed.expected(
        {.image = spec.image, .queue = step.job->record.queue.name},
        std::chrono::milliseconds{spec.estimate_ms}, tasks);
}

// Work of one task, in core-milliseconds.
double dispatcher::state::work_of(const tracked_step& step) const
{
    constexpr double millis = 1000.0;
    const std::chrono::duration<double, std::milli> length =
        expected_run(step, 1);
    return static_cast<double>(step.spec->reserved().cpu_millis) / millis *
           length.count();
}

void dispatcher::state::estimate(tracked_job& job, time_point now) const
{
    auto& it = job.triage;
    const auto n = job.record.spec.steps.size();
    const auto round = current_round(job);
    const auto& steps = job.occurrences[round];
    std::vector<duration> lengths(n);
    std::vector<duration> ends(n);
    std::vector<duration> tails(n);
    it.chain = {};
    it.after_start = {};
    it.running_until = {};
    it.work = it.remaining_work = it.waiting_work = 0;
    for (std::size_t i = 0; i < n; ++i) {
        const auto& step = steps[i];
        lengths[i] = expected_run(step, step.tasks.size());
        const auto one = work_of(step);
        const auto count = [one](std::size_t tasks) {
            return static_cast<double>(tasks) * one;
        };
        it.work += count(step.tasks.size());
        const auto running = step.tasks.size() - step.waiting - step.done;
        it.remaining_work += count(step.waiting) + count(running) / 2;
        it.waiting_work += step.ready ? count(step.waiting) : 0;
        duration start{};
        for (const auto before : step.spec->depends_on) {
            start = before < i ? std::max(start, ends[before]) : start;
        }
        // The objective follows the true run time.
        ends[i] = start + (step.complete() && step.longest_run > duration{}
                               ? step.longest_run
                               : std::max(lengths[i], step.longest_run));
        it.chain = std::max(it.chain, ends[i]);
    }
    for (std::size_t i = n; i-- > 0;) {
        const auto& step = steps[i];
        const auto path = lengths[i] + tails[i];
        for (const auto before : step.spec->depends_on) {
            if (before < i) {
                tails[before] = std::max(tails[before], path);
            }
        }
        if (step.waiting > 0 && step.ready) {
            it.after_start = std::max(it.after_start, path);
        }
        for (const auto& task : step.tasks) {
            if (!task.occupies_worker() || step.spec->long_running) {
                continue;
            }
            const auto worker = workers.find(task.worker);
            const auto slowness =
                worker == workers.end()
                    ? 1.0
                    : std::min(worker->second.slowness, max_slowness);
            const auto end = task.since + std::chrono::duration_cast<duration>(
                                              lengths[i] * slowness);
            it.running_until =
                std::max(it.running_until, std::max(end, now) + tails[i]);
        }
    }
    const auto& queue = job.record.queue;
    const auto& spec = job.record.spec;
    const auto occurrence = job.first_occurrence + round;
    const auto due = spec.first_due_ms +
                     static_cast<std::int64_t>(occurrence) * spec.interval_ms;
    const auto begin =
        spec.occurrences == 0
            ? job.accepted
            : job.accepted + std::chrono::milliseconds{std::max<std::int64_t>(
                                 due - job.record.accepted_unix_ms, 0)};
    const auto objective =
        begin +
        std::chrono::duration_cast<duration>(it.chain * queue.slack_factor) +
        std::chrono::milliseconds{queue.target_latency_ms};
    it.view.accepted = begin;
    it.view.objective =
        lacks_objective(job) ? std::nullopt : std::optional{objective};
    it.view.remaining_work = it.remaining_work;
    if (spec.occurrences == 0 && !lacks_objective(job) &&
        options.order != overload_order::objective) {
        job.objective = objective;
    }
}

void dispatcher::state::refresh_estimate(tracked_job& job, time_point now)
{
    auto& it = job.triage;
    estimate(job, now);
    it.stale = false;
    it.run_times_version = service_order.observed.version();
    auto& queue = service_order.queues[job.record.queue.name];
    if (!it.in_mean) {
        it.in_mean = true;
        queue.jobs = std::min(queue.jobs + 1, mean_window);
        queue.mean += (it.work - queue.mean) / static_cast<double>(queue.jobs);
    }
    it.view.relative_work = queue.mean > 0 ? it.work / queue.mean : 1.0;
}

void dispatcher::state::classify_job(tracked_job& job, time_point now)
{
    auto& it = job.triage;
    it.view.remaining = std::max(it.after_start, it.running_until - now);
    if (options.order == overload_order::objective) {
        const auto late = job.objective <= now;
        it.service_class = late ? triage_class::late : triage_class::on_time;
        it.criterion = order_criterion::urgency;
        it.key =
            to_key(job.objective - std::chrono::milliseconds{job.chain_ms});
        return;
    }
    const auto before = it.service_class;
    it.service_class = classify(it.view, now);
    if (before == triage_class::on_time && before != it.service_class) {
        ++service_order.demotions;
        log_decision(
            job.record.id, "demoted",
            "class " + std::to_string(static_cast<int>(it.service_class)) +
                " age " +
                std::to_string(to_milliseconds(now - it.view.accepted)) +
                " objective " +
                std::to_string(
                    to_milliseconds(*it.view.objective - it.view.accepted)) +
                " remaining " +
                std::to_string(to_milliseconds(it.view.remaining)) +
                " declared chain " + std::to_string(job.chain_ms) +
                " expected chain " + std::to_string(to_milliseconds(it.chain)) +
                " queue " + job.record.queue.name);
    }
    set_criterion(job, it.overloaded);
}

void dispatcher::state::set_criterion(tracked_job& job, bool overloaded) const
{
    auto& it = job.triage;
    it.overloaded = overloaded;
    const bool by_age =
        !it.view.objective || it.service_class == triage_class::overdue;
    const bool begun = has_begun(it) && options.finish_begun_first;
    if (by_age || begun) {
        it.criterion = by_age ? order_criterion::age : order_criterion::begun;
        it.key = to_key(it.view.accepted);
        return;
    }
    it.criterion =
        overloaded ? order_criterion::overload : order_criterion::urgency;
    it.key = overloaded ? overload_key(options.order, it.view)
                        : to_key(latest_start(it.view, it.service_class));
}

// Ranks depend on the run times observed for all jobs and on the work that
// waits, so they are computed for all jobs at intervals; in between, only jobs
// that have changed are estimated again.
void dispatcher::state::update_order(time_point now)
{
    const bool full = now - service_order.last_pass >= options.triage_interval;
    const auto version = service_order.observed.version();
    for (auto& [id, job] : jobs) {
        auto& it = job->triage;
        const bool stale = it.stale || it.run_times_version != version;
        if (job->ended() || (!stale && !full)) {
            continue;
        }
        if (stale) {
            refresh_estimate(*job, now);
        }
        classify_job(*job, now);
    }
    if (full && options.order != overload_order::objective) {
        service_order.last_pass = now;
        find_overload(now);
    }
}

// Decides for each class and priority, and within it for each account with a
// limit, whether its work can be served in the order of urgency.
void dispatcher::state::find_overload(time_point now)
{
    std::vector<waiting_job> waiting;
    for (auto& [id, job] : jobs) {
        const auto& it = job->triage;
        if (!job->ended() && it.waiting_work > 0 && it.view.objective &&
            it.service_class != triage_class::overdue) {
            waiting.push_back({.group = group_of(*job),
                               .work = {.latest_start = latest_start(
                                            it.view, it.service_class),
                                        .core_ms = it.remaining_work},
                               .job = job.get()});
        }
    }
    std::ranges::sort(waiting, [](const auto& a, const auto& b) {
        return std::tie(a.group, a.work.latest_start) <
               std::tie(b.group, b.work.latest_start);
    });
    double cpu_millis = 0;
    for (const auto& [id, worker] : workers) {
        if (accepts_work(worker, now)) {
            cpu_millis += static_cast<double>(worker.vm.capacity.cpu_millis) /
                          worker.slowness;
        }
    }
    constexpr double millis = 1000.0;
    const auto cores = cpu_millis / millis * options.max_slack_use;
    service_order.overloaded = false;
    double ahead = 0;
    std::map<std::string, double> ahead_in_account;
    std::vector<due_work> all;
    std::map<std::string, std::vector<due_work>> by_account;
    for (auto begin = waiting.begin(); begin != waiting.end();) {
        const auto end =
            std::find_if(begin, waiting.end(), [&](const auto& it) {
                return !(it.group == begin->group);
            });
        all.clear();
        by_account.clear();
        for (auto it = begin; it != end; ++it) {
            const auto& name = it->job->record.account;
            if (account_cores(name) > 0) {
                by_account[name].push_back(it->work);
            }
            // The capacity is not used by work beyond an account's limit.
            if (!is_at_limit(*it->job)) {
                all.push_back(it->work);
            }
        }
        const bool crowded = exceeds_capacity(all, ahead, cores, now);
        std::set<std::string> crowded_accounts;
        for (const auto& [name, work] : by_account) {
            auto& before = ahead_in_account[name];
            if (exceeds_capacity(work, before,
                                 account_cores(name) * options.max_slack_use,
                                 now)) {
                crowded_accounts.insert(name);
            }
            for (const auto& it : work) {
                before += it.core_ms;
            }
        }
        for (const auto& it : all) {
            ahead += it.core_ms;
        }
        service_order.overloaded =
            service_order.overloaded || crowded || !crowded_accounts.empty();
        for (; begin != end; ++begin) {
            set_criterion(*begin->job,
                          crowded || crowded_accounts.contains(
                                         begin->job->record.account));
        }
    }
}

double dispatcher::state::account_cores(const std::string& name) const
{
    const auto* account =
        config && !name.empty() ? config->find_account(name) : nullptr;
    constexpr double millis = 1000.0;
    return account == nullptr
               ? 0
               : static_cast<double>(account->limit.cpu_millis) / millis;
}

bool dispatcher::state::is_at_limit(const tracked_job& job) const
{
    const auto waits = [&](const tracked_step& step) {
        return step.ready && step.waiting > 0 &&
               !within_limit(job, step.spec->demand);
    };
    return std::ranges::any_of(job.occurrences, [&waits](const auto& steps) {
        return std::ranges::any_of(steps, waits);
    });
}

// A class that is overloaded for long would otherwise never serve some jobs:
// the largest ones, or those whose time has passed.
void dispatcher::state::serve_longest_waiting(
    std::span<const ranked_step> waiting, time_point now)
{
    if (service_order.aging_credit <= 0) {
        return;
    }
    tracked_step* oldest = nullptr;
    const auto rank = [](const tracked_step& it) {
        return std::tie(it.job->beyond_share, it.ready_at, it.key);
    };
    for (const auto& it : waiting) {
        if ((oldest == nullptr || rank(*it.step) < rank(*oldest)) &&
            may_start(*it.step)) {
            oldest = it.step;
        }
    }
    if (oldest == nullptr) {
        return;
    }
    const auto one = work_of(*oldest);
    const auto before = oldest->waiting;
    if (oldest->spec->gang) {
        place_gang(*oldest, now);
    } else {
        const auto tasks =
            std::ceil(service_order.aging_credit / std::max(one, 1.0));
        place_step(*oldest, now, static_cast<std::size_t>(tasks));
    }
    service_order.aging_credit -=
        one * static_cast<double>(before - oldest->waiting);
}

void dispatcher::state::add_aging_credit(double placed_work, bool tasks_left)
{
    if (!service_order.overloaded || !tasks_left) {
        service_order.aging_credit = std::min(service_order.aging_credit, 0.0);
        return;
    }
    // Unused credit is bounded, so that a long overload does not lead to a
    // burst of tasks out of order.
    constexpr double max_credit = 60000;
    service_order.aging_credit =
        std::min(service_order.aging_credit + options.aging_share * placed_work,
                 max_credit);
}

} // namespace rosemarytrail::fleet
