#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace rosemarytrail::fleet {

using internal::run_evidence;

// A task may crash each worker that starts it, so the crashes under a task are
// counted like its failed runs. A lost worker may as well be cut off: only
// another incarnation proves a crash, and until then the loss stays
// unexplained. All of it is in the ledger, so that a successor goes on
// counting.

// Called before the runs of a lost or restarted worker are given up. Runs whose
// lease has expired may have ended before a crash that is proven later.
void dispatcher::state::remember_losses(tracked_worker& worker,
                                        std::span<const task_key> lost,
                                        bool expired, time_point now)
{
    for (const auto& key : lost) {
        auto& step = *find_step(key.step);
        auto& task = step.tasks[key.index];
        if (!task.may_crash_worker() || task.result_known) {
            continue;
        }
        // A worker may restart and be lost again before it responds.
        if (worker.unexplained_losses.insert(key).second) {
            task.crashes.unexplained.push_back(
                {.id = worker.vm.id,
                 .run_confirmed =
                     !expired && task.evidence == run_evidence::started});
        }
        worker.losses_expire = now + options.crash_memory;
        mark_dirty(step, key.index);
    }
}

// Called once it is known if a lost worker crashed, or when that is no longer
// waited for.
void dispatcher::state::explain_losses(tracked_worker& worker, bool crashed,
                                       time_point now)
{
    for (const auto& key : std::exchange(worker.unexplained_losses, {})) {
        auto* step = find_step(key.step);
        if (step == nullptr) {
            continue;
        }
        auto& task = step->tasks[key.index];
        auto& losses = task.crashes.unexplained;
        const auto loss =
            std::ranges::find(losses, worker.vm.id, &lost_worker::id);
        if (loss == losses.end()) {
            continue;
        }
        const bool run_confirmed = loss->run_confirmed;
        losses.erase(loss);
        mark_dirty(*step, key.index);
        // A start may have reached the new incarnation.
        const bool runs_on =
            task.worker == worker.vm.id && task.phase == task_phase::running;
        if (crashed && !runs_on) {
            count_crash(*step, key.index, run_confirmed, now);
        }
    }
}

void dispatcher::state::count_crash(tracked_step& step, std::uint32_t index,
                                    bool run_confirmed, time_point now)
{
    auto& task = step.tasks[index];
    ++(run_confirmed ? task.crashes.confirmed : task.crashes.possible);
    log_decision(step.key.job, "worker crashed under task",
                 to_text(task_key{.step = step.key, .index = index}) +
                     " confirmed " + std::to_string(task.crashes.confirmed) +
                     " of " + std::to_string(options.max_confirmed_crashes) +
                     ", possible " + std::to_string(task.crashes.possible));
    mark_dirty(step, index);
    if (exceeds_crash_limit(task) && !step.job->ended()) {
        fail_job(*step.job, "workers crashed under each run of a task", now);
    }
}

bool dispatcher::state::exceeds_crash_limit(const task_state& task) const
{
    const auto& it = task.crashes;
    return it.confirmed >= options.max_confirmed_crashes ||
           it.counted() >= options.max_possible_crashes;
}

// Several unexplained losses may all be crashes, so the next start waits until
// some of them are explained or too old.
bool dispatcher::state::awaits_crash_proof(const task_state& task) const
{
    const auto& it = task.crashes;
    return !it.unexplained.empty() && it.counted() + it.unexplained.size() >=
                                          options.max_possible_crashes - 1;
}

void dispatcher::state::clear_crashes(tracked_step& step, std::uint32_t index)
{
    auto& task = step.tasks[index];
    if (!task.crashes.empty()) {
        task.crashes = {};
        mark_dirty(step, index);
    }
}

// The incarnation that started the runs has ended, and all of them with it.
void dispatcher::state::on_replaced(tracked_worker& worker, time_point now)
{
    const bool crashed = !worker.vm.draining;
    const std::vector<task_key> lost{worker.load.begin(), worker.load.end()};
    remember_losses(worker, lost, false, now);
    worker.replaced = true;
    lose_tasks(worker, lost, now, "worker replaced");
    explain_losses(worker, crashed, now);
    worker.lease_until = now;
}

void dispatcher::state::observe_running(tracked_worker& worker,
                                        const task_key& key, time_point sent_at)
{
    auto& step = *find_step(key.step);
    auto& task = step.tasks[key.index];
    if (task.evidence == run_evidence::stable) {
        return;
    }
    task.evidence = std::max(task.evidence, run_evidence::started);
    if (task.phase != task_phase::running) {
        return;
    }
    const auto age = sent_at - task.since;
    if (age >= options.crash_window) {
        task.evidence = std::max(task.evidence, run_evidence::settled);
        if (worker.isolated_run == key) {
            worker.isolated_run.reset();
            replan = true;
        }
    }
    if (age >= options.stable_after) {
        task.evidence = run_evidence::stable;
        clear_crashes(step, key.index);
        if (step.spec->long_running) {
            record_good_run(worker, key, sent_at);
        }
    }
}

// Counted once in a planning pass, as many tasks may be placed apart in it.
std::size_t dispatcher::state::count_new_runs(tracked_worker& worker)
{
    if (worker.counted_in != planning_pass) {
        worker.counted_in = planning_pass;
        worker.new_runs = static_cast<std::size_t>(
            std::ranges::count_if(worker.load, [this](const task_key& key) {
                const auto* task = find_task(key);
                return task->phase == task_phase::placed ||
                       task->may_crash_worker();
            }));
    }
    return worker.new_runs;
}

} // namespace rosemarytrail::fleet
