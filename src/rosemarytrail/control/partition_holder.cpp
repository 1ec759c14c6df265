#include <rosemarytrail/control/partition_holder.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::control {

namespace {

/** Maximum number of decisions carried out per tick. */
constexpr std::size_t decisions_per_tick = 256;

} // namespace

partition_holder::partition_holder(const holder_options& options,
                                   holder_ports ports, state::takeover proof,
                                   time_point now)
    : options_{options}
    , ports_{ports}
    , proof_{std::move(proof)}
    , scheduler_{placement::make_scheduler(options.scheduler)}
{
    for (const auto& [vm, it] : ports_.state.vms()) {
        if (it.partition == options_.partition) {
            add_vm(vm);
        }
    }
    for (const auto& id : ports_.state.open_jobs(options_.partition)) {
        const auto* job = ports_.state.find_job(id);
        jobs_.emplace(id, now);
        scheduler_->add_job(id, job->spec, true, now);
        for (const auto& [index, code] : job->finished) {
            scheduler_->mark_task_ended({.job = id, .index = index});
        }
    }
}

void partition_holder::add_vm(const vm_id& vm)
{
    auto& held = vms_[vm];
    if (const auto it = ports_.state.vms().find(vm);
        it != ports_.state.vms().end()) {
        held.capacity = it->second.capacity;
    }
    if (!held.link) {
        make_link(vm);
    }
}

void partition_holder::make_link(const vm_id& vm)
{
    auto& held = vms_[vm];
    held.link = std::make_unique<worker_link>(
        vm, ports_.workers, ports_.clock, options_.freshness,
        [this, vm](const worker_response& response, time_point now) {
            on_response(vm, response, now);
        });
    held.link->set_epoch(ports_.state.vm_epoch(vm));
}

void partition_holder::update_vm(const backends::vm_entry& entry)
{
    const auto it = vms_.find(entry.vm);
    if (it == vms_.end()) {
        return;
    }
    it->second.entry = entry;
    it->second.listed = true;
    it->second.link->set_address(entry.worker_address);
}

void partition_holder::vm_unlisted(const vm_id& vm)
{
    const auto it = vms_.find(vm);
    if (it != vms_.end()) {
        it->second.listed = false;
    }
}

void partition_holder::remove_vm(const vm_id& vm, time_point now)
{
    const auto it = vms_.find(vm);
    if (it == vms_.end()) {
        return;
    }
    expire(it->second, now);
    scheduler_->remove_vm(vm);
    vms_.erase(it);
}

void partition_holder::add_job(const state::job_state& job, time_point now)
{
    if (!jobs_.emplace(job.job, now).second) {
        return;
    }
    scheduler_->add_job(job.job, job.spec, false, now);
    for (const auto& [index, code] : job.finished) {
        scheduler_->mark_task_ended({.job = job.job, .index = index});
    }
}

void partition_holder::drop_job(const job_id& job, time_point now)
{
    if (jobs_.erase(job) == 0) {
        return;
    }
    rejecting_.erase(job);
    for (const auto& it : scheduler_->cancel_job(job, now)) {
        carry_out(it, now);
    }
}

void partition_holder::update_team(const placement::team_view& team)
{
    teams_.insert(team.team);
    scheduler_->upsert_team(team);
}

void partition_holder::update_fleet(const placement::fleet_totals& totals)
{
    scheduler_->set_fleet(totals);
}

void partition_holder::refresh_vm(const vm_id& vm, held_vm& held,
                                  time_point now)
{
    held.link->set_epoch(ports_.state.vm_epoch(vm));
    if (held.link->contacted()) {
        proof_.fenced(vm);
    }
    if (held.link->expired(now)) {
        expire(held, now);
    }
    const bool accepting = held.listed && !held.entry.leaving &&
                           !held.withheld && held.link->contacted() &&
                           held.link->reachable(now);
    scheduler_->upsert_vm({.vm = vm,
                           .rack = held.entry.rack,
                           .zone = held.entry.zone,
                           .capacity = held.capacity,
                           .accepting = accepting,
                           .fenced = proof_.is_safe(vm, now)});
}

void partition_holder::expire(held_vm& held, time_point now)
{
    held.link->drop_commands();
    std::vector<task_ref> removed;
    for (const auto& [task, it] : tasks_) {
        if (it.vm == held.link->vm()) {
            removed.push_back(task);
        }
    }
    for (const auto& it : removed) {
        ports_.task_ends.add(result_code::task_lease_lapsed);
        release(it, placement::task_end::lost, now);
    }
}

void partition_holder::tick(bool may_act, time_point now)
{
    for (auto& [vm, held] : vms_) {
        refresh_vm(vm, held, now);
    }
    if (may_act) {
        for (const auto& it : scheduler_->decide(now, decisions_per_tick)) {
            carry_out(it, now);
        }
    }
    for (auto& [vm, held] : vms_) {
        held.link->tick(may_act, options_.worker_period, now);
    }
    flush_finished();
    record_settled(now);
}

void partition_holder::carry_out(const placement::decision& it, time_point now)
{
    switch (it.kind) {
    case placement::decision_kind::start:
        send_start(it, now);
        break;
    case placement::decision_kind::checkpoint:
        ports_.task_ends.add(it.code);
        send_end(it.task, backends::command_kind::checkpoint);
        break;
    case placement::decision_kind::stop:
        ports_.task_ends.add(it.code);
        send_end(it.task, backends::command_kind::stop);
        break;
    case placement::decision_kind::reject:
        reject(it);
        break;
    }
}

void partition_holder::send_start(const placement::decision& it, time_point now)
{
    const auto* job = ports_.state.find_job(it.task.job);
    const auto vm = vms_.find(it.vm);
    if (job == nullptr || vm == vms_.end()) {
        scheduler_->task_ended(it.task, placement::task_end::refused, now);
        return;
    }
    tasks_[it.task] = {.vm = it.vm, .attempt = it.attempt};
    if (const auto found = jobs_.find(it.task.job); found != jobs_.end()) {
        ports_.start_waits.add(now - found->second);
    }
    vm->second.link->enqueue({.kind = backends::command_kind::start,
                              .task = it.task,
                              .attempt = it.attempt,
                              .request = it.request,
                              .run_time = job->spec.run_time,
                              .service = job->spec.service});
}

void partition_holder::send_end(const task_ref& task,
                                backends::command_kind kind)
{
    const auto it = tasks_.find(task);
    if (it == tasks_.end() || it->second.phase == stage::stopping) {
        return;
    }
    const auto vm = vms_.find(it->second.vm);
    if (vm == vms_.end()) {
        return;
    }
    it->second.phase = stage::stopping;
    vm->second.link->enqueue(
        {.kind = kind, .task = task, .attempt = it->second.attempt});
}

void partition_holder::reject(const placement::decision& it)
{
    if (!rejecting_.insert(it.task.job).second) {
        return;
    }
    const auto job = it.task.job;
    reason why;
    const bool queued = ports_.writer.push(
        state::job_rejected{.job = job,
                            .partition = options_.partition,
                            .epoch = options_.epoch,
                            .code = it.code},
        [](const write_outcome&) {}, why);
    if (!queued) {
        rejecting_.erase(job);
    }
}

void partition_holder::withhold_vm(const vm_id& vm, bool withheld,
                                   time_point now)
{
    const auto it = vms_.find(vm);
    if (it == vms_.end()) {
        return;
    }
    it->second.withheld = withheld;
    refresh_vm(vm, it->second, now);
}

} // namespace rosemarytrail::control
