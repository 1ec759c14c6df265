#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace rosemarytrail::fleet {

namespace {

using internal::tracked_step;

// The service does not change its response about a worker, but the tickets of a
// step that no longer waits have usually expired.
[[nodiscard]] bool may_get_ticket(const tracked_step& step,
                                  const std::string& worker)
{
    if (!step.job->record.queue.advice) {
        return true;
    }
    return step.granted.empty() ? !step.refused.contains(worker)
                                : step.granted.contains(worker);
}

} // namespace

// A long-running task serves nobody until it has completed its startup.
bool dispatcher::state::is_at_work(const tracked_step& step,
                                   const task_state& task) const
{
    constexpr std::int32_t started_up = 100;
    const auto worker = workers.find(task.worker);
    return task.phase == task_phase::running && worker != workers.end() &&
           worker->second.unanswered == 0 &&
           (!step.spec->long_running || task.percent >= started_up);
}

std::size_t dispatcher::state::count_unavailable(const tracked_step& step,
                                                 time_point now) const
{
    const auto n = std::ranges::count_if(step.tasks, [&](const auto& it) {
        const bool lost =
            it.lost_at && now - *it.lost_at < options.relocation.loss_memory;
        return lost || !is_at_work(step, it);
    });
    return static_cast<std::size_t>(n);
}

closing_task dispatcher::state::view_of(const tracked_worker& worker,
                                        const tracked_step& step,
                                        std::uint32_t index,
                                        time_point now) const
{
    const auto& task = step.tasks[index];
    closing_task result{.index = index,
                        .at_work = is_at_work(step, task),
                        .expected_end = time_point::max(),
                        .rate_allows = worker.next_slow_move <= now};
    if (worker.leaves_at) {
        result.leaves_at = *worker.leaves_at;
    } else {
        result.cause = worker.evacuated ? closing_cause::evacuation
                                        : closing_cause::unknown_departure;
    }
    if (!step.spec->long_running) {
        result.expected_end =
            expected_end({.started = task.since,
                          .reported_at = task.percent_at,
                          .percent = task.percent,
                          .resumed = task.resumed,
                          .estimate_ms = step.spec->estimate_ms,
                          .slowness = worker.slowness},
                         options.relocation);
    }
    return result;
}

std::vector<closing_step> dispatcher::state::closing_steps(time_point now)
{
    std::map<step_key, closing_step> found;
    for (const auto& [id, worker] : workers) {
        if (!worker.closing()) {
            continue;
        }
        for (const auto& key : worker.load) {
            const auto* step = find_step(key.step);
            if (step == nullptr || step->job->ended()) {
                continue;
            }
            auto& view = found[key.step];
            if (view.tasks.empty()) {
                view.key = key.step;
                view.mobility = mobility_of(*step->spec);
                view.size = step->tasks.size();
                view.unavailable = count_unavailable(*step, now);
                view.max_unavailable = step->spec->max_unavailable;
            }
            view.tasks.push_back(view_of(worker, *step, key.index, now));
        }
    }
    std::vector<closing_step> result;
    result.reserve(found.size());
    for (auto& [key, view] : found) {
        result.push_back(std::move(view));
    }
    return result;
}

/** @brief Capacity of the dispatcher's usable workers. */
class dispatcher::state::spare_capacity final : public relocation_capacity
{
public:
    /**
     * @brief Views the workers of a dispatcher.
     * @param of Dispatcher.
     * @param now Current time.
     */
    spare_capacity(state& of, time_point now)
        : state_{of}
        , now_{now}
    {
        std::int64_t total = 0;
        std::int64_t available = 0;
        for (const auto& [id, worker] : of.workers) {
            if (of.accepts_work(worker, now)) {
                total += worker.vm.capacity.cpu_millis;
                available += worker.available().cpu_millis;
            }
        }
        if (total > 0) {
            available_share_ =
                static_cast<double>(available) / static_cast<double>(total);
        }
    }

    [[nodiscard]] bool reserve(const step_key& key, std::size_t tasks) override
    {
        auto* step = state_.find_step(key);
        // Reservations are not returned within a pass.
        if (step == nullptr || exhausted_.contains({key, tasks})) {
            return false;
        }
        const auto demand = step->spec->reserved();
        auto planned = reserved_;
        std::size_t n = 0;
        for (const auto& [id, worker] : state_.workers) {
            if (n == tasks) {
                break;
            }
            if (!state_.can_accept(worker, *step, now_) ||
                !may_get_ticket(*step, id)) {
                continue;
            }
            auto& here = planned[&worker];
            auto& of_step = here.tasks[key];
            const auto limit = internal::tasks_allowed_on(worker, *step);
            while (n < tasks && of_step < limit &&
                   (here.used + demand).fits(worker.available())) {
                here.used += demand;
                ++of_step;
                ++n;
            }
        }
        if (n < tasks) {
            exhausted_.emplace(key, tasks);
            return false;
        }
        reserved_ = std::move(planned);
        return true;
    }

    [[nodiscard]] double available_share() const override
    {
        return available_share_;
    }

private:
    struct reservation
    {
        resource_amounts used;
        std::map<step_key, std::uint32_t> tasks;
    };

    state& state_;
    time_point now_;
    double available_share_{};
    std::map<const tracked_worker*, reservation> reserved_;
    std::set<std::pair<step_key, std::size_t>> exhausted_;
};

void dispatcher::state::move_task(const task_relocation& move, time_point now)
{
    auto& step = *find_step(move.task.step);
    const auto& task = step.tasks[move.task.index];
    auto& worker = workers[task.worker];
    std::string why = "draining for an unknown time";
    if (move.cause == closing_cause::unknown_departure) {
        // One pass may select several tasks of the worker.
        if (worker.next_slow_move > now) {
            return;
        }
        worker.next_slow_move = now + options.relocation.slow_move_interval;
    } else if (worker.evacuated && !worker.leaves_at) {
        why = "zone " + worker.vm.zone + " is evacuated";
    } else if (worker.leaves_at) {
        why = "leaves in " +
              std::to_string(to_milliseconds(*worker.leaves_at - now)) +
              " ms, task at " + std::to_string(task.percent) + " % after " +
              std::to_string(to_milliseconds(now - task.since)) + " ms";
    } else {
        why = "member of a gang that moves";
    }
    ++(move.cause == closing_cause::evacuation ? relocated.evacuations
                                               : relocated.departures);
    log_decision(move.task.step.job, "task moved",
                 to_text(move.task) + " run " + std::to_string(task.run) +
                     " from " + task.worker + ": " + why);
    stop_task(step, move.task.index, now);
}

void dispatcher::state::relocate(time_point now)
{
    if (now < next_relocation) {
        return;
    }
    next_relocation = now + options.relocation.pass_interval;
    evacuation_left = {};
    const auto steps = closing_steps(now);
    std::size_t in_zones = 0;
    for (const auto& step : steps) {
        in_zones += static_cast<std::size_t>(std::ranges::count(
            step.tasks, closing_cause::evacuation, &closing_task::cause));
    }
    evacuation_moves.accrue(in_zones, options.relocation, now);
    if (steps.empty()) {
        return;
    }
    spare_capacity capacity{*this, now};
    for (const auto& it : plan_relocation(steps, capacity, evacuation_moves,
                                          options.relocation, now)) {
        if (it.cause == closing_cause::evacuation) {
            evacuation_left.count(it.verdict);
        }
        if (it.verdict == relocation_verdict::moves) {
            move_task(it, now);
        }
    }
}

} // namespace rosemarytrail::fleet
