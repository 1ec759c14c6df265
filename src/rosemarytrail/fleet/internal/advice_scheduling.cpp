#include <rosemarytrail/fleet/advice_pool.hpp>
#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace rosemarytrail::fleet {

// The leader assigns slow requests: it tracks the progress of preceding steps
// and the available capacity, so that the few requests that the nodes can send
// per second go to steps that can use the response.

void dispatcher::state::close_request(tracked_step& step)
{
    if (!step.assigned_node.empty()) {
        auto& open = open_requests[step.assigned_node];
        open.requests -= open.requests > 0 ? 1 : 0;
        open.cost = std::max(open.cost - step.request_cost, duration{});
        step.assigned_node.clear();
    }
    step.request_deadline = {};
    step.requested_workers.clear();
}

// The search starts at a different node after each request, so that nodes with
// equal backlogs take turns.
const std::string* dispatcher::state::least_loaded(
    std::span<const std::string> nodes,
    const std::function<bool(const node_backlog&)>& is_full, time_point now)
{
    const std::string* best = nullptr;
    std::pair<time_point, duration> best_rank;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const auto& it = nodes[(opened_requests + i) % nodes.size()];
        const auto& open = open_requests[it];
        const std::pair rank{std::max(open.distrusted_until, now), open.cost};
        if (!is_full(open) && (best == nullptr || rank < best_rank)) {
            best = &it;
            best_rank = rank;
        }
    }
    return best;
}

// An idle node is the least loaded one, so without this a node that does not
// send its requests would be chosen each time.
void dispatcher::state::lose_request(tracked_step& step, time_point now)
{
    auto& open = open_requests[step.assigned_node];
    open.distrust = std::clamp(open.distrust * 2, options.node_distrust,
                               options.max_node_distrust);
    open.distrusted_until = now + open.distrust;
    close_request(step);
}

void dispatcher::state::open_request(tracked_step& step,
                                     const std::string& node, time_point now)
{
    auto requested_workers = select_candidates(step, now);
    if (requested_workers.empty()) {
        // All candidates were refused or are no longer listed: the refusals are
        // cleared and the step is tried again.
        if (now < step.next_refused_retry) {
            return;
        }
        schedule_refused_retry(step, now);
        step.refused.clear();
        requested_workers = select_candidates(step, now);
        if (requested_workers.empty()) {
            return;
        }
    }
    const auto cost =
        advice_cost(*step.job->record.queue.advice, requested_workers.size());
    step.requested_workers = {requested_workers.begin(),
                              requested_workers.end()};
    auto& open = open_requests[node];
    ++open.requests;
    open.cost += cost;
    ++opened_requests;
    step.assigned_node = node;
    step.request_cost = cost;
    step.request_deadline = now + open.cost + options.advice_slack;
    advice_assignments.push_back(
        {.member = node,
         .request = {.step = step.key,
                     .workers = std::move(requested_workers),
                     .expected = cost}});
}

bool dispatcher::state::nearly_ready(const tracked_step& step, duration horizon,
                                     time_point now) const
{
    const auto& job = *step.job;
    const auto& steps =
        job.occurrences[step.key.occurrence - job.first_occurrence];
    for (const auto n : step.spec->depends_on) {
        const auto& before = steps[n];
        if (before.waiting > 0) {
            return false;
        }
        const duration estimate =
            std::chrono::milliseconds{before.spec->estimate_ms};
        for (const auto& task : before.tasks) {
            if (task.phase == task_phase::done) {
                continue;
            }
            if (task.phase != task_phase::running) {
                return false;
            }
            // From this progress on, the projection is more accurate than the
            // declared duration.
            constexpr int min_percent = 20;
            const auto passed = now - task.since;
            const auto left = task.percent >= min_percent
                                  ? passed * (100 - task.percent) / task.percent
                                  : estimate - passed;
            if (left > horizon) {
                return false;
            }
        }
    }
    return true;
}

bool dispatcher::state::wants_advice(tracked_step& step, std::size_t position,
                                     time_point now)
{
    const auto& policy = *step.job->record.queue.advice;
    if (step.tickets.empty()) {
        return true;
    }
    const auto cost = advice_cost(policy, step.tickets.size());
    if (step.tickets_until - cost > now) {
        if (!step.ready || now < step.next_widening) {
            return false;
        }
        step.next_widening = now + options.widen_interval;
        return has_more_candidates(step, now);
    }
    if (position < options.always_renewed_steps) {
        retry_refused(step, now);
        return true;
    }
    return can_use_advice(step, now);
}

