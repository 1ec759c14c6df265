#include <rosemarytrail/placement/internal/placer.hpp>

#include <rosemarytrail/placement/internal/allowance.hpp>
#include <rosemarytrail/placement/internal/ending.hpp>
#include <rosemarytrail/placement/internal/placement_policy.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <queue>
#include <utility>

namespace rosemarytrail::placement::internal {

namespace {

/** @brief Blocked jobs of a team that are passed over for later ones. */
constexpr std::size_t look_ahead = 256;
/** @brief Blocked jobs that are passed over in one run, over all teams. */
constexpr std::size_t most_passed_over = 16384;
/** @brief Searches of all VMs that may fail in one run. */
constexpr std::size_t most_failed_searches = 64;
constexpr std::size_t most_preemptions = 4;
/** @brief A gang without room is not searched for again before. */
constexpr duration gang_search_period = std::chrono::milliseconds{100};
/** @brief Room made for an urgent task is kept for so long. */
constexpr duration urgent_hold = std::chrono::seconds{5};
/** @brief Room held for a large task is given back so long past its time. */
constexpr duration hold_slack = std::chrono::seconds{5};
/** @brief One task may hold room for each so many VMs. */
constexpr std::size_t vms_for_one_hold = 8;

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

[[nodiscard]] team_order teams_to_try(const context& c, bool urgent)
{
    std::vector<team_turn> turns;
    for (index it = 0; it < c.book.teams.size(); ++it) {
        const auto& team = c.book.teams[it];
        const auto& queue = urgent ? team.urgent : team.normal;
        const bool has_news =
            queue.is_dirty || queue.blocked_at != c.book.room_version();
        if (!queue.jobs.empty() && has_news) {
            turns.push_back({.share = team.share, .team = it});
        }
    }
    return team_order{std::greater<>{}, std::move(turns)};
}

[[nodiscard]] std::size_t tasks_at_once(const job_state& job) noexcept
{
    return job.spec.policy == job_class::gang ? job.ready.size() : 1;
}

} // namespace

void placer::run(context& c, time_point now, std::size_t most)
{
    searches_left_ = most_failed_searches;
    preemptions_left_ = most_preemptions;
    passes_left_ = most_passed_over;
    is_cut_short_ = false;
    frontier_.sync(c.book.room_version());
    drain_.release_if_stale(c, now);
    run_queues(c, true, now, most);
    run_queues(c, false, now, most);
    drain_.reserve(c, preemption_, planner_, now);
    hold_for_proposed(c, now);
}

void placer::run_queues(context& c, bool urgent, time_point now,
                        std::size_t most)
{
    auto order = teams_to_try(c, urgent);
    while (!order.empty() && c.out.size() < most) {
        const index n = order.top().team;
        order.pop();
        is_cut_short_ = false;
        if (place_one(c, c.book.teams[n].queue(urgent), now)) {
            order.push({.share = c.book.teams[n].share, .team = n});
            continue;
        }
        auto& queue = c.book.teams[n].queue(urgent);
        queue.is_dirty = is_cut_short_;
        queue.blocked_at = c.book.room_version();
    }
}

bool placer::place_one(context& c, team_queue& queue, time_point now)
{
    std::size_t blocked = 0;
    for (const auto& it : queue.jobs) {
        if (try_job(c, it.job, now)) {
            return true;
        }
        if (++blocked >= look_ahead) {
            break;
        }
        if (passes_left_ == 0) {
            is_cut_short_ = true;
            break;
        }
        --passes_left_;
    }
    return false;
}

bool placer::try_job(context& c, index n, time_point now)
{
    const auto code = check(c, n);
    if (code != result_code::ok) {
        c.book.set_wait(n, code, now);
        return false;
    }
    if (find_room(c, n, now)) {
        return true;
    }
    no_room(c, n, now);
    return false;
}

result_code placer::check(context& c, index n)
{
    const auto& job = c.book.jobs[n];
    if (job.before_takeover && c.book.vms.unfenced() > 0) {
        return result_code::waiting_for_fence;
    }
    const auto code =
        job.spec.policy == job_class::gang ? check_gang(c, n) : result_code::ok;
    if (code != result_code::ok) {
        return code;
    }
    return check_allowance(c.book, n, drain_.reserved_for(c, n));
}

result_code placer::check_gang(context& c, index n)
{
    const auto& job = c.book.jobs[n];
    if (job.committed > 0) {
        return result_code::waiting_for_gang;
    }
    return job.retrying > 0 ? result_code::waiting_for_retry : result_code::ok;
}

bool placer::find_room(context& c, index n, time_point now)
{
    const auto& job = c.book.jobs[n];
    if (c.holds.count(n) > 0) {
        const hold_table::suspension suspended{c.holds, n};
        if (!policy_for(job.spec.policy)
                 .choose(c.book.vms, job, now, chosen_)) {
            return false;
        }
    } else if (!search(c, n, now)) {
        return try_backfill(c, n, now);
    }
    const auto chosen = std::exchange(chosen_, {});
    if (job.spec.policy == job_class::gang) {
        drain_.is_held_by(c, n) ? drain_.release(c) : c.holds.release(n);
    }
    for (const index it : chosen) {
        start(c, n, it, now);
    }
    return true;
}

bool placer::search(context& c, index n, time_point now)
{
    auto& job = c.book.jobs[n];
    const auto tasks = tasks_at_once(job);
    if (frontier_.blocks(job.spec.request, tasks)) {
        return false;
    }
    const bool is_gang = job.spec.policy == job_class::gang;
    if (searches_left_ == 0 || (is_gang && now < job.next_search)) {
        is_cut_short_ = true;
        return false;
    }
    if (policy_for(job.spec.policy).choose(c.book.vms, job, now, chosen_)) {
        return true;
    }
    --searches_left_;
    job.next_search = now + gang_search_period;
    if (job.avoided.empty()) {
        frontier_.add(job.spec.request, tasks);
    }
    return false;
}

bool placer::try_backfill(context& c, index n, time_point now)
{
    const index vm = drain_.backfill(c, n, now);
    if (vm == no_index || is_avoided(c.book.jobs[n], vm)) {
        return false;
    }
    const task_key task{.job = n, .task = c.book.jobs[n].ready.back()};
    start(c, n, vm, now);
    c.book.task(task).backfilled = true;
    return true;
}

void placer::no_room(context& c, index n, time_point now)
{
    const auto& job = c.book.jobs[n];
    const bool is_gang = job.spec.policy == job_class::gang;
    c.book.set_wait(n,
                    is_gang ? result_code::waiting_for_gang
                            : result_code::waiting_for_room,
                    now);
    if (is_gang && !drain_.is_held_by(c, n)) {
        drain_.propose(c, n, now);
    } else if (!is_gang && job.spec.urgent) {
        preempt_for(c, n, now);
    } else if (!is_gang) {
        propose_hold(c, n, now);
    }
}

void placer::preempt_for(context& c, index n, time_point now)
{
    const auto& job = c.book.jobs[n];
    while (c.holds.count(n) < job.ready.size()) {
        if (preemptions_left_ == 0) {
            is_cut_short_ = true;
            return;
        }
        --preemptions_left_;
        const auto plan = preemption_.find(c, n, now);
        if (!plan) {
            is_cut_short_ = true;
            return;
        }
        for (const auto& it : plan->victims) {
            stop_task(c, it, result_code::preempted);
        }
        c.holds.add({.job = n,
                     .vm = plan->vm,
                     .amount = job.spec.request,
                     .until = now + urgent_hold});
    }
}

void placer::propose_hold(const context& c, index n, time_point now)
{
    // Teams are tried in order of their shares, so the first is the least.
    const auto& job = c.book.jobs[n];
    const bool has_waited = now - job.wait_since >= c.options.gang_patience;
    if (proposed_ == no_index && has_waited && c.holds.count(n) == 0) {
        proposed_ = n;
    }
}

void placer::hold_for_proposed(context& c, time_point now)
{
    const index n = std::exchange(proposed_, no_index);
    const auto most = c.book.vms.accepting() / vms_for_one_hold;
    if (n == no_index || c.holds.size() >= most) {
        return;
    }
    const auto plan = planner_.plan(c, n, 1, now);
    if (!plan) {
        return;
    }
    for (auto it : plan->holds) {
        it.until = plan->ready_at + hold_slack;
        c.holds.add(it);
    }
}

void placer::start(context& c, index n, index vm, time_point now)
{
    auto& job = c.book.jobs[n];
    const task_key task{.job = n, .task = job.ready.back()};
    job.wait_code = result_code::waiting_for_turn;
    job.wait_since = now;
    c.book.commit(task, vm, now);
    c.out.push(task, {.kind = decision_kind::start,
                      .task = c.book.ref(task),
                      .attempt = c.book.task(task).attempt,
                      .vm = c.book.vms[vm].view.vm,
                      .request = job.spec.request,
                      .code = result_code::ok});
    if (c.holds.count(n) == 0) {
        return;
    }
    c.holds.release_one(n, vm);
    if (job.ready.empty()) {
        c.holds.release(n);
        c.book.room_changed();
    }
}

} // namespace rosemarytrail::placement::internal
