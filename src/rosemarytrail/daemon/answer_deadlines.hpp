#ifndef ROSEMARYTRAIL_DAEMON_ANSWER_DEADLINES_HPP
#define ROSEMARYTRAIL_DAEMON_ANSWER_DEADLINES_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/server.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace rosemarytrail::daemon {

/**
 * @brief Exchanges that wait for the control state, in order of deadline; any
 * thread may call it.
 */
class answer_deadlines
{
public:
    /**
     * @brief Adds an exchange; it is kept alive by others only.
     * @param it Exchange that must be answered.
     * @param deadline When it is given up.
     */
    void add(const std::shared_ptr<http::exchange>& it, time_point deadline);

    /**
     * @brief Takes out the exchanges whose deadline has passed.
     * @param now Present time.
     * @return Those that are still alive.
     */
    [[nodiscard]] std::vector<std::shared_ptr<http::exchange>>
    take_due(time_point now);

private:
    std::mutex mutex_;
    std::multimap<time_point, std::weak_ptr<http::exchange>> waiting_;
};

} // namespace rosemarytrail::daemon

#endif
