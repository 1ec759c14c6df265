#include <rosemarytrail/fleet/relocation.hpp>

#include <algorithm>

namespace rosemarytrail::fleet {

namespace {

/** @brief Inputs of one pass. */
struct pass
{
    relocation_capacity& capacity;
    evacuation_budget& budget;
    const relocation_options& options;
    time_point now;
};

// A task works on until the last moment at which its stop is sure to be
// confirmed. In an evacuated zone, a task that is almost done is not worth a
// stop and a restore.
[[nodiscard]] relocation_verdict check_time(const closing_task& task,
                                            const pass& it)
{
    const auto stop = it.options.max_stop + it.options.stop_margin;
    if (task.cause == closing_cause::departure) {
        if (task.expected_end <= task.leaves_at) {
            return relocation_verdict::stays;
        }
        return it.now + stop < task.leaves_at ? relocation_verdict::not_due
                                              : relocation_verdict::moves;
    }
    return task.expected_end <= it.now + stop + it.options.restore
               ? relocation_verdict::stays
               : relocation_verdict::moves;
}

// Checks the limits that depend on the other tasks; the capacity is reserved
// last, as a reservation is not returned.
[[nodiscard]] relocation_verdict check_limits(const closing_step& step,
                                              closing_cause cause,
                                              std::size_t tasks, const pass& it)
{
    const bool evacuated = cause == closing_cause::evacuation;
    if (evacuated && !it.budget.allows_move()) {
        return relocation_verdict::rate;
    }
    if ((evacuated &&
         it.capacity.available_share() <= it.options.min_available) ||
        !it.capacity.reserve(step.key, tasks)) {
        return relocation_verdict::no_capacity;
    }
    if (evacuated) {
        it.budget.spend(tasks);
    }
    return relocation_verdict::moves;
}

[[nodiscard]] relocation_verdict decide_checkpointing(const closing_step& step,
                                                      const closing_task& task,
                                                      const pass& it)
{
    if (task.cause == closing_cause::unknown_departure) {
        return relocation_verdict::stays;
    }
    if (!task.at_work) {
        return relocation_verdict::in_transition;
    }
    const auto verdict = check_time(task, it);
    return verdict == relocation_verdict::moves
               ? check_limits(step, task.cause, 1, it)
               : verdict;
}

[[nodiscard]] relocation_verdict decide_long_running(const closing_step& step,
                                                     std::size_t unavailable,
                                                     const closing_task& task,
                                                     const pass& it)
{
    if (!task.at_work) {
        return relocation_verdict::in_transition;
    }
    if (unavailable >= step.unavailable_limit()) {
        return relocation_verdict::max_unavailable;
    }
    if (task.cause == closing_cause::unknown_departure && !task.rate_allows) {
        return relocation_verdict::rate;
    }
    return check_limits(step, task.cause, 1, it);
}

// The members that are not on closing workers are stopped with the others and
// can resume where they were, so capacity is needed only for the rest.
void decide_gang(const closing_step& step, const pass& it,
                 std::vector<task_relocation>& result)
{
    auto verdict = relocation_verdict::stays;
    auto cause = step.tasks.front().cause;
    for (const auto& task : step.tasks) {
        if (task.cause == closing_cause::unknown_departure) {
            continue;
        }
        const auto one = check_time(task, it);
        if (one == relocation_verdict::moves) {
            verdict = one;
            cause = task.cause;
            // A departure has a deadline, and no limits of evacuations.
            if (cause == closing_cause::departure) {
                break;
            }
        } else if (one == relocation_verdict::not_due &&
                   verdict == relocation_verdict::stays) {
            verdict = one;
        }
    }
    if (verdict == relocation_verdict::moves) {
        verdict = step.unavailable > 0
                      ? relocation_verdict::in_transition
                      : check_limits(step, cause, step.tasks.size(), it);
    }
    if (verdict == relocation_verdict::moves) {
        for (std::uint32_t i = 0; i < step.size; ++i) {
            result.push_back({.task = {.step = step.key, .index = i},
                              .cause = cause,
                              .verdict = verdict});
        }
        return;
    }
    for (const auto& task : step.tasks) {
        result.push_back({.task = {.step = step.key, .index = task.index},
                          .cause = task.cause,
                          .verdict = verdict});
    }
}

} // namespace

task_mobility mobility_of(const step_spec& spec)
{
    if (spec.long_running) {
        return task_mobility::long_running;
    }
    if (!spec.checkpoints) {
        return task_mobility::fixed;
    }
    return spec.gang ? task_mobility::checkpointing_gang
                     : task_mobility::checkpointing;
}

void evacuation_backlog::count(relocation_verdict verdict) noexcept
{
    switch (verdict) {
    case relocation_verdict::stays:
        ++staying;
        break;
    case relocation_verdict::no_capacity:
        ++no_capacity;
        break;
    case relocation_verdict::max_unavailable:
        ++max_unavailable;
        break;
    case relocation_verdict::rate:
        ++rate;
        break;
    default:
        ++in_transition;
        break;
    }
}

void evacuation_budget::accrue(std::size_t tasks,
                               const relocation_options& options,
                               time_point now)
{
    if (tasks == 0) {
        *this = {};
        return;
    }
    largest_ = std::max(largest_, tasks);
    const auto per_second =
        options.evacuation_rate * static_cast<double>(largest_);
    const std::chrono::duration<double> passed =
        now - accrued_at_.value_or(now);
    accrued_at_ = now;
    // What accrues while nothing can be moved is not kept: that would allow
    // more moves in the following second.
    const std::chrono::duration<double> kept = 2 * options.pass_interval;
    tokens_ = std::min(tokens_ + per_second * passed.count(),
                       std::max(per_second * kept.count(), 1.0));
}

void evacuation_budget::spend(std::size_t tasks) noexcept
{
    tokens_ -= static_cast<double>(tasks);
}

std::vector<task_relocation>
plan_relocation(std::span<const closing_step> steps,
                relocation_capacity& capacity, evacuation_budget& budget,
                const relocation_options& options, time_point now)
{
    const pass it{
        .capacity = capacity, .budget = budget, .options = options, .now = now};
    std::vector<task_relocation> result;
    for (const auto& step : steps) {
        if (step.tasks.empty()) {
            continue;
        }
        if (step.mobility == task_mobility::checkpointing_gang) {
            decide_gang(step, it, result);
            continue;
        }
        auto unavailable = step.unavailable;
        for (const auto& task : step.tasks) {
            auto verdict = relocation_verdict::stays;
            if (step.mobility == task_mobility::checkpointing) {
                verdict = decide_checkpointing(step, task, it);
            } else if (step.mobility == task_mobility::long_running) {
                verdict = decide_long_running(step, unavailable, task, it);
                unavailable += verdict == relocation_verdict::moves ? 1U : 0U;
            }
            result.push_back({.task = {.step = step.key, .index = task.index},
                              .cause = task.cause,
                              .verdict = verdict});
        }
    }
    return result;
}

// The reported progress does not tell how much of it a checkpoint contributed,
// so the rate of a resumed run is taken from the declared duration only.
time_point expected_end(const run_progress& run,
                        const relocation_options& options)
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    constexpr std::int32_t min_percent = 10;
    constexpr double complete = 100;
    const double open = std::max(0.0, complete - run.percent);
    const milliseconds declared{static_cast<double>(run.estimate_ms) *
                                options.estimate_error *
                                std::max(run.slowness, 1.0) * open / complete};
    milliseconds left = declared;
    if (!run.resumed && run.percent >= min_percent) {
        const milliseconds passed = run.reported_at - run.started;
        left = passed * open / run.percent;
    }
    const auto since = std::max(run.reported_at, run.started);
    return since + std::chrono::duration_cast<duration>(left);
}

} // namespace rosemarytrail::fleet
