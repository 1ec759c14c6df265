#ifndef ROSEMARYTRAIL_DAEMON_CONTROLLER_ACCESS_HPP
#define ROSEMARYTRAIL_DAEMON_CONTROLLER_ACCESS_HPP

#include <rosemarytrail/control/controller.hpp>
#include <rosemarytrail/core/time.hpp>

#include <functional>

namespace rosemarytrail::daemon {

/** @brief Way of traffic threads to the controller. */
class controller_access
{
public:
    /** @brief Call on the controller, with the present time. */
    using call = std::function<void(control::controller&, time_point)>;

    virtual ~controller_access() = default;

    /**
     * @brief Posts a call to the control thread; any thread.
     * @param it Call to run there.
     * @return False if it was refused because the queue is full.
     */
    [[nodiscard]] virtual bool post(call it) = 0;
};

} // namespace rosemarytrail::daemon

#endif
