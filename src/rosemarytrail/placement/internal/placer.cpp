#include <rosemarytrail/placement/internal/placer.hpp>

#include <rosemarytrail/placement/internal/allowance.hpp>
#include <rosemarytrail/placement/internal/placement_policy.hpp>
#include <rosemarytrail/placement/internal/task_termination.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <queue>
#include <utility>

namespace rosemarytrail::placement::internal {

namespace {

/**
 * @brief Maximum number of blocked jobs of a team that are skipped per attempt.
 */
constexpr std::size_t max_blocked_per_team = 256;
/**
 * @brief Maximum number of blocked jobs that are skipped per run, in all teams.
 */
constexpr std::size_t max_blocked_per_run = 16384;
/** @brief Maximum number of failed searches over all VMs per run. */
constexpr std::size_t max_failed_searches = 64;
constexpr std::size_t max_preemptions = 4;
/** @brief Minimum interval between searches for the same gang. */
constexpr duration gang_search_period = std::chrono::milliseconds{100};
/**
 * @brief How long capacity freed by preemption is reserved for an urgent task.
 */
constexpr duration urgent_reservation_time = std::chrono::seconds{5};
/** @brief How long a reservation outlives the expected end of its drain. */
constexpr duration reservation_slack = std::chrono::seconds{5};
/** @brief Accepting VMs per reservation; bounds the number of reservations. */
constexpr std::size_t vms_per_reservation = 8;

struct team_turn
{
    double share{};
    index team{no_index};

