#include <rosemarytrail/placement/internal/gang_drain.hpp>

#include <rosemarytrail/placement/internal/allowance.hpp>
#include <rosemarytrail/placement/internal/task_termination.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace rosemarytrail::placement::internal {

namespace {

/**
 * @brief How long a drain may be overdue before it is released and replanned.
 */
constexpr duration plan_slack = std::chrono::seconds{10};

[[nodiscard]] duration capacity_wait(const job_state& job, time_point now)
{
    const bool waits_for_capacity =
        job.wait_code == result_code::waiting_for_gang ||
        job.wait_code == result_code::waiting_for_room;
    return waits_for_capacity ? now - job.wait_since : duration::zero();
}

} // namespace

void gang_drain::propose(const context& c, index n, time_point now)
{
    const auto& job = c.tables.jobs[n];
    const bool must_wait = !job.spec.urgent && capacity_wait(job, now) <
                                                   c.options.reservation_delay;
    const bool is_better =
        proposed_ == no_index ||
        (job.spec.urgent && !c.tables.jobs[proposed_].spec.urgent);
    if (!must_wait && is_better) {
        proposed_ = n;
    }
}

void gang_drain::reserve(context& c, preemption_search& search,
                         drain_planner& planner, time_point now)
{
    const index n = std::exchange(proposed_, no_index);
    if (n == no_index) {
        return;
    }
    const auto& job = c.tables.jobs[n];
    const bool can_displace =
        job_ != no_index && job.spec.urgent && !c.tables.jobs[job_].spec.urgent;
    if (job_ != no_index && !can_displace) {
        return;
    }
    release(c);
    const auto plan = planner.plan(c, n, job.ready.size(), now);
    if (!plan) {
        return;
    }
    job_ = n;
    serial_ = job.serial;
    ready_at_ = plan->ready_at;
    reservation_count_ = plan->reservations.size();
    reserved_ = start_demand(job);
    c.tables.teams[job.team].reserved += reserved_;
    for (auto it : plan->reservations) {
        it.until = ready_at_ + plan_slack;
        c.reservations.add(it);
    }
    if (job.spec.urgent) {
        preempt(c, search, now);
    }
}

void gang_drain::release_if_stale(context& c, time_point now)
{
    if (job_ == no_index) {
        return;
    }
    const auto& job = c.tables.jobs[job_];
    const bool is_current = job.serial == serial_ &&
                            job.phase == job_phase::live && job.is_queued &&
                            job.ready.size() == job.unended();
    const bool is_overdue = now > ready_at_ + plan_slack;
    const bool is_complete =
        is_current && c.reservations.count(job_) == reservation_count_;
    if (!is_complete || is_overdue) {
        release(c);
    } else if (now > ready_at_) {
        stop_backfill(c);
    }
}

void gang_drain::release(context& c)
{
    if (job_ == no_index) {
        return;
    }
    c.reservations.release(job_);
    // The index of the job may have been reused, so its team is not known
    // and the reserved allowance of all teams is reset.
    for (index it = 0; it < c.tables.teams.size(); ++it) {
        c.tables.teams[it].reserved = {};
    }
    job_ = no_index;
    reserved_ = {};
    c.tables.capacity_changed();
}

resources gang_drain::reserved_for(const context& c, index job) const
{
    return is_reserved_for(c, job) ? reserved_ : resources{};
}

bool gang_drain::is_reserved_for(const context& c, index job) const
{
    return job == job_ && c.tables.jobs[job].serial == serial_;
}

index gang_drain::backfill(const context& c, index n, time_point now) const
{
    const auto& job = c.tables.jobs[n];
    const auto run_time = c.history.estimate(job);
    const bool can_backfill = job_ != no_index && !job.spec.urgent &&
                              job.spec.policy == job_class::batch &&
                              run_time > duration::zero() &&
                              now + run_time <= ready_at_;
    if (!can_backfill) {
        return no_index;
    }
    for (const auto& it : c.reservations.all()) {
        const auto available = c.tables.vms.available()[it.vm];
        const bool is_open = it.job == job_ && c.tables.vms.is_open(it.vm);
        if (is_open && job.spec.request.fits_in(available + it.amount)) {
            return it.vm;
        }
    }
    return no_index;
}

void gang_drain::preempt(context& c, preemption_search& search,
                         time_point now) const
{
    for (const auto& it : c.reservations.all()) {
        if (it.job != job_) {
            continue;
        }
        const auto needed = resources{} - c.tables.vms.available()[it.vm];
        const auto plan = search.find_on(c, job_, it.vm, needed, now);
        if (plan) {
            for (const auto& task : plan->victims) {
                stop_task(c, task, result_code::preempted);
            }
        }
    }
}

void gang_drain::stop_backfill(context& c) const
{
    for (const auto& it : c.reservations.all()) {
        const auto tasks = c.tables.vms[it.vm].tasks;
        for (const auto& task : tasks) {
            if (it.job == job_ && c.tables.task(task).backfilled) {
                stop_task(c, task, result_code::preempted);
            }
        }
    }
}

} // namespace rosemarytrail::placement::internal
