#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace rosemarytrail::fleet {

namespace {

using internal::tracked_step;

constexpr duration forecast_interval{std::chrono::milliseconds{500}};
constexpr std::int64_t millis_per_core = 1000;
/** @brief Bounds of the pace; a few tasks that were lost or restarted must not
 * make it meaningless. */
constexpr double min_pace = 0.25;
constexpr double max_pace = 2.0;

/** @return True if all tasks of the step are running or done. */
[[nodiscard]] bool is_under_way(const tracked_step& step)
{
    return step.complete() || (step.ready && step.waiting == 0);
}

} // namespace

std::int64_t dispatcher::state::successor_work(const tracked_step& step) const
{
    const auto& job = *step.job;
    const auto per_round = job.record.spec.steps.size();
    const auto first = step.key.occurrence * per_round;
    std::int64_t result = 0;
    for (std::size_t i = first; i < first + per_round; ++i) {
        const auto& next = job.steps[i];
        const auto& before = next.spec->depends_on;
        if (next.ready || before.empty()) {
            continue;
        }
        const auto at = [&](std::uint32_t it) -> const tracked_step& {
            return job.steps[first + it];
        };
        const bool known = std::ranges::all_of(
            before, [&](std::uint32_t it) { return it < per_round; });
        if (!known || !std::ranges::all_of(before, [&](std::uint32_t it) {
                return is_under_way(at(it));
            })) {
            continue;
        }
        // Counted once, with the first predecessor that still runs.
        const auto open = std::ranges::find_if(
            before, [&](std::uint32_t it) { return !at(it).complete(); });
        if (open != before.end() && &at(*open) == &step) {
            result += forecast_work(*next.spec, next.waiting);
        }
    }
    return result;
}

void dispatcher::state::forecast_waiting(load_forecast& result) const
{
    std::map<std::tuple<std::string, std::string, fleet::service_order>,
             std::int64_t>
        sums;
    for (const auto* step : ready) {
        const auto& job = *step->job;
        if (job.ended()) {
            continue;
        }
        const auto work = step->waiting > 0
                              ? forecast_work(*step->spec, step->waiting)
                              : successor_work(*step);
        if (work <= 0) {
            continue;
        }
        const auto* account =
            config ? config->find_account(job.record.account) : nullptr;
        const bool limited =
            account != nullptr && account->limit.cpu_millis > 0;
        sums[{limited ? account->name : std::string{},
              job.record.queue.service,
              {.beyond_share = job.beyond_share,
               .priority = job.record.queue.priority}}] += work;
    }
    for (const auto& [key, core_ms] : sums) {
        const auto& [account, service, order] = key;
        result.waiting.push_back({.account = account,
                                  .service = service,
                                  .order = order,
                                  .core_ms = core_ms});
    }
    if (result.waiting.size() > max_forecast_rows) {
        std::ranges::sort(result.waiting, std::ranges::greater{},
                          &waiting_work::core_ms);
        result.waiting.resize(max_forecast_rows);
    }
    for (const auto& it : result.waiting) {
        const bool listed =
            std::ranges::find(result.accounts, it.account,
                              &account_load::account) != result.accounts.end();
        if (it.account.empty() || listed) {
            continue;
        }
        const auto known = accounts.find(it.account);
        result.accounts.push_back(
            {.account = it.account,
             .limit_cpu_millis =
                 config->find_account(it.account)->limit.cpu_millis,
             .used_cpu_millis =
                 known == accounts.end() ? 0 : known->second.used.cpu_millis});
    }
}

void dispatcher::state::forecast_drain(load_forecast& result, time_point now)
{
    std::map<completion_meter::key, priority_drain> drains;
    std::map<std::string, service_capacity> services;
    for (const auto& [id, worker] : workers) {
        const bool usable = accepts_work(worker, now);
        if (usable) {
            auto& service = services[worker.vm.service];
            service.cpu_millis += worker.vm.capacity.cpu_millis;
            service.used_cpu_millis += worker.used.cpu_millis;
        }
        for (const auto& task : worker.load) {
            const auto* step = find_step(task.step);
            if (step == nullptr) {
                continue;
            }
            const auto& job = step->job->record;
            if (!step->spec->long_running) {
                drains[{job.queue.service, job.queue.priority}]
                    .running_cpu_millis +=
                    usable ? step->spec->reserved().cpu_millis : 0;
            } else if (const auto account =
                           std::ranges::find(result.accounts, job.account,
                                             &account_load::account);
                       account != result.accounts.end()) {
                account->long_running_cpu_millis +=
                    step->spec->demand.cpu_millis;
            }
        }
    }
    const auto span = std::clamp<duration>(now - started_at, forecast_interval,
                                           completion_meter::window);
    completion_meter::sums all;
    for (const auto& [which, work] : completions.totals(now)) {
        drains[which].completed_per_s = static_cast<std::int64_t>(
            static_cast<double>(work.declared) /
            std::chrono::duration<double>{span}.count());
        all.declared += work.declared;
        all.used += work.used;
    }
    if (all.used > 0) {
        result.pace = std::clamp(static_cast<double>(all.declared) /
                                     static_cast<double>(all.used),
                                 min_pace, max_pace);
    }
    for (auto& [which, it] : drains) {
        it.service = which.first;
        it.priority = which.second;
        result.drains.push_back(it);
    }
    for (auto& [name, it] : services) {
        it.service = name;
        result.services.push_back(it);
    }
}

void dispatcher::state::count_completed(const tracked_step& step,
                                        const task_state& task, time_point now)
{
    const auto declared = forecast_work(*step.spec, 1);
    if (declared == 0) {
        return;
    }
    const auto ran_ms =
        to_milliseconds(task.phase == task_phase::running ? now - task.since
                                                          : task.run_duration);
    // The run time of a run that was taken for lost is not known.
    const auto used =
        ran_ms > 0 ? ran_ms * step.spec->demand.cpu_millis / millis_per_core
                   : declared;
    completions.add(
        {step.job->record.queue.service, step.job->record.queue.priority},
        {.declared = declared, .used = used}, now);
}

const load_forecast& dispatcher::forecast(time_point now)
{
    auto& it = *state_;
    if (!it.last_forecast ||
        now - it.last_forecast->computed_at >= forecast_interval) {
        load_forecast result{.epoch = it.options.epoch,
                             .computed_at = now,
                             .leading_for = now - it.started_at};
        it.forecast_waiting(result);
        it.forecast_drain(result, now);
        it.last_forecast = std::move(result);
    }
    return *it.last_forecast;
}

} // namespace rosemarytrail::fleet