    // NOLINTBEGIN(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const team_turn&,
                                          const team_turn&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

using team_order =
    std::priority_queue<team_turn, std::vector<team_turn>, std::greater<>>;

[[nodiscard]] team_order order_teams(const context& c, bool urgent)
{
    std::vector<team_turn> turns;
    for (index it = 0; it < c.tables.teams.size(); ++it) {
        const auto& team = c.tables.teams[it];
        const auto& queue = urgent ? team.urgent : team.normal;
        const bool has_changed =
            queue.is_dirty || queue.blocked_at != c.tables.capacity_version();
        if (!queue.jobs.empty() && has_changed) {
            turns.push_back({.share = team.share, .team = it});
        }
    }
    return team_order{std::greater<>{}, std::move(turns)};
}

[[nodiscard]] std::size_t concurrent_tasks(const job_state& job) noexcept
{
    return job.spec.policy == job_class::gang ? job.ready.size() : 1;
}

} // namespace

void placer::run(context& c, time_point now, std::size_t max_decisions)
{
    searches_left_ = max_failed_searches;
    preemptions_left_ = max_preemptions;
    blocked_left_ = max_blocked_per_run;
    is_truncated_ = false;
    capacity_bounds_.sync(c.tables.capacity_version());
    drain_.release_if_stale(c, now);
    run_queues(c, true, now, max_decisions);
    run_queues(c, false, now, max_decisions);
    drain_.reserve(c, preemption_, planner_, now);
    reserve_proposed(c, now);
}

void placer::run_queues(context& c, bool urgent, time_point now,
                        std::size_t max_decisions)
{
    auto order = order_teams(c, urgent);
    while (!order.empty() && c.decisions.size() < max_decisions) {
        const index n = order.top().team;
        order.pop();
        is_truncated_ = false;
        if (place_one(c, c.tables.teams[n].queue(urgent), now)) {
            order.push({.share = c.tables.teams[n].share, .team = n});
            continue;
        }
        auto& queue = c.tables.teams[n].queue(urgent);
        queue.is_dirty = is_truncated_;
        queue.blocked_at = c.tables.capacity_version();
    }
}

bool placer::place_one(context& c, team_queue& queue, time_point now)
{
    std::size_t blocked = 0;
    for (const auto& it : queue.jobs) {
        if (try_job(c, it.job, now)) {
            return true;
        }
        if (++blocked >= max_blocked_per_team) {
            break;
        }
        if (blocked_left_ == 0) {
            is_truncated_ = true;
            break;
        }
        --blocked_left_;
    }
    return false;
}

bool placer::try_job(context& c, index n, time_point now)
{
    const auto code = check(c, n);
    if (code != result_code::ok) {
        c.tables.set_wait(n, code, now);
        return false;
    }
    if (try_start(c, n, now)) {
        return true;
    }
    handle_no_capacity(c, n, now);
    return false;
}

result_code placer::check(context& c, index n)
{
    const auto& job = c.tables.jobs[n];
    if (job.before_takeover && c.tables.vms.unfenced() > 0) {
        return result_code::waiting_for_fence;
    }
    const auto code =
        job.spec.policy == job_class::gang ? check_gang(c, n) : result_code::ok;
    if (code != result_code::ok) {
        return code;
    }
    return check_allowance(c.tables, n, drain_.reserved_for(c, n));
}

result_code placer::check_gang(context& c, index n)
{
    const auto& job = c.tables.jobs[n];
    if (job.committed > 0) {
        return result_code::waiting_for_gang;
    }
    return job.retrying > 0 ? result_code::waiting_for_retry : result_code::ok;
}

bool placer::try_start(context& c, index n, time_point now)
{
    const auto& job = c.tables.jobs[n];
    if (c.reservations.count(n) > 0) {
        const reservation_table::suspension suspended{c.reservations, n};
        if (!policy_for(job.spec.policy)
                 .choose(c.tables.vms, job, now, chosen_)) {
            return false;
        }
    } else if (!search(c, n, now)) {
        return try_backfill(c, n, now);
    }
    const auto chosen = std::exchange(chosen_, {});
    if (job.spec.policy == job_class::gang) {
        drain_.is_reserved_for(c, n) ? drain_.release(c)
                                     : c.reservations.release(n);
    }
    for (const index it : chosen) {
        start(c, n, it, now);
    }
    return true;
}

bool placer::search(context& c, index n, time_point now)
{
    auto& job = c.tables.jobs[n];
    const auto tasks = concurrent_tasks(job);
    if (capacity_bounds_.blocks(job.spec.request, tasks)) {
        return false;
    }
    const bool is_gang = job.spec.policy == job_class::gang;
    if (searches_left_ == 0 || (is_gang && now < job.next_search)) {
        is_truncated_ = true;
        return false;
    }
    if (policy_for(job.spec.policy).choose(c.tables.vms, job, now, chosen_)) {
        return true;
    }
    --searches_left_;
    job.next_search = now + gang_search_period;
    if (job.avoided.empty()) {
        capacity_bounds_.add(job.spec.request, tasks);
    }
    return false;
}

bool placer::try_backfill(context& c, index n, time_point now)
{
    const index vm = drain_.backfill(c, n, now);
    if (vm == no_index || is_avoided(c.tables.jobs[n], vm)) {
        return false;
    }
    const task_key task{.job = n, .task = c.tables.jobs[n].ready.back()};
    start(c, n, vm, now);
    c.tables.task(task).backfilled = true;
    return true;
}

void placer::handle_no_capacity(context& c, index n, time_point now)
{
    const auto& job = c.tables.jobs[n];
    const bool is_gang = job.spec.policy == job_class::gang;
    c.tables.set_wait(n,
                      is_gang ? result_code::waiting_for_gang
                              : result_code::waiting_for_room,
                      now);
    if (is_gang && !drain_.is_reserved_for(c, n)) {
        drain_.propose(c, n, now);
    } else if (!is_gang && job.spec.urgent) {
        preempt_for(c, n, now);
    } else if (!is_gang) {
        propose_reservation(c, n, now);
    }
}

void placer::preempt_for(context& c, index n, time_point now)
{
    const auto& job = c.tables.jobs[n];
    while (c.reservations.count(n) < job.ready.size()) {
        if (preemptions_left_ == 0) {
            is_truncated_ = true;
            return;
        }
        --preemptions_left_;
        const auto plan = preemption_.find(c, n, now);
        if (!plan) {
            is_truncated_ = true;
            return;
        }
        for (const auto& it : plan->victims) {
            stop_task(c, it, result_code::preempted);
        }
        c.reservations.add({.job = n,
                            .vm = plan->vm,
                            .amount = job.spec.request,
                            .until = now + urgent_reservation_time});
    }
}

void placer::propose_reservation(const context& c, index n, time_point now)
{
    // Teams are tried in ascending order of share, so the first job proposed
    // belongs to the blocked team with the lowest share.
    const auto& job = c.tables.jobs[n];
    const bool has_waited = now - job.wait_since >= c.options.reservation_delay;
    if (proposed_ == no_index && has_waited && c.reservations.count(n) == 0) {
        proposed_ = n;
    }
}

void placer::reserve_proposed(context& c, time_point now)
{
    const index n = std::exchange(proposed_, no_index);
    const auto max_reservations =
        c.tables.vms.accepting() / vms_per_reservation;
    if (n == no_index || c.reservations.size() >= max_reservations) {
        return;
    }
    const auto plan = planner_.plan(c, n, 1, now);
    if (!plan) {
        return;
    }
    for (auto it : plan->reservations) {
        it.until = plan->ready_at + reservation_slack;
        c.reservations.add(it);
    }
}

void placer::start(context& c, index n, index vm, time_point now)
{
    auto& job = c.tables.jobs[n];
    const task_key task{.job = n, .task = job.ready.back()};
    job.wait_code = result_code::waiting_for_turn;
    job.wait_since = now;
    c.tables.commit(task, vm, now);
    c.decisions.push(task, {.kind = decision_kind::start,
                            .task = c.tables.ref(task),
                            .attempt = c.tables.task(task).attempt,
                            .vm = c.tables.vms[vm].view.vm,
                            .request = job.spec.request,
                            .code = result_code::ok});
    if (c.reservations.count(n) == 0) {
        return;
    }
    c.reservations.release_one(n, vm);
    if (job.ready.empty()) {
        c.reservations.release(n);
        c.tables.capacity_changed();
    }
}

} // namespace rosemarytrail::placement::internal
