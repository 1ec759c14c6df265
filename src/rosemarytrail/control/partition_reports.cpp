#include <rosemarytrail/control/partition_holder.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::control {

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

bool partition_holder::has_ended(const task_ref& task) const
{
    const auto* job = ports_.state.find_job(task.job);
    return job == nullptr || job->phase != state::job_phase::accepted ||
           job->partition != options_.partition ||
           job->finished.contains(task.index) || !jobs_.contains(task.job);
}

void partition_holder::on_response(const vm_id& vm,
                                   const worker_response& response,
                                   time_point now)
{
    const auto it = vms_.find(vm);
    if (it == vms_.end()) {
        return;
    }
    it->second.busy_slots = response.outcome.busy_slots;
    proof_.fenced(vm);
    for (std::size_t n = 0; n < response.commands.size(); ++n) {
        const auto code = n < response.outcome.commands.size()
                              ? response.outcome.commands[n].code
                              : result_code::worker_answer_malformed;
        on_command(response.commands[n], code, now);
    }
    for (const auto& report : response.outcome.tasks) {
        on_report(vm, report, now);
    }
    on_missing(vm, response, now);
}

void partition_holder::on_command(const backends::worker_command& command,
                                  result_code code, time_point now)
{
    if (command.kind != backends::command_kind::start) {
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
                                 const backends::task_report& report,
                                 time_point now)
{
    if (report.phase == backends::task_phase::running) {
        on_running(vm, report, now);
        return;
    }
    on_ended(vm, report, now);
}

void partition_holder::on_running(const vm_id& vm,
                                  const backends::task_report& report,
                                  time_point now)
{
    const auto it = tasks_.find(report.task);
    if (it != tasks_.end() && it->second.vm == vm) {
        return;
    }
    const bool elsewhere = it != tasks_.end();
    if (elsewhere || has_ended(report.task)) {
        vms_[vm].link->enqueue({.kind = backends::command_kind::stop,
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
                                const backends::task_report& report,
                                time_point now)
{
    const auto it = tasks_.find(report.task);
    const bool ours = it != tasks_.end() && it->second.vm == vm &&
                      it->second.attempt == report.attempt;
    if (report.phase == backends::task_phase::succeeded &&
        !has_ended(report.task)) {
        record_success(vm, report);
        if (ours) {
            release(report.task, placement::task_end::succeeded, now);
        } else if (it == tasks_.end()) {
            // The task ran under a previous holder and must not start again.
            scheduler_->mark_task_ended(report.task);
        }
        return;
    }
    acknowledge(vm, report.task, report.attempt);
    if (!ours) {
        return;
    }
    switch (report.phase) {
    case backends::task_phase::failed:
        ports_.task_ends.add(result_code::task_failed);
        release(report.task, placement::task_end::failed, now);
        break;
    case backends::task_phase::lapsed:
        ports_.task_ends.add(result_code::task_lease_lapsed);
        release(report.task, placement::task_end::lost, now);
        break;
    case backends::task_phase::succeeded:
        release(report.task, placement::task_end::succeeded, now);
        break;
    default:
        release(report.task, placement::task_end::evicted, now);
        break;
    }
}

void partition_holder::on_missing(const vm_id& vm,
                                  const worker_response& response,
                                  time_point now)
{
    std::set<task_ref> reported;
    for (const auto& it : response.outcome.tasks) {
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
        it->second.link->enqueue({.kind = backends::command_kind::acknowledge,
                                  .task = task,
                                  .attempt = attempt});
    }
}

void partition_holder::record_success(const vm_id& vm,
                                      const backends::task_report& report)
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
            if (alive.expired() || !outcome.result ||
                outcome.result->code == result_code::record_void_epoch) {
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

} // namespace rosemarytrail::control
