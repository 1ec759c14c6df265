#include <rosemarytrail/daemon/response_deadlines.hpp>

namespace rosemarytrail::daemon {

void response_deadlines::add(const std::shared_ptr<http::exchange>& it,
                             time_point deadline)
{
    const std::lock_guard lock{mutex_};
    waiting_.emplace(deadline, it);
}

std::vector<std::shared_ptr<http::exchange>>
response_deadlines::take_due(time_point now)
{
    const std::lock_guard lock{mutex_};
    std::vector<std::shared_ptr<http::exchange>> due;
    const auto end = waiting_.upper_bound(now);
    for (auto at = waiting_.begin(); at != end; ++at) {
        if (auto it = at->second.lock())
            due.push_back(std::move(it));
    }
    waiting_.erase(waiting_.begin(), end);
    return due;
}

} // namespace rosemarytrail::daemon
