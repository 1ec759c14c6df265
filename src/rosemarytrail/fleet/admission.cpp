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

} // namespace rosemarytrail::fleet
