#include <rosemarytrail/placement/internal/preemption.hpp>

#include <rosemarytrail/placement/internal/placement_policy.hpp>
#include <rosemarytrail/placement/internal/task_termination.hpp>

#include <algorithm>
#include <chrono>
#include <tuple>

namespace rosemarytrail::placement::internal {

namespace {

constexpr std::size_t max_scanned_vms = 256;
/** @brief Cost of a checkpoint, in seconds of lost work. */
constexpr double checkpoint_cost = 1.0;
/** @brief Cost of a stop in addition to the lost work, in seconds. */
constexpr double stop_cost = 5.0;

struct victim
{
    task_key task{};
    double cost{};
};

[[nodiscard]] double cost_of(const job_state& job, const task_state& task,
                             time_point now)
{
    const std::chrono::duration<double> age = now - task.since;
    const double lost =
        job.spec.checkpointable ? checkpoint_cost : stop_cost + age.count();
    const double value = 1.0 + static_cast<double>(job.spec.priority);
    return lost * value * (1.0 + static_cast<double>(task.evictions));
}

/**
 * @return True if the task may be preempted for a team with the given share.
 */
[[nodiscard]] bool may_stop(const context& c, task_key task, index team,
                            double share)
{
    const auto& job = c.tables.jobs[task.job];
    const auto phase = c.tables.task(task).phase;
    const bool is_running =
        phase == task_phase::committed || phase == task_phase::running;
    const bool is_batch =
        job.spec.policy == job_class::batch && !job.spec.urgent;
    const bool is_over_share =
        job.team == team || c.tables.teams[job.team].share > share;
    return is_running && is_batch && is_over_share &&
           job.phase == job_phase::live;
}

[[nodiscard]] std::vector<victim>
victims_on(const context& c, index vm, index team, double share, time_point now)
{
    std::vector<victim> found;
    for (const auto& it : c.tables.vms[vm].tasks) {
        if (may_stop(c, it, team, share)) {
            const double cost =
                cost_of(c.tables.jobs[it.job], c.tables.task(it), now);
            found.push_back({.task = it, .cost = cost});
        }
    }
    std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
        return std::tie(a.cost, a.task) < std::tie(b.cost, b.task);
    });
    return found;
}

/** @brief Order in which the tasks of a team are shed; lowest first. */
struct shed_order
{
    int policy{};
    std::uint8_t priority{};
    bool is_lost{};
    duration age{};

    // NOLINTBEGIN(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const shed_order&,
                                          const shed_order&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

struct shed_candidate
{
    shed_order order{};
    task_key task{};
};

[[nodiscard]] shed_order order_of(const context& c, task_key task,
                                  time_point now)
{
    const auto& spec = c.tables.jobs[task.job].spec;
    const bool is_service = spec.policy == job_class::service;
    const bool is_gang = spec.policy == job_class::gang;
    return {.policy = is_service ? 2 : (is_gang ? 1 : 0),
            .priority = spec.priority,
            .is_lost = !spec.checkpointable,
            .age = now - c.tables.task(task).since};
}

[[nodiscard]] bool exceeds_allowance(const team_state& team)
{
    return !(team.used - team.stopping).fits_in(team.view.allowance);
}

/** @return True if stopping a task reduces a dimension above the allowance. */
[[nodiscard]] bool reduces_excess(const team_state& team,
                                  const resources& amount)
{
    const auto excess = team.used - team.stopping - team.view.allowance;
    return (excess.millicores > 0 && amount.millicores > 0) ||
           (excess.memory_mib > 0 && amount.memory_mib > 0) ||
           (excess.accelerators > 0 && amount.accelerators > 0);
}

void shed_team(context& c, index team, time_point now)
{
    std::vector<shed_candidate> found;
    for (const auto& it : c.tables.committed()) {
        const bool is_stopping =
            c.tables.task(it).phase == task_phase::stopping;
        if (c.tables.jobs[it.job].team == team && !is_stopping) {
            found.push_back({.order = order_of(c, it, now), .task = it});
        }
    }
    std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
        return std::tie(a.order, a.task) < std::tie(b.order, b.task);
    });
    for (const auto& it : found) {
        const auto& state = c.tables.teams[team];
        if (!exceeds_allowance(state)) {
            return;
        }
        // Stopping one task of a gang stops all, so this one may already be
        // stopping; `stop_task` ignores it.
        if (reduces_excess(state, c.tables.request(it.task))) {
            stop_task(c, it.task, result_code::limit_lowered);
        }
    }
}

} // namespace

std::optional<preemption_plan> preemption_search::find(const context& c,
                                                       index n, time_point now)
{
    const auto& job = c.tables.jobs[n];
    const auto available = c.tables.vms.available();
    const auto scanned = std::min(max_scanned_vms, available.size());
    std::optional<preemption_plan> best;
    for (std::size_t it = 0; it < scanned; ++it) {
        next_ = next_ + 1 < available.size() ? next_ + 1 : 0;
        const auto vm = static_cast<index>(next_);
        const bool is_unavailable = !available[vm].is_valid();
        if (is_unavailable || c.tables.vms[vm].suspect || is_avoided(job, vm)) {
            continue;
        }
        auto plan = find_on(c, n, vm, job.spec.request - available[vm], now);
        if (plan && (!best || plan->cost < best->cost)) {
            best = std::move(plan);
        }
    }
    return best;
}

std::optional<preemption_plan>
preemption_search::find_on(const context& c, index n, index vm,
                           const resources& needed, time_point now) const
{
    const auto& job = c.tables.jobs[n];
    const double share = c.tables.teams.share_with(job.team, job.spec.request);
    preemption_plan plan{.vm = vm};
    resources missing = needed;
    for (const auto& it : victims_on(c, vm, job.team, share, now)) {
        if (missing.fits_in({})) {
            break;
        }
        missing -= c.tables.request(it.task);
        plan.cost += it.cost;
        plan.victims.push_back(it.task);
    }
    if (!missing.fits_in({})) {
        return std::nullopt;
    }
    return plan;
}

void shed_over_allowance(context& c, time_point now)
{
    for (index it = 0; it < c.tables.teams.size(); ++it) {
        if (c.tables.teams[it].committed > 0 &&
            exceeds_allowance(c.tables.teams[it])) {
            shed_team(c, it, now);
        }
    }
}

} // namespace rosemarytrail::placement::internal