// Workers without a ticket count too: those with one may stay full for as long
// as the step runs, such as those that have reached its tasks_per_vm.
bool dispatcher::state::can_use_advice(tracked_step& step, time_point now)
{
    if (!within_limit(*step.job, step.spec->demand)) {
        return false;
    }
    if (has_capacity(step, now)) {
        return true;
    }
    if (now < step.next_widening || candidate_checks_left == 0) {
        return false;
    }
    --candidate_checks_left;
    step.next_widening = now + options.expired_widen_interval;
    return has_more_candidates(step, now) || retry_refused(step, now);
}

// A step that is granted nothing new asks less and less often, so that such
// steps leave the nodes to others.
void dispatcher::state::schedule_refused_retry(tracked_step& step,
                                               time_point now) const
{
    step.refused_retry =
        std::clamp(step.refused_retry * 2, options.refused_retry_interval,
                   options.max_refused_retry_interval);
    step.next_refused_retry = now + step.refused_retry;
}

// A worker may be missing in an answer because it was away, or because the
// answer belongs to an earlier request, so no worker counts as refused for
// good.
bool dispatcher::state::retry_refused(tracked_step& step, time_point now)
{
    if (step.refused.empty() || now < step.next_refused_retry) {
        return false;
    }
    schedule_refused_retry(step, now);
    if (has_capacity(step, now) || has_more_candidates(step, now)) {
        return false;
    }
    step.refused.clear();
    return has_more_candidates(step, now);
}

bool dispatcher::state::has_capacity(tracked_step& step, time_point now)
{
    return std::ranges::any_of(
        allowed_workers(step),
        [&](const tracked_worker* it) { return can_accept(*it, step, now); });
}

duration dispatcher::state::typical_cost(const advice_policy& policy) const
{
    return advice_cost(policy,
                       std::min(workers.size(), max_workers_per_request));
}

// Reserves nodes for fast requests, more of them as their backlog grows: fast
// requests serve far more jobs per unit of time than slow ones.
std::vector<std::string> dispatcher::state::slow_nodes(duration fast_backlog,
                                                       time_point now) const
{
    const auto is_trusted = [&](const std::string& member) {
        const auto open = open_requests.find(member);
        return open == open_requests.end() ||
               open->second.distrusted_until <= now;
    };
    return slow_advice_pool(members, is_trusted,
                            {.slow_share = options.slow_advice_share,
                             .fast_share = options.min_fast_advice_share,
                             .needed_for_fast = static_cast<std::size_t>(
                                 fast_backlog / options.max_fast_advice_wait)});
}

// A single pass finds all steps that may need advice, since a backlog may hold
// thousands of waiting steps.
void dispatcher::state::plan_advice(time_point now)
{
    if (members.empty() ||
        now - last_advice_scan < options.advice_scan_interval) {
        return;
    }
    last_advice_scan = now;
    candidate_checks_left = options.candidate_checks_per_scan;
    advice_scan scan;
    for (auto& [id, job] : jobs) {
        if (job->record.queue.advice) {
            job->each_step(
                [&](tracked_step& it) { scan_for_advice(it, scan, now); });
        }
    }
    request_fast_advice(order_for_advice(std::move(scan.fast)), now);
    request_slow_advice(order_for_advice(std::move(scan.slow)),
                        slow_nodes(scan.fast_backlog, now), now);
}

void dispatcher::state::scan_for_advice(tracked_step& step, advice_scan& scan,
                                        time_point now)
{
    const auto& policy = *step.job->record.queue.advice;
    const bool is_slow = policy.base_ms > options.slow_advice_ms;
    close_if_stale(step, now);
    if (step.waiting == 0 || step.job->ended()) {
        return;
    }
    const bool expired = !is_slow && step.ready && step.tickets_until <= now;
    const bool wanted =
        is_slow ? wants_slow_advice(step, now) : wants_fast_advice(step, now);
    if (!(expired || wanted) || !suits_a_worker(step)) {
        return;
    }
    const bool startable = may_start(step);
    if (expired && startable) {
        scan.fast_backlog += typical_cost(policy);
    }
    if (wanted) {
        auto& to = is_slow ? scan.slow : scan.fast;
        (startable ? to.startable : to.blocked)
            .push_back({.rank = internal::rank_of(step), .step = &step});
    }
}

