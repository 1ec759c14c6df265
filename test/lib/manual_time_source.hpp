#ifndef ROSEMARYTRAIL_TEST_LIB_MANUAL_TIME_SOURCE_HPP
#define ROSEMARYTRAIL_TEST_LIB_MANUAL_TIME_SOURCE_HPP

#include <rosemarytrail/core/time_source.hpp>

namespace rosemarytrail::test {

/** @brief Time that passes only when a test says so. */
class manual_time_source final : public time_source
{
public:
    [[nodiscard]] time_point now() const noexcept override { return now_; }

    /** @param span How much time passes. */
    void advance(duration span) noexcept { now_ += span; }

private:
    time_point now_{std::chrono::seconds{1000}};
};

} // namespace rosemarytrail::test

#endif
