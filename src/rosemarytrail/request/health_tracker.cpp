#include <rosemarytrail/request/health_tracker.hpp>

#include <algorithm>

namespace rosemarytrail::request {

namespace {

/** @brief Traffic fraction of an upstream at the start of its recovery. */
constexpr double initial_fraction = 0.1;
/** @brief Keeps the shift of the ejection duration in range. */
constexpr std::uint32_t max_doublings = 10;

} // namespace

void health_tracker::record_success(const health_options& options,
                                    time_point now) noexcept
{
    failures_in_sequence_ = 0;
    ++samples_;
    failure_rate_ *= 1.0 - options.sample_weight;
    if (admitted_fraction(options, now) >= 1.0) {
        ejections_ = 0;
    }
}

bool health_tracker::record_failure(const health_options& options,
                                    bool may_eject, time_point now) noexcept
{
    ++failures_in_sequence_;
    ++samples_;
    failure_rate_ += (1.0 - failure_rate_) * options.sample_weight;
    const bool fails_often = samples_ >= options.min_requests &&
                             failure_rate_ >= options.max_failure_rate;
    const bool recovering =
        ejections_ > 0 && admitted_fraction(options, now) < 1.0;
    const auto failure_limit =
        recovering ? options.recovery_failures : options.consecutive_failures;
    const bool unhealthy =
        failures_in_sequence_ >= failure_limit || fails_often;
    if (!unhealthy || !may_eject || ejected(now)) {
        return false;
    }
    const auto doublings = std::min(ejections_, max_doublings);
    const auto ejection_time = std::min(
        options.initial_ejection * (1U << doublings), options.max_ejection);
    ejected_until_ = now + ejection_time;
    ++ejections_;
    failures_in_sequence_ = 0;
    samples_ = 0;
    failure_rate_ = 0.0;
    return true;
}

bool health_tracker::ejected(time_point now) const noexcept
{
    return now < ejected_until_;
}

double health_tracker::admitted_fraction(const health_options& options,
                                         time_point now) const noexcept
{
    if (ejected(now)) {
        return 0.0;
    }
    if (ejections_ == 0 || now >= ejected_until_ + options.recovery_time) {
        return 1.0;
    }
    const std::chrono::duration<double> since{now - ejected_until_};
    const std::chrono::duration<double> ramp{options.recovery_time};
    return initial_fraction + (1.0 - initial_fraction) * (since / ramp);
}

} // namespace rosemarytrail::request
