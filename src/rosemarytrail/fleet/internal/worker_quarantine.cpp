#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <string>

namespace rosemarytrail::fleet {

// All members of a gang on the worker are its probe, so that a gang which only
// fits there is placed, too.
bool dispatcher::state::is_probe(const tracked_worker& worker,
                                 const tracked_step& step, std::uint32_t index)
{
    return worker.probe && worker.probe->step == step.key &&
           (step.spec->gang || worker.probe->index == index);
}

void dispatcher::state::record_bad_run(tracked_worker& worker,
                                       const task_key& task, bad_run cause,
                                       time_point now)
{
    const auto* step = find_step(task.step);
    const auto& image = step->spec->image;
    images.record(image, worker.vm.id, false, options.health, now);
    const bool probe = is_probe(worker, *step, task.index);
    if (probe) {
        worker.probe.reset();
    }
    if (images.is_faulty(image, options.health, now) ||
        !worker.health.record_bad_run(task.step.job, probe, options.health,
                                      now)) {
        expect_last_resort(worker, now);
        return;
    }
    const auto quarantined =
        std::ranges::count_if(workers, [now](const auto& it) {
            return it.second.health.quarantined(now);
        });
    if (static_cast<double>(quarantined + 1) >
        options.health.max_share * static_cast<double>(workers.size())) {
        return;
    }
    const auto bad_runs = worker.health.bad_runs();
    const auto length = worker.health.quarantine(options.health, now);
    probe_times.insert(now + length);
    probe_times.insert(now + length + options.health.small_probe_wait);
    expect_last_resort(worker, now);
    log_decision(
        task.step.job, "worker set aside",
        worker.vm.id + " for " + std::to_string(to_milliseconds(length)) +
            " ms: " + (probe ? "probe, " : "") + to_text(cause) + " of " +
            to_text(task) + ", bad runs " + std::to_string(bad_runs) +
            ", workers set aside " + std::to_string(quarantined));
}

void dispatcher::state::expect_last_resort(const tracked_worker& worker,
                                           time_point now)
{
    if (worker.health.set_aside(now)) {
        probe_times.insert(now + options.health.last_resort_wait);
        probe_times.insert(now + options.health.last_resort_wait_lasting);
    }
}

void dispatcher::state::record_good_run(tracked_worker& worker,
                                        const task_key& task, time_point now)
{
    const auto* step = find_step(task.step);
    const bool probe = is_probe(worker, *step, task.index);
    images.record(step->spec->image, worker.vm.id, true, options.health, now);
    worker.health.record_good_run(step->tasks[task.index].since, probe);
    if (probe) {
        worker.probe.reset();
        replan = true;
    }
}

bool dispatcher::state::accepts_probe(const tracked_worker& worker,
                                      const tracked_step& step,
                                      time_point now) const
{
    // The probe may have been lost or stopped.
    const bool pending = worker.probe && worker.load.contains(*worker.probe) &&
                         !(step.spec->gang && worker.probe->step == step.key);
    return !pending &&
           (worker.health.accepts_probe(*step.spec, worker.vm.capacity,
                                        options.health, now) ||
            accepts_last_resort(worker, step, now));
}

// A task that lasts may go to a worker that was set aside as soon as the others
// are full, as it has any number of attempts.
bool dispatcher::state::accepts_last_resort(const tracked_worker& worker,
                                            const tracked_step& step,
                                            time_point now) const
{
    const bool lasting = step.spec->long_running;
    return worker.health.accepts_last_resort(lasting, options.health, now) &&
           (lasting || !has_sound_worker(step, now));
}

bool dispatcher::state::has_sound_worker(const tracked_step& step,
                                         time_point now) const
{
    return std::ranges::any_of(workers, [&](const auto& it) {
        const auto& worker = it.second;
        return worker.listed && !worker.closing() &&
               !worker.health.set_aside(now) && suits(worker, step) &&
               !step.refused.contains(it.first);
    });
}

// A worker may hang what it starts and still respond to polls.
void dispatcher::state::check_progress(tracked_worker& worker,
                                       tracked_step& step,
                                       const running_row& row,
                                       time_point sent_at)
{
    auto& task = step.tasks[row.task.index];
    const bool first_report = task.progress_at == time_point{};
    const bool advanced = !first_report && row.percent > task.percent;
    if (advanced || first_report) {
        task.progress_at = sent_at;
    }
    task.percent = row.percent;
    task.percent_at = sent_at;
    // The end of a long run is not awaited.
    if (advanced && task.phase == task_phase::running &&
        sent_at - task.since >= options.stable_after &&
        is_probe(worker, step, row.task.index)) {
        record_good_run(worker, row.task, sent_at);
    }
    if (task.stalled || task.phase != task_phase::running ||
        step.spec->long_running || step.spec->scavenger || step.spec->gang) {
        return;
    }
    stall_view view{.progress_at = std::max(task.progress_at, task.since),
                    .estimate_ms = step.spec->estimate_ms};
    if (sent_at - view.progress_at <= options.health.min_stall) {
        return;
    }
    for (const auto& it : step.tasks) {
        const bool elsewhere = it.worker.empty()
                                   ? it.completed_on != worker.vm.id
                                   : it.worker != worker.vm.id;
        auto at = it.progress_at;
        if (it.phase == task_phase::done) {
            at = std::max(at, it.since + it.run_duration);
        }
        if (elsewhere && at != time_point{}) {
            view.siblings_progress_at =
                std::max(view.siblings_progress_at.value_or(at), at);
        }
    }
    if (stands_still(view, options.health, sent_at)) {
        task.stalled = true;
        record_bad_run(worker, row.task, bad_run::stalled, sent_at);
    }
}

} // namespace rosemarytrail::fleet
