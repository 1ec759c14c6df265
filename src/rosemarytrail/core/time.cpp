#include <rosemarytrail/core/time.hpp>

#include <ctime>

namespace rosemarytrail {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point{
        std::chrono::duration_cast<duration>(std::chrono::seconds{ts.tv_sec}) +
        std::chrono::duration_cast<duration>(
            std::chrono::nanoseconds{ts.tv_nsec})};
}

} // namespace rosemarytrail
