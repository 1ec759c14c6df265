#include <rosemarytrail/request/health_tracker.hpp>

#include <algorithm>

namespace rosemarytrail::request {

namespace {

/** @brief Traffic fraction of an upstream at the start of its recovery. */
constexpr double first_part = 0.1;
/** @brief Keeps the shift of the ejection duration in range. */
constexpr std::uint32_t most_doublings = 10;

} // namespace

void health_tracker::note_success(const health_options& options,
                                  time_point now) noexcept
{
    in_row_ = 0;
    ++seen_;
    failed_ *= 1.0 - options.newest_weight;
    if (admitted_part(options, now) >= 1.0) {
        ejections_ = 0;
    }
}

bool health_tracker::note_failure(const health_options& options, bool may_eject,
                                  time_point now) noexcept
{
    ++in_row_;
    ++seen_;
    failed_ += (1.0 - failed_) * options.newest_weight;
    const bool often =
        seen_ >= options.least_requests && failed_ >= options.failed_fraction;
    const bool returning = ejections_ > 0 && admitted_part(options, now) < 1.0;
    const auto least =
        returning ? options.failures_in_return : options.failures_in_row;
    const bool evidence = in_row_ >= least || often;
    if (!evidence || !may_eject || ejected(now)) {
        return false;
    }
    const auto doublings = std::min(ejections_, most_doublings);
    const auto ejection_time = std::min(
        options.ejection_base * (1U << doublings), options.ejection_cap);
    ejected_until_ = now + ejection_time;
    ++ejections_;
    in_row_ = 0;
    seen_ = 0;
    failed_ = 0.0;
    return true;
}

bool health_tracker::ejected(time_point now) const noexcept
{
    return now < ejected_until_;
}

double health_tracker::admitted_part(const health_options& options,
                                     time_point now) const noexcept
{
    if (ejected(now)) {
        return 0.0;
    }
    if (ejections_ == 0 || now >= ejected_until_ + options.return_span) {
        return 1.0;
    }
    const std::chrono::duration<double> since{now - ejected_until_};
    const std::chrono::duration<double> recovery_time{options.return_span};
    return first_part + (1.0 - first_part) * (since / recovery_time);
}

} // namespace rosemarytrail::request
