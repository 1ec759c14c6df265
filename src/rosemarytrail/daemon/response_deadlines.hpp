#ifndef ROSEMARYTRAIL_DAEMON_RESPONSE_DEADLINES_HPP
#define ROSEMARYTRAIL_DAEMON_RESPONSE_DEADLINES_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/server.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace rosemarytrail::daemon {

/**
 * @brief Exchanges that wait for the control state, ordered by deadline.
 * Thread-safe.
 */
class response_deadlines
{
public:
    /**
     * @brief Adds an exchange without extending its lifetime.
     * @param it Exchange that needs a response.
     * @param deadline Time at which the exchange times out.
     */
    void add(const std::shared_ptr<http::exchange>& it, time_point deadline);

    /**
     * @brief Removes the exchanges whose deadline has passed.
     * @param now Current time.
     * @return Removed exchanges that still exist.
     */
    [[nodiscard]] std::vector<std::shared_ptr<http::exchange>>
    take_due(time_point now);

private:
    std::mutex mutex_;
    std::multimap<time_point, std::weak_ptr<http::exchange>> waiting_;
};

} // namespace rosemarytrail::daemon

#endif
