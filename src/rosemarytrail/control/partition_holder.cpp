#include <rosemarytrail/control/partition_holder.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::control {

namespace {

/** Decisions taken in one tick. */
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
            scheduler_->skip_task({.job = id, .index = index});
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
        vm, ports_.workers, ports_.clock, options_.spans,
        [this, vm](const worker_answer& answer, time_point now) {
            on_answer(vm, answer, now);
        });
    held.link->set_epoch(ports_.state.vm_epoch(vm));
}

void partition_holder::update_vm(const platform::vm_entry& entry)
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
        scheduler_->skip_task({.job = job.job, .index = index});
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
    if (held.link->lapsed(now)) {
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
    std::vector<task_ref> gone;
    for (const auto& [task, it] : tasks_) {
        if (it.vm == held.link->vm()) {
            gone.push_back(task);
        }
    }
    for (const auto& it : gone) {
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

void partition_holder::record_settled(time_point now)
{
    if (options_.first || settled_recorded_ || !settled(now)) {
        return;
    }
    reason why;
    settled_recorded_ = ports_.writer.push(
        state::partition_settled{.partition = options_.partition,
                                 .epoch = options_.epoch},
        [](const write_outcome&) {}, why);
}

void partition_holder::carry_out(const placement::decision& it, time_point now)
{
    switch (it.kind) {
    case placement::decision_kind::start:
        send_start(it, now);
        break;
    case placement::decision_kind::checkpoint:
        ports_.task_ends.add(it.code);
        send_end(it.task, platform::command_kind::checkpoint);
        break;
    case placement::decision_kind::stop:
        ports_.task_ends.add(it.code);
        send_end(it.task, platform::command_kind::stop);
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
    vm->second.link->enqueue({.kind = platform::command_kind::start,
                              .task = it.task,
                              .attempt = it.attempt,
                              .request = it.request,
                              .run_time = job->spec.run_time,
                              .service = job->spec.service});
}

void partition_holder::send_end(const task_ref& task,
                                platform::command_kind kind)
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
    std::weak_ptr<bool> alive = alive_;
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

bool partition_holder::is_over(const task_ref& task) const
{
    const auto* job = ports_.state.find_job(task.job);
    return job == nullptr || job->phase != state::job_phase::accepted ||
           job->partition != options_.partition ||
           job->finished.contains(task.index) || !jobs_.contains(task.job);
}

void partition_holder::on_answer(const vm_id& vm, const worker_answer& answer,
                                 time_point now)
{
    const auto it = vms_.find(vm);
    if (it == vms_.end()) {
        return;
    }
    it->second.busy_slots = answer.outcome.busy_slots;
    proof_.fenced(vm);
    for (std::size_t n = 0; n < answer.commands.size(); ++n) {
        const auto code = n < answer.outcome.commands.size()
                              ? answer.outcome.commands[n].code
                              : result_code::worker_answer_malformed;
        on_command(answer.commands[n], code, now);
    }
    for (const auto& report : answer.outcome.tasks) {
        on_report(vm, report, now);
    }
    on_missing(vm, answer, now);
}

void partition_holder::on_command(const platform::worker_command& command,
                                  result_code code, time_point now)
{
    if (command.kind != platform::command_kind::start) {
        return;
    }
    const auto it = tasks_.find(command.task);
    if (it == tasks_.end() || it->second.attempt != command.attempt) {
        return;
    }
    if (code != result_code::ok) {
        ports_.task_ends.add(code);
        release(command.task, placement::task_end::refused, now);
        return;
    }
    ports_.starts.add();
    it->second.confirmed = true;
    if (it->second.phase == stage::starting) {
        it->second.phase = stage::running;
        scheduler_->task_started(command.task, now);
    }
}

void partition_holder::on_report(const vm_id& vm,
                                 const platform::task_report& report,
                                 time_point now)
{
    if (report.phase == platform::task_phase::running) {
        on_running(vm, report, now);
        return;
    }
    on_ended(vm, report, now);
}

void partition_holder::on_running(const vm_id& vm,
                                  const platform::task_report& report,
                                  time_point now)
{
    const auto it = tasks_.find(report.task);
    if (it != tasks_.end() && it->second.vm == vm) {
        return;
    }
    const bool elsewhere = it != tasks_.end();
    if (elsewhere || is_over(report.task)) {
        vms_[vm].link->enqueue({.kind = platform::command_kind::stop,
                                .task = report.task,
                                .attempt = report.attempt});
        return;
    }
    tasks_[report.task] = {.vm = vm,
                           .attempt = report.attempt,
                           .phase = stage::running,
                           .confirmed = true};
    scheduler_->adopt_task(report.task, report.attempt, vm, now - report.age);
}

void partition_holder::on_ended(const vm_id& vm,
                                const platform::task_report& report,
                                time_point now)
{
    const auto it = tasks_.find(report.task);
    const bool ours = it != tasks_.end() && it->second.vm == vm &&
                      it->second.attempt == report.attempt;
    if (report.phase == platform::task_phase::succeeded &&
        !is_over(report.task)) {
        record_success(vm, report);
        if (ours) {
            release(report.task, placement::task_end::succeeded, now);
        } else if (it == tasks_.end()) {
            // It ran under a former holder, and must not start again.
            scheduler_->skip_task(report.task);
        }
        return;
    }
    acknowledge(vm, report.task, report.attempt);
    if (!ours) {
        return;
    }
    switch (report.phase) {
    case platform::task_phase::failed:
        ports_.task_ends.add(result_code::task_failed);
        release(report.task, placement::task_end::failed, now);
        break;
    case platform::task_phase::lapsed:
        ports_.task_ends.add(result_code::task_lease_lapsed);
        release(report.task, placement::task_end::lost, now);
        break;
    case platform::task_phase::succeeded:
        release(report.task, placement::task_end::succeeded, now);
        break;
    default:
        release(report.task, placement::task_end::evicted, now);
        break;
    }
}

void partition_holder::on_missing(const vm_id& vm, const worker_answer& answer,
                                  time_point now)
{
    std::set<task_ref> reported;
    for (const auto& it : answer.outcome.tasks) {
        reported.insert(it.task);
    }
    std::vector<task_ref> lost;
    for (const auto& [task, it] : tasks_) {
        const bool here = it.vm == vm && it.confirmed;
        if (here && !reported.contains(task)) {
            lost.push_back(task);
        }
    }
    for (const auto& it : lost) {
        ports_.task_ends.add(result_code::vm_lost);
        release(it, placement::task_end::lost, now);
    }
}

void partition_holder::release(const task_ref& task, placement::task_end end,
                               time_point now)
{
    tasks_.erase(task);
    scheduler_->task_ended(task, end, now);
}

void partition_holder::acknowledge(const vm_id& vm, const task_ref& task,
                                   std::uint32_t attempt)
{
    const auto it = vms_.find(vm);
    if (it != vms_.end()) {
        it->second.link->enqueue({.kind = platform::command_kind::acknowledge,
                                  .task = task,
                                  .attempt = attempt});
    }
}

void partition_holder::record_success(const vm_id& vm,
                                      const platform::task_report& report)
{
    if (!recording_.insert(report.task).second) {
        return;
    }
    finished_.push_back({.vm = vm,
                         .record = {.task = report.task,
                                    .attempt = report.attempt,
                                    .code = result_code::ok}});
}

void partition_holder::flush_finished()
{
    if (finished_.empty()) {
        return;
    }
    state::tasks_finished record{.partition = options_.partition,
                                 .epoch = options_.epoch};
    for (const auto& it : finished_) {
        record.tasks.push_back(it.record);
    }
    std::weak_ptr<bool> alive = alive_;
    reason why;
    const bool queued = ports_.writer.push(
        std::move(record),
        [this, alive, done = finished_](const write_outcome& outcome) {
            if (alive.expired() || !outcome.verdict ||
                outcome.verdict->code == result_code::record_void_epoch) {
                return;
            }
            for (const auto& it : done) {
                recording_.erase(it.record.task);
                acknowledge(it.vm, it.record.task, it.record.attempt);
            }
        },
        why);
    if (queued) {
        finished_.clear();
    }
}

resources partition_holder::used_by(const team_id& team) const
{
    return scheduler_->used_by(team);
}

resources partition_holder::queued_by(const team_id& team) const
{
    return scheduler_->queued_by(team);
}

std::vector<vm_id> partition_holder::idle_vms(time_point now) const
{
    std::vector<vm_id> out;
    for (const auto& [vm, held] : vms_) {
        const bool usable = held.listed && !held.withheld &&
                            !held.entry.leaving && held.link->reachable(now);
        const bool used = std::any_of(
            tasks_.begin(), tasks_.end(),
            [&vm = vm](const auto& it) { return it.second.vm == vm; });
        if (usable && !used && held.link->waiting() == 0 &&
            scheduler_->committed_on(vm).is_zero()) {
            out.push_back(vm);
        }
    }
    return out;
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

resources partition_holder::lacking_for_gangs(const resources& capacity) const
{
    resources out{};
    for (const auto& [id, since] : jobs_) {
        const auto* job = ports_.state.find_job(id);
        if (job == nullptr || job->spec.policy != job_class::gang || runs(id)) {
            continue;
        }
        const auto need = job->spec.request * job->spec.tasks;
        const auto more = need - capacity;
        out = {std::max(out.millicores, more.millicores),
               std::max(out.memory_mib, more.memory_mib),
               std::max(out.accelerators, more.accelerators)};
    }
    return out;
}

bool partition_holder::runs(const job_id& job) const
{
    return std::any_of(tasks_.begin(), tasks_.end(),
                       [&](const auto& it) { return it.first.job == job; });
}

partition_summary partition_holder::summary(time_point now) const
{
    partition_summary out{.partition = options_.partition,
                          .epoch = options_.epoch,
                          .settled = settled(now)};
    for (const auto& [vm, held] : vms_) {
        if (!held.listed || held.entry.leaving || !held.link->reachable(now)) {
            continue;
        }
        const auto room = held.capacity - scheduler_->committed_on(vm);
        out.free += room;
        out.capacity += held.capacity;
        if (room.millicores > out.largest_room.millicores) {
            out.largest_room = room;
        }
        ++out.vms;
    }
    out.lacking = lacking_for_gangs(out.capacity);
    for (const auto& team : teams_) {
        team_usage usage{
            .team = team, .used = used_by(team), .queued = queued_by(team)};
        if (!usage.used.is_zero() || !usage.queued.is_zero()) {
            out.teams.push_back(std::move(usage));
        }
    }
    for (const auto& [task, it] : tasks_) {
        const auto* job = ports_.state.find_job(task.job);
        const auto vm = vms_.find(it.vm);
        if (job == nullptr || vm == vms_.end() || it.phase != stage::running) {
            continue;
        }
        ++out.running_tasks;
        if (job->spec.service.empty()) {
            continue;
        }
        const auto& held = vm->second;
        out.endpoints.push_back(
            {.service = job->spec.service,
             .upstream = {.vm = it.vm,
                          .zone = held.entry.zone,
                          .address = held.entry.service_address,
                          .slots = held.entry.slots,
                          .connections = held.entry.connections,
                          .busy_slots = held.busy_slots,
                          .leaving = held.entry.leaving || !held.listed}});
    }
    for (const auto& [id, since] : jobs_) {
        const auto* job = ports_.state.find_job(id);
        if (job != nullptr) {
            out.queued_tasks += job->spec.tasks - static_cast<std::uint32_t>(
                                                      job->finished.size());
        }
    }
    out.queued_tasks -=
        std::min(out.queued_tasks, static_cast<std::uint32_t>(tasks_.size()));
    return out;
}

job_status partition_holder::status(const state::job_state& job,
                                    time_point now) const
{
    job_status out{.job = job.job};
    out.from_holder = true;
    for (const auto& [task, it] : tasks_) {
        if (task.job == job.job && it.phase != stage::starting) {
            ++out.running;
            out.vms.push_back(it.vm);
        }
    }
    const auto over = static_cast<std::uint32_t>(job.finished.size());
    out.queued = job.spec.tasks - std::min(job.spec.tasks, over + out.running);
    if (const auto wait = scheduler_->explain(job.job, now)) {
        out.waits_for = wait->code;
        out.wait_detail = wait->detail;
        out.waits_since = now - wait->since;
    }
    return out;
}

} // namespace rosemarytrail::control
