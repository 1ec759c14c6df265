#include <rosemarytrail/cell/read_pacing.hpp>

#include <algorithm>

namespace rosemarytrail::cell {

read_pacing::read_pacing(const read_pacing_options& options)
    : options_{options}
    , random_{options.seed}
    , page_bytes_{options.max_bytes}
{}

duration read_pacing::on_failure(bool timed_out, time_point now)
{
    constexpr std::size_t max_doublings = 10;
    constexpr double min_jitter = 0.5;
    constexpr double max_jitter = 1.5;
    if (failures_ == 0) {
        failing_since_ = now;
    }
    const auto doublings = std::min(failures_++, max_doublings);
    if (timed_out) {
        page_bytes_ = std::max(page_bytes_ / 2, options_.min_bytes);
    }
    const auto delay =
        std::min(options_.min_delay * (std::int64_t{1} << doublings),
                 options_.max_delay);
    std::uniform_real_distribution<double> jitter{min_jitter, max_jitter};
    return std::chrono::duration_cast<duration>(delay * jitter(random_));
}

std::optional<duration> read_pacing::on_success(time_point now)
{
    if (failures_ == 0) {
        page_bytes_ = std::min(page_bytes_ * 2, options_.max_bytes);
        return std::nullopt;
    }
    failures_ = 0;
    return now - failing_since_;
}

} // namespace rosemarytrail::cell
