#ifndef ROSEMARYTRAIL_CORE_TIME_SOURCE_HPP
#define ROSEMARYTRAIL_CORE_TIME_SOURCE_HPP

#include <rosemarytrail/core/time.hpp>

namespace rosemarytrail {

/**
 * @brief Clock interface for event loops.
 *
 * The loops read the time once and pass it to the decision logic, which tests
 * can then run at any time.
 */
class time_source
{
public:
    virtual ~time_source() = default;

    /** @return Current time. */
    [[nodiscard]] virtual time_point now() const noexcept = 0;
};

/** @brief Time source that reads the boot clock of this VM. */
class boot_time_source final : public time_source
{
public:
    [[nodiscard]] time_point now() const noexcept override
    {
        return boot_clock::now();
    }
};

} // namespace rosemarytrail

#endif
