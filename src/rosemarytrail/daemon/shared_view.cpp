#include <rosemarytrail/daemon/shared_view.hpp>

#include <utility>

namespace rosemarytrail::daemon {

void shared_view::set_table(std::shared_ptr<const request::routing_table> table)
{
    const std::lock_guard lock{mutex_};
    table_ = std::move(table);
}

std::shared_ptr<const request::routing_table> shared_view::table() const
{
    const std::lock_guard lock{mutex_};
    return table_;
}

void shared_view::set_readiness(std::optional<reason> why_not, time_point now)
{
    const std::lock_guard lock{mutex_};
    why_not_ = std::move(why_not);
    readiness_time_ = now;
}

void shared_view::begin_drain()
{
    const std::lock_guard lock{mutex_};
    draining_ = true;
}

std::optional<reason> shared_view::not_ready(time_point now) const
{
    const std::lock_guard lock{mutex_};
    if (draining_) {
        return reason{.code = result_code::draining,
                      .detail = "this entry VM is shutting down"};
    }
    if (why_not_)
        return why_not_;
    if (now - readiness_time_ > max_readiness_age) {
        return reason{.code = result_code::not_fresh,
                      .detail = "the control thread has not run recently"};
    }
    return std::nullopt;
}

void shared_view::set_live(std::set<incarnation_id> members)
{
    const std::lock_guard lock{mutex_};
    live_ = std::move(members);
}

bool shared_view::is_alive(const incarnation_id& member) const
{
    const std::lock_guard lock{mutex_};
    return live_.contains(member);
}

} // namespace rosemarytrail::daemon
