#include <rosemarytrail/fleet/admission.hpp>

#include <algorithm>

namespace rosemarytrail::fleet {

namespace {

/** @brief Queues with fewer pending jobs reject no submission. */
constexpr std::size_t min_pending = 10;
/** @brief Drain rate assumed while no job has started in the window. */
constexpr double min_drain_per_s = 1.0;
/** @brief Retries are spread over this duration, so that rejected callers don't
 * return all at once. */
constexpr duration retry_spread{std::chrono::seconds{3}};
constexpr duration max_retry_delay{std::chrono::seconds{20}};
constexpr duration min_retry_delay{std::chrono::seconds{1}};
/** @brief A later result is worth nothing to the caller. */
constexpr int max_objectives = 3;
/** @brief Older forecasts don't show the current load. */
constexpr duration max_forecast_age{std::chrono::seconds{2}};
/** @brief A leader that leads for less time has seen too few tasks end. */
constexpr duration min_leading_time{std::chrono::seconds{2}};

/** @return Delay of a retry, spread by the job id. */
[[nodiscard]] duration spread_delay(duration wait, std::uint64_t job)
{
    const duration spread{static_cast<std::int64_t>(
        job % static_cast<std::uint64_t>(retry_spread.count()))};
    return std::clamp(wait, min_retry_delay, max_retry_delay - retry_spread) +
           spread;
}

/** @return True if the forecast rule never rejects the job. */
[[nodiscard]] bool is_exempt(const job_spec& spec)
{
    return spec.occurrences > 0 ||
           std::ranges::any_of(spec.steps, [](const auto& it) {
               return it.long_running || it.scavenger;
           });
}

[[nodiscard]] bool is_current(const load_forecast& forecast,
                              std::uint64_t leader_epoch, time_point now)
{
    return forecast.epoch == leader_epoch &&
           now - forecast.computed_at <= max_forecast_age &&
           forecast.leading_for >= min_leading_time;
}

} // namespace

std::optional<duration> rejection_retry_after(const admission_view& view)
{
    if (!view.beyond_share || view.pending < min_pending) {
        return std::nullopt;
    }
    const double drain = std::max(view.starts_per_s, min_drain_per_s);
    const auto wait =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>{
            static_cast<double>(view.pending) / drain});
    if (wait < view.slack) {
        return std::nullopt;
    }
    const duration spread{static_cast<std::int64_t>(
        view.job % static_cast<std::uint64_t>(retry_spread.count()))};
    return std::min(wait + spread, max_retry_delay);
}

std::optional<forecast_rejection>
reject_by_forecast(const load_forecast& forecast, const forecast_view& view,
                   time_point now)
{
    const auto& job = view.job;
    if (!is_current(forecast, view.leader_epoch, now) || is_exempt(job.spec)) {
        return std::nullopt;
    }
    const std::chrono::milliseconds chain{longest_chain_ms(job.spec)};
    const std::chrono::milliseconds objective{
        static_cast<std::int64_t>(job.queue.slack_factor *
                                  static_cast<double>(chain.count())) +
        job.queue.target_latency_ms};
    const duration longest_wait = max_objectives * objective - chain - view.age;
    const service_order order{.beyond_share = job.beyond_share,
                              .priority = job.queue.priority};
    std::int64_t largest_task = 0;
    for (const auto& it : job.spec.steps) {
        largest_task = std::max(largest_task, it.demand.cpu_millis);
    }
    std::optional<expected_wait> found;
    auto code = result_code::ok;
    // The queue has drained since the forecast was computed.
    const auto consider = [&](std::optional<expected_wait> it,
                              result_code cause) {
        if (it) {
            it->wait =
                std::max<duration>(it->wait - (now - forecast.computed_at), {});
        }
        if (it && it->wait > longest_wait &&
            (!found || it->wait > found->wait)) {
            found = it;
            code = cause;
        }
    };
    if (!has_room_below_limit(forecast, job.account, largest_task)) {
        consider(wait_for_limit(forecast, job.account, order),
                 result_code::account_limit_backlog);
    }
    if (!has_free_capacity(forecast, job.queue.service)) {
        consider(wait_for_cell(forecast, job.queue.service, order),
                 result_code::cell_backlog);
    }
    if (!found || view.pending() < min_pending) {
        return std::nullopt;
    }
    // The queue drains as time passes, until the wait that remains lets the job
    // meet its objective.
    const duration useful_wait =
        std::max<duration>(objective - chain - view.age, {});
    return forecast_rejection{
        .code = code,
        .retry_after = spread_delay(found->wait - useful_wait, job.id),
        .queue = *found,
        .chain = chain,
        .objective = objective};
}

} // namespace rosemarytrail::fleet
