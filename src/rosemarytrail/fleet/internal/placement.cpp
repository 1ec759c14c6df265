#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <tuple>

namespace rosemarytrail::fleet {

namespace {

using internal::tracked_step;

/**
 * @brief Ranks workers by speed for a step; the lowest rank is preferred.
 *
 * Steps of priority 0 prefer fast workers. Other steps prefer slower workers,
 * unless these exceed the slowness threshold. Workers that have just started
 * count as slow for as long as the directory says.
 */
[[nodiscard]] int speed_rank(const internal::tracked_worker& worker,
                             const tracked_step& step, time_point now)
{
    constexpr double slow_threshold = 1.6;
    constexpr double per_rank = 0.1;
    constexpr int slow_rank_offset = 1000;
    const int rank = static_cast<int>((worker.slowness - 1.0) / per_rank);
    if (worker.slowness > slow_threshold || worker.cold_until > now) {
        return slow_rank_offset + rank;
    }
    const bool urgent = step.job->record.queue.priority == 0;
    return urgent ? std::max(rank, 0) : -std::max(rank, 0);
}

/** @return Bits for the reasons to prefer other workers, the most important
 * first; zero if there is none. */
[[nodiscard]] std::uint32_t reluctance(const internal::tracked_worker& worker,
                                       const tracked_step& step,
                                       const internal::task_state& task,
                                       time_point now)
{
    enum : std::uint32_t
    {
        may_end_gang = 1,
        long_lease = 2,
        refused = 4,
        quarantined = 8
    };
    const auto& spec = *step.spec;
    std::uint32_t result = 0;
    if (worker.health.quarantined(now)) {
        result |= quarantined;
    }
    if (task.refused_by.contains(worker.vm.id)) {
        result |= refused;
    }
    // If the worker were lost, the task would wait for that lease.
    if (spec.long_running && worker.previous_clock_lease_until > now) {
        result |= long_lease;
    }
    if (spec.gang && worker.health.on_probation()) {
        result |= may_end_gang;
    }
    return result;
}

} // namespace

bool dispatcher::state::is_reachable(const tracked_worker& worker)
{
    return worker.listed && !worker.closing() && worker.renewable &&
           worker.unanswered == 0 && worker.untracked_runs == 0 &&
           worker.clock_ms.has_value() &&
           worker.unanswered_start_at <= worker.alive_at;
}

bool dispatcher::state::accepts_work(const tracked_worker& worker,
                                     time_point now)
{
    return is_reachable(worker) && !worker.health.quarantined(now);
}

bool dispatcher::state::is_of_kind(const tracked_worker& worker,
                                   const tracked_step& step)
{
    const auto& label = step.spec->required_label;
    return worker.vm.service == step.job->record.queue.service &&
           (label.empty() || std::ranges::find(worker.vm.labels, label) !=
                                 worker.vm.labels.end());
}

bool dispatcher::state::suits(const tracked_worker& worker,
                              const tracked_step& step)
{
    return is_of_kind(worker, step) &&
           step.spec->reserved().fits(worker.vm.capacity);
}

bool dispatcher::state::suits_a_worker(tracked_step& step) const
{
    if (step.suits_as_of != workers_version) {
        step.suits_as_of = workers_version;
        step.suits_a_worker = std::ranges::any_of(
            workers, [&](const auto& it) { return suits(it.second, step); });
    }
    return step.suits_a_worker;
}

bool dispatcher::state::may_start(const tracked_step& step) const
{
    return within_limit(*step.job, step.spec->demand) &&
           std::ranges::any_of(step.tasks, [this](const auto& it) {
               return it.phase == internal::task_phase::waiting &&
                      !awaits_crash_proof(it);
           });
}

bool dispatcher::state::can_accept(const tracked_worker& worker,
                                   const tracked_step& step,
                                   time_point now) const
{
    return step.spec->reserved().fits(worker.available()) &&
           is_reachable(worker) && is_of_kind(worker, step) &&
           (step.job->record.queue.advice || !lists_too_many_ends(worker)) &&
           internal::tasks_allowed_on(worker, step) > 0 &&
           (!worker.health.set_aside(now) || accepts_probe(worker, step, now));
}

bool dispatcher::state::within_limit(const tracked_job& job,
                                     const resource_amounts& demand) const
{
    const auto& limit = job.account->limit;
    const auto total = job.account->used + demand;
    return (limit.cpu_millis == 0 || total.cpu_millis <= limit.cpu_millis) &&
           (limit.memory_mb == 0 || total.memory_mb <= limit.memory_mb) &&
           (limit.gpus == 0 || total.gpus <= limit.gpus);
}

// Every waiting step is tried at each planning pass, so the workers with a
// ticket are cached instead of being looked up by name.
std::span<internal::tracked_worker* const>
dispatcher::state::allowed_workers(tracked_step& step)
{
    if (step.allowed_as_of != workers_version) {
        step.allowed.clear();
        for (const auto& [id, ticket] : step.tickets) {
            if (const auto it = workers.find(id); it != workers.end()) {
                step.allowed.push_back(&it->second);
            }
        }
        step.allowed_as_of = workers_version;
    }
    return step.allowed;
}

// A task under which a worker crashed starts apart from other new runs and on a
// worker with few tasks, where there is one: another crash then tells it from
// the tasks beside it, and ends few of them.
internal::tracked_worker* dispatcher::state::choose_worker(tracked_step& step,
                                                           std::uint32_t index,
                                                           time_point now)
{
    const auto& spec = *step.spec;
    const auto demand = spec.reserved();
    const auto& task = step.tasks[index];
    const bool apart = task.crashes.counted() > 0;
    tracked_worker* best = nullptr;
    std::tuple<std::uint32_t, std::size_t, std::size_t, bool, bool, int,
               std::int64_t>
        best_rank;
    const auto consider = [&](tracked_worker& it) {
        if (!can_accept(it, step, now)) {
            return;
        }
        // The tightest fit keeps whole workers free for large tasks; a
        // scavenger task prefers the worker with the most idle CPU.
        const auto left = it.available().cpu_millis - demand.cpu_millis;
        const std::tuple rank{
            reluctance(it, step, task, now),
            apart ? count_new_runs(it) : std::size_t{it.isolated_run ? 1U : 0U},
            apart ? it.load.size() : std::size_t{0},
            !spec.data_rack.empty() && it.vm.rack != spec.data_rack,
            it.vm.id == task.failed_on,
            speed_rank(it, step, now),
            spec.scavenger ? -left : left};
        if (best == nullptr || rank < best_rank) {
            best = &it;
            best_rank = rank;
        }
    };
    if (const auto* start = find_open_start(task, now)) {
        if (const auto it = workers.find(start->worker); it != workers.end()) {
            consider(it->second);
        }
        return best;
    }
    if (!step.job->record.queue.advice) {
        for (auto& [id, it] : workers) {
            consider(it);
        }
        return best;
    }
    for (auto* it : allowed_workers(step)) {
        consider(*it);
    }
    return best;
}

void dispatcher::state::place(tracked_step& step, std::uint32_t index,
                              tracked_worker& worker, time_point now)
{
    auto& task = step.tasks[index];
    --step.waiting;
    task.phase = task_phase::placed;
    task.since = now;
    task.evidence = internal::run_evidence::none;
    task.confirmed = false;
    task.confirmation_recorded = false;
    if (find_open_start(task, now) == nullptr) {
        task.earlier_start.reset();
    }
    ++task.run;
    if (step.waiting == 0 && step.placed_at == time_point{}) {
        step.placed_at = now;
    }
    allocate(step, index, worker.vm.id);
    ++worker.new_runs;
    if (worker.health.on_probation()) {
        worker.probe = task_key{.step = step.key, .index = index};
    }
    if (task.crashes.counted() > 0) {
        worker.isolated_run = {.step = step.key, .index = index};
    }
    mark_dirty(step, index);
    placed.push_back(
        {.task = {.step = step.key, .index = index}, .run = task.run});
}

void dispatcher::state::place_step(tracked_step& step, time_point now,
                                   std::size_t max_tasks)
{
    std::size_t n = 0;
    for (std::uint32_t i = 0; i < step.tasks.size() && n < max_tasks; ++i) {
        if (step.tasks[i].phase != task_phase::waiting ||
            awaits_crash_proof(step.tasks[i])) {
            continue;
        }
        if (!within_limit(*step.job, step.spec->demand)) {
            break;
        }
        auto* worker = choose_worker(step, i, now);
        if (worker != nullptr) {
            place(step, i, *worker, now);
            ++n;
        } else if (!step.tasks[i].earlier_start) {
            break;
        }
    }
    if (n > 0) {
        log_decision(step.key.job, "placed",
                     to_text(step.key) + " tasks " + std::to_string(n) +
                         " of " + std::to_string(step.tasks.size()) +
                         ", still waiting " + std::to_string(step.waiting));
    }
}

void dispatcher::state::place_gang(tracked_step& step, time_point now)
{
    // Members start together and with the same run number.
    if (step.waiting != step.tasks.size() ||
        std::ranges::any_of(step.tasks, [this](const auto& it) {
            return awaits_crash_proof(it);
        })) {
        return;
    }
    std::uint32_t run = 0;
    for (const auto& it : step.tasks) {
        run = std::max(run, it.run);
    }
    std::vector<std::uint32_t> before;
    for (const auto& it : step.tasks) {
        before.push_back(it.run);
    }
    const auto already_placed = placed.size();
    std::uint32_t n = 0;
    for (; n < step.tasks.size(); ++n) {
        auto* worker = within_limit(*step.job, step.spec->demand)
                           ? choose_worker(step, n, now)
                           : nullptr;
        if (worker == nullptr) {
            break;
        }
        step.tasks[n].run = run;
        place(step, n, *worker, now);
    }
    if (n == step.tasks.size()) {
        // All members resume from the same checkpoint, the first one available.
        const auto saved = std::ranges::find_if(
            step.tasks, [](const auto& it) { return !it.checkpoint.empty(); });
        if (saved != step.tasks.end()) {
            const auto checkpoint = saved->checkpoint;
            for (auto& it : step.tasks) {
                it.checkpoint = checkpoint;
            }
        }
        log_decision(step.key.job, "gang placed", to_text(step.key));
        return;
    }
    while (n-- > 0) {
        release(step, n);
        step.tasks[n].phase = task_phase::waiting;
        step.tasks[n].run = before[n];
        ++step.waiting;
    }
    placed.resize(already_placed);
}

void dispatcher::plan(time_point now, std::int64_t unix_ms)
{
    auto& it = *state_;
    it.last_plan = now;
    it.last_plan_unix_ms = unix_ms;
    ++it.planning_pass;
    std::erase_if(it.scheduled, [&it, unix_ms](std::uint64_t id) {
        const auto job = it.jobs.find(id);
        if (job == it.jobs.end() || job->second->ended()) {
            return true;
        }
        it.update_occurrences(*job->second, unix_ms);
        it.update_ready(*job->second, unix_ms);
        return false;
    });
    while (!it.probe_times.empty() && *it.probe_times.begin() <= now) {
        it.probe_times.erase(it.probe_times.begin());
        it.replan = true;
    }
    it.release_ties(now);
    it.update_order(now);
    it.plan_advice(now);
    // Before placement, which leaves no capacity while tasks wait.
    it.relocate(now);
    if (!it.replan) {
        return;
    }
    it.replan = false;
    std::vector<internal::ranked_step> order;
    for (auto* step : it.ready) {
        const bool advised = step->job->record.queue.advice.has_value();
        if (step->waiting > 0 && !step->job->ended() &&
            (!advised || step->tickets_until > now) &&
            it.suits_a_worker(*step)) {
            order.push_back({.rank = internal::rank_of(*step), .step = step});
        }
    }
    std::ranges::sort(order, internal::served_before);
    it.serve_longest_waiting(order, now);
    double placed_work = 0;
    bool tasks_left = false;
    for (const auto& [rank, step] : order) {
        const auto before = step->waiting;
        if (step->spec->gang) {
            it.place_gang(*step, now);
        } else {
            it.place_step(*step, now, step->tasks.size());
        }
        // Of thousands of waiting steps, few are placed in a pass.
        if (step->waiting != before) {
            placed_work +=
                it.work_of(*step) * static_cast<double>(before - step->waiting);
        }
        tasks_left = tasks_left || step->waiting > 0;
    }
    it.add_aging_credit(placed_work, tasks_left);
}

} // namespace rosemarytrail::fleet
