#include <rosemarytrail/cell/retry_delay.hpp>

#include <algorithm>

namespace rosemarytrail::cell {

namespace {

constexpr duration min_delay{std::chrono::seconds{1}};
constexpr duration max_delay{std::chrono::seconds{5}};
/** @brief A shorter time without a served call is no outage: a slow store needs
 * up to 0.4 s a call. */
constexpr duration min_outage{std::chrono::seconds{1}};
/** @brief Outage age from which the delay no longer grows; half a second below
 * the maximum, so that jobs are still spread over two values. */
constexpr duration max_outage{std::chrono::milliseconds{4500}};

/** @return Part of a second by which a delay is rounded up; evenly distributed
 * over the jobs, also if their ids are consecutive. */
[[nodiscard]] duration spread_of(std::uint64_t job)
{
    constexpr std::uint64_t golden_ratio = 0x9E3779B97F4A7C15;
    constexpr unsigned top_bits = 54;
    const auto part = (job * golden_ratio) >> top_bits;
    constexpr std::uint64_t parts = 1024;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{static_cast<double>(part) / parts});
}

} // namespace

duration retry_delay(const rejected_call& call, time_point now)
{
    const auto age = now - call.store_served;
    if (age < min_outage) {
        return min_delay;
    }
    duration delay = std::chrono::floor<std::chrono::seconds>(
        std::min(age, max_outage) + spread_of(call.job));
    if (call.priority > 0) {
        delay += std::chrono::seconds{1};
    }
    return std::clamp(delay, min_delay, max_delay);
}

} // namespace rosemarytrail::cell
