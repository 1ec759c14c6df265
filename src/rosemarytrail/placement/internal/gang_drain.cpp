#include <rosemarytrail/placement/internal/gang_drain.hpp>

#include <rosemarytrail/placement/internal/allowance.hpp>
#include <rosemarytrail/placement/internal/ending.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace rosemarytrail::placement::internal {

namespace {

/** @brief A plan that is so much overdue is made anew. */
constexpr duration plan_slack = std::chrono::seconds{10};

[[nodiscard]] duration waited(const job_state& job, time_point now)
{
    const bool waits_for_room =
        job.wait_code == result_code::waiting_for_gang ||
        job.wait_code == result_code::waiting_for_room;
    return waits_for_room ? now - job.wait_since : duration::zero();
}

} // namespace

void gang_drain::propose(const context& c, index n, time_point now)
{
    const auto& job = c.book.jobs[n];
    const bool is_patient =
        !job.spec.urgent && waited(job, now) < c.options.gang_patience;
    const bool is_better =
        proposed_ == no_index ||
        (job.spec.urgent && !c.book.jobs[proposed_].spec.urgent);
    if (!is_patient && is_better) {
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
    const auto& job = c.book.jobs[n];
    const bool may_displace =
        job_ != no_index && job.spec.urgent && !c.book.jobs[job_].spec.urgent;
    if (job_ != no_index && !may_displace) {
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
    holds_ = plan->holds.size();
    reserved_ = needed_at_once(job);
    c.book.teams[job.team].reserved += reserved_;
    for (auto it : plan->holds) {
        it.until = ready_at_ + plan_slack;
        c.holds.add(it);
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
    const auto& job = c.book.jobs[job_];
    const bool is_current = job.serial == serial_ &&
                            job.phase == job_phase::live && job.is_queued &&
                            job.ready.size() == job.unended();
    const bool is_overdue = now > ready_at_ + plan_slack;
    const bool is_whole = is_current && c.holds.count(job_) == holds_;
    if (!is_whole || is_overdue) {
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
    c.holds.release(job_);
    // The job's number may have been given to another by now.
    for (index it = 0; it < c.book.teams.size(); ++it) {
        c.book.teams[it].reserved = {};
    }
    job_ = no_index;
    reserved_ = {};
    c.book.room_changed();
}

resources gang_drain::reserved_for(const context& c, index job) const
{
    return is_held_by(c, job) ? reserved_ : resources{};
}

bool gang_drain::is_held_by(const context& c, index job) const
{
    return job == job_ && c.book.jobs[job].serial == serial_;
}

index gang_drain::backfill(const context& c, index n, time_point now) const
{
    const auto& job = c.book.jobs[n];
    const auto run_time = c.history.estimate(job);
    const bool may_fill = job_ != no_index && !job.spec.urgent &&
                          job.spec.policy == job_class::batch &&
                          run_time > duration::zero() &&
                          now + run_time <= ready_at_;
    if (!may_fill) {
        return no_index;
    }
    for (const auto& it : c.holds.all()) {
        const auto room = c.book.vms.room()[it.vm];
        const bool is_open = it.job == job_ && c.book.vms.is_open(it.vm);
        if (is_open && job.spec.request.fits_in(room + it.amount)) {
            return it.vm;
        }
    }
    return no_index;
}

void gang_drain::preempt(context& c, preemption_search& search,
                         time_point now) const
{
    for (const auto& it : c.holds.all()) {
        if (it.job != job_) {
            continue;
        }
        const auto needed = resources{} - c.book.vms.room()[it.vm];
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
    for (const auto& it : c.holds.all()) {
        const auto tasks = c.book.vms[it.vm].tasks;
        for (const auto& task : tasks) {
            if (it.job == job_ && c.book.task(task).backfilled) {
                stop_task(c, task, result_code::preempted);
            }
        }
    }
}

} // namespace rosemarytrail::placement::internal
