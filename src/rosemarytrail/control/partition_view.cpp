#include <rosemarytrail/control/partition_holder.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::control {

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

resources partition_holder::gang_shortfall(const resources& capacity) const
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
    out.lacking = gang_shortfall(out.capacity);
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