// An account at its limit may have any number of steps that wait for it. Some
// of them get advice, so that they start as soon as others end.
std::vector<internal::ranked_step>
dispatcher::state::order_for_advice(advice_candidates steps) const
{
    std::ranges::sort(steps.startable, internal::served_before);
    std::ranges::sort(steps.blocked, internal::served_before);
    std::map<const internal::account_usage*, std::size_t> by_account;
    for (const auto& it : steps.blocked) {
        if (++by_account[it.step->job->account] <=
            options.advised_steps_at_limit) {
            steps.startable.push_back(it);
        }
    }
    return std::move(steps.startable);
}

void dispatcher::state::close_if_stale(tracked_step& step, time_point now)
{
    if (step.assigned_node.empty()) {
        return;
    }
    if (step.job->ended() ||
        std::ranges::find(members, step.assigned_node) == members.end()) {
        close_request(step);
    } else if (step.request_deadline < now) {
        lose_request(step, now);
    }
}

// The accepting node sends the requests for the first steps of a job. The
// leader assigns those that the node has not sent in time, requests for later
// steps while the preceding steps run, and renewals.
bool dispatcher::state::wants_fast_advice(const tracked_step& step,
                                          time_point now) const
{
    if (!step.assigned_node.empty()) {
        return false;
    }
    const auto& policy = step.job->record.queue.advice;
    const auto cost = advice_cost(*policy, options.min_requested_workers);
    if (!step.tickets.empty()) {
        return step.ready &&
               step.tickets_until - cost - options.renewal_margin <= now;
    }
    if (step.spec->depends_on.empty()) {
        const auto since = std::max(step.ready_at, step.job->accepted);
        return step.ready && (step.job->record.acceptor.empty() ||
                              now - since > options.fast_advice_reassign_after);
    }
    if (step.ready) {
        return true;
    }
    // Tickets requested this early are still valid when the step becomes ready.
    const auto valid = std::chrono::milliseconds{policy->valid_ms};
    return step.key.occurrence == 0 && nearly_ready(step, valid / 2, now);
}

bool dispatcher::state::wants_slow_advice(const tracked_step& step,
                                          time_point now) const
{
    const auto horizon =
        typical_cost(*step.job->record.queue.advice) + options.advice_slack / 4;
    const bool nearly_due = step.job->record.spec.due(
        step.key.occurrence, last_plan_unix_ms + to_milliseconds(horizon));
    return step.ready || (nearly_due && nearly_ready(step, horizon, now));
}

void dispatcher::state::request_fast_advice(std::span<const ranked_step> order,
                                            time_point now)
{
    const auto is_full = [this](const node_backlog& open) {
        return open.cost > options.max_fast_work_per_node;
    };
    // A backlog may hold thousands of steps, so the node is chosen again only
    // after a request was assigned.
    const auto* node = least_loaded(members, is_full, now);
    std::size_t position = 0;
    for (const auto& it : order) {
        if (node == nullptr) {
            return;
        }
        // Under load, initial requests precede renewals that no worker has
        // capacity for.
        const bool renewal = !it.step->tickets.empty();
        if (position++ >= options.always_renewed_steps && renewal &&
            !can_use_advice(*it.step, now)) {
            continue;
        }
        open_request(*it.step, *node, now);
        node = least_loaded(members, is_full, now);
    }
}

void dispatcher::state::request_slow_advice(std::span<const ranked_step> order,
                                            std::span<const std::string> pool,
                                            time_point now)
{
    const auto is_full = [this](const node_backlog& open) {
        return open.requests >= options.slow_requests_per_node;
    };
    const auto* node = least_loaded(pool, is_full, now);
    std::size_t position = 0;
    for (const auto& it : order) {
        // A step is checked only if its request could be sent: the checks are
        // limited in number, and steps that rank lower would take the node.
        if (node == nullptr) {
            return;
        }
        const auto here = position++;
        if (it.step->assigned_node.empty() &&
            wants_advice(*it.step, here, now)) {
            open_request(*it.step, *node, now);
            node = least_loaded(pool, is_full, now);
        }
    }
}

void dispatcher::on_assignment_lost(const advice_assignment& assignment,
                                    time_point now)
{
    auto* step = state_->find_step(assignment.request.step);
    if (step != nullptr && step->assigned_node == assignment.member) {
        state_->lose_request(*step, now);
    }
}

void dispatcher::set_members(std::span<const std::string> members)
{
    state_->members.assign(members.begin(), members.end());
    std::erase_if(state_->open_requests, [&](const auto& it) {
        return std::ranges::find(state_->members, it.first) ==
               state_->members.end();
    });
}

} // namespace rosemarytrail::fleet
