#include <rosemarytrail/placement/internal/default_scheduler.hpp>

#include <rosemarytrail/placement/internal/feasibility.hpp>
#include <rosemarytrail/placement/internal/task_termination.hpp>
#include <rosemarytrail/placement/internal/wait_explanation.hpp>

#include <chrono>
#include <utility>

namespace rosemarytrail::placement::internal {

namespace {

/** @brief Interval at which blocked jobs are retried if no capacity changed. */
constexpr duration rescan_period = std::chrono::milliseconds{100};

} // namespace

default_scheduler::default_scheduler(const scheduler_options& options)
    : context_{options}
{}

void default_scheduler::upsert_vm(const vm_view& vm)
{
    const index n = context_.tables.vms.upsert(vm);
    context_.tables.capacity_changed();
    if (!vm.accepting || !vm.fenced) {
        withdraw_starts(n);
    }
}

void default_scheduler::remove_vm(const vm_id& vm)
{
    const index n = context_.tables.vms.find(vm);
    if (n != no_index) {
        withdraw_starts(n);
        context_.health.forget(n);
        context_.tables.vms.remove(vm);
        context_.tables.capacity_changed();
    }
}

void default_scheduler::upsert_team(const team_view& team)
{
    context_.tables.teams.upsert(team);
}

void default_scheduler::set_fleet(const fleet_totals& totals)
{
    context_.tables.teams.set_fleet(totals);
}

void default_scheduler::add_job(const job_id& job, const job_spec& spec,
                                bool before_takeover, time_point now)
{
    auto& tables = context_.tables;
    const index n = tables.add_job(job, spec, before_takeover, now);
    if (n == no_index) {
        return;
    }
    tables.jobs[n].history =
        context_.history.intern(tables.jobs[n].team, spec.name);
    tables.jobs[n].expected = context_.history.estimate(tables.jobs[n]);
    unchecked_.push_back(job);
}

std::vector<decision> default_scheduler::cancel_job(const job_id& job,
                                                    time_point)
{
    const index n = context_.tables.jobs.find(job);
    if (n == no_index) {
        return {};
    }
    return internal::cancel_job(context_, n);
}

void default_scheduler::adopt_task(const task_ref& ref, std::uint32_t attempt,
                                   const vm_id& vm, time_point started)
{
    const auto task = find(ref);
    if (!task) {
        return;
    }
    auto& tables = context_.tables;
    const auto phase = tables.task(*task).phase;
    if (phase != task_phase::ready && phase != task_phase::retrying) {
        return;
    }
    tables.adopt(*task, attempt, tables.vms.intern(vm), started);
    release_idle_reservations(task->job);
    if (tables.jobs[task->job].spec.policy == job_class::gang) {
        adopted_gangs_.push_back(ref.job);
    }
}

void default_scheduler::mark_task_ended(const task_ref& ref)
{
    const auto task = find(ref);
    if (!task) {
        return;
    }
    const auto phase = context_.tables.task(*task).phase;
    if (phase == task_phase::ready || phase == task_phase::retrying) {
        context_.tables.skip(*task);
        release_idle_reservations(task->job);
        context_.tables.forget_if_done(task->job);
    }
}

void default_scheduler::task_started(const task_ref& ref, time_point now)
{
    const auto task = find(ref);
    if (!task) {
        return;
    }
    auto& state = context_.tables.task(*task);
    if (state.phase == task_phase::committed) {
        state.phase = task_phase::running;
        state.since = now;
    }
}

void default_scheduler::task_ended(const task_ref& ref, task_end end,
                                   time_point now)
{
    const auto task = find(ref);
    if (task && is_committed(context_.tables.task(*task).phase)) {
        end_task(context_, *task, end, now);
    }
}

std::vector<decision> default_scheduler::decide(time_point now,
                                                std::size_t max_decisions)
{
    do_timed_work(now);
    reject_infeasible();
    stop_partial_gangs(now);
    shed_over_allowance(context_, now);
    stragglers_.run(context_, now);
    if (context_.decisions.size() < max_decisions) {
        placer_.run(context_, now, max_decisions);
    }
    return context_.decisions.take(max_decisions);
}

std::optional<wait_report> default_scheduler::explain(const job_id& job,
                                                      time_point now) const
{
    const index n = context_.tables.jobs.find(job);
    if (n == no_index || context_.tables.jobs[n].phase != job_phase::live) {
        return std::nullopt;
    }
    return explain_wait(context_, placer_.drain(), n, now);
}

resources default_scheduler::used_by(const team_id& team) const
{
    const index n = context_.tables.teams.find(team);
    return n == no_index ? resources{} : context_.tables.teams[n].used;
}

resources default_scheduler::queued_by(const team_id& team) const
{
    const index n = context_.tables.teams.find(team);
    return n == no_index ? resources{} : context_.tables.teams[n].queued;
}

resources default_scheduler::committed_on(const vm_id& vm) const
{
    const index n = context_.tables.vms.find(vm);
    return n == no_index ? resources{} : context_.tables.vms[n].committed;
}

std::optional<task_key> default_scheduler::find(const task_ref& ref) const
{
    const index n = context_.tables.jobs.find(ref.job);
    if (n == no_index || ref.index >= context_.tables.jobs[n].tasks.size()) {
        return std::nullopt;
    }
    return task_key{.job = n, .task = ref.index};
}

void default_scheduler::release_idle_reservations(index job)
{
    if (context_.tables.jobs[job].ready.empty()) {
        context_.reservations.release(job);
    }
}

void default_scheduler::withdraw_starts(index vm)
{
    const auto tasks = context_.tables.vms[vm].tasks;
    for (const auto& it : tasks) {
        if (context_.decisions.has_start(it)) {
            stop_task(context_, it, result_code::waiting_for_room);
        }
    }
}

void default_scheduler::reject_infeasible()
{
    auto& tables = context_.tables;
    if (unchecked_.empty() || tables.teams.fleet().capacity.is_zero()) {
        return;
    }
    for (const auto& it : std::exchange(unchecked_, {})) {
        const index n = tables.jobs.find(it);
        if (n == no_index || tables.jobs[n].phase != job_phase::live) {
            continue;
        }
        const auto& job = tables.jobs[n];
        const auto code = check_feasible(job.spec, tables.teams[job.team].view,
                                         tables.teams.fleet());
        if (code != result_code::ok) {
            reject_job(context_, n, code);
        }
    }
}

void default_scheduler::stop_partial_gangs(time_point)
{
    if (adopted_gangs_.empty() || context_.tables.vms.unfenced() > 0) {
        return;
    }
    for (const auto& it : std::exchange(adopted_gangs_, {})) {
        const index n = context_.tables.jobs.find(it);
        const bool is_partial = n != no_index &&
                                context_.tables.jobs[n].committed > 0 &&
                                context_.tables.jobs[n].queued() > 0;
        if (is_partial) {
            stop_job(context_, n, result_code::waiting_for_gang);
        }
    }
}

void default_scheduler::do_timed_work(time_point now)
{
    context_.retries.make_due_ready(context_.tables, now);
    context_.health.release_quarantined(context_.tables, now);
    const bool any = context_.tables.vms.end_pauses(now) ||
                     context_.reservations.release_expired(now);
    if (any || now - last_rescan_ >= rescan_period) {
        last_rescan_ = now;
        context_.tables.capacity_changed();
    }
}

} // namespace rosemarytrail::placement::internal
