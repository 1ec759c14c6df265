#ifndef ROSEMARYTRAIL_CORE_TIME_HPP
#define ROSEMARYTRAIL_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace rosemarytrail {

/**
 * @brief Clock that runs on while the machine sleeps.
 *
 * Leases and freshness are measured on it, so that a VM which was suspended
 * finds on waking that its leases have lapsed. Deciding functions never read
 * it: they take a `time_point` as an argument.
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
     * @return Time since the VM booted, time asleep included.
     */
    [[nodiscard]] static time_point now() noexcept;
};

/** @brief Span of time, in microseconds. */
using duration = boot_clock::duration;

/** @brief Moment on the boot clock of one VM; never sent to another VM. */
using time_point = boot_clock::time_point;

/**
 * @brief Converts a span to whole milliseconds.
 * @param value Span to convert.
 * @return Milliseconds, rounded towards zero.
 */
[[nodiscard]] constexpr std::int64_t to_milliseconds(duration value) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace rosemarytrail

#endif
