#ifndef ROSEMARYTRAIL_CORE_TIME_HPP
#define ROSEMARYTRAIL_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace rosemarytrail {

/**
 * @brief Monotonic clock that includes the time the machine is suspended.
 *
 * Leases and freshness are measured on this clock, so that a VM that resumes
 * after a suspension sees its leases as expired. Decision logic never reads
 * the clock; it takes a `time_point` argument.
 */
struct boot_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /**
     * @brief Reads CLOCK_BOOTTIME.
     * @return Time since the VM booted, including time suspended.
     */
    [[nodiscard]] static time_point now() noexcept;
};

/** @brief Duration in microseconds. */
using duration = boot_clock::duration;

/** @brief Time on the boot clock of this VM; never sent to another VM. */
using time_point = boot_clock::time_point;

/**
 * @brief Converts a duration to whole milliseconds.
 * @param value Duration to convert.
 * @return Milliseconds, truncated towards zero.
 */
[[nodiscard]] constexpr std::int64_t to_milliseconds(duration value) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace rosemarytrail

#endif
