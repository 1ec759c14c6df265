#include <rosemarytrail/fleet/admission.hpp>

#include <algorithm>

namespace rosemarytrail::fleet {

namespace {

/** @brief Queues with fewer pending jobs reject no submission. */
constexpr std::size_t short_queue = 10;
/** @brief Drain rate assumed while no job has started in the window. */
constexpr double least_drain_per_s = 1.0;
/** @brief Retries are spread over this duration, so that rejected callers don't
 * return all at once. */
constexpr duration return_spread{std::chrono::seconds{3}};
constexpr duration longest_return{std::chrono::seconds{20}};

} // namespace

std::optional<duration> turned_away(const admission_view& view)
{
    if (!view.beyond_share || view.pending < short_queue) {
        return std::nullopt;
    }
    const double drain = std::max(view.begun_per_s, least_drain_per_s);
    const auto wait =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>{
            static_cast<double>(view.pending) / drain});
    if (wait < view.slack) {
        return std::nullopt;
    }
    const duration spread{static_cast<std::int64_t>(
        view.job % static_cast<std::uint64_t>(return_spread.count()))};
    return std::min(wait + spread, longest_return);
}

} // namespace rosemarytrail::fleet
