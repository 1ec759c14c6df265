#ifndef ROSEMARYTRAIL_CORE_TIME_SOURCE_HPP
#define ROSEMARYTRAIL_CORE_TIME_SOURCE_HPP

#include <rosemarytrail/core/time.hpp>

namespace rosemarytrail {

/**
 * @brief Gives the present time to the loops that drive deciding functions;
 * those take it as an argument.
 */
class time_source
{
public:
    virtual ~time_source() = default;

    /** @return Present time. */
    [[nodiscard]] virtual time_point now() const noexcept = 0;
};

/** @brief The boot clock of this VM. */
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
