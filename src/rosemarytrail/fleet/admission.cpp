#include <rosemarytrail/fleet/admission.hpp>

#include <algorithm>

namespace rosemarytrail::fleet {

namespace {

/** @brief Queues with fewer pending jobs reject no submission. */
constexpr std::size_t min_pending = 10;
/** @brief Utilisation from which an account gets nothing beyond its share; the
 * rest is left to bursts of accounts within theirs. */
constexpr double max_utilisation = 0.85;
/** @brief Minimum delay of a retry; tasks that run end on this scale. */
constexpr duration min_retry_delay{std::chrono::seconds{1}};
/** @brief Drain rate assumed while no job has started in the window. */
constexpr double min_drain_per_s = 1.0;
/** @brief Retries are spread over this duration, so that rejected callers don't
 * return all at once. */
constexpr duration retry_spread{std::chrono::seconds{3}};
constexpr duration max_retry_delay{std::chrono::seconds{20}};

} // namespace

std::optional<duration> rejection_retry_after(const admission_view& view)
{
    if (!view.beyond_share) {
        return std::nullopt;
    }
    const double drain = std::max(view.starts_per_s, min_drain_per_s);
    const auto wait =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>{
            static_cast<double>(view.pending) / drain});
    const bool queue_is_long =
        view.pending >= min_pending && wait >= view.slack;
    if (!queue_is_long && view.utilisation < max_utilisation) {
        return std::nullopt;
    }
    const duration spread{static_cast<std::int64_t>(
        view.job % static_cast<std::uint64_t>(retry_spread.count()))};
    return std::min(std::max(wait, min_retry_delay) + spread, max_retry_delay);
}

} // namespace rosemarytrail::fleet
