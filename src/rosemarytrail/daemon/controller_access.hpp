#ifndef ROSEMARYTRAIL_DAEMON_CONTROLLER_ACCESS_HPP
#define ROSEMARYTRAIL_DAEMON_CONTROLLER_ACCESS_HPP

#include <rosemarytrail/control/controller.hpp>
#include <rosemarytrail/core/time.hpp>

#include <functional>

namespace rosemarytrail::daemon {

/** @brief Access to the controller for traffic threads. */
class controller_access
{
public:
    /** @brief Call on the controller; receives the current time. */
    using call = std::function<void(control::controller&, time_point)>;

    virtual ~controller_access() = default;

    /**
     * @brief Posts a call to the control thread. Thread-safe.
     * @param it Call to run on the control thread.
     * @return False if the call was refused because the queue is full.
     */
    [[nodiscard]] virtual bool post(call it) = 0;
};

} // namespace rosemarytrail::daemon

#endif
