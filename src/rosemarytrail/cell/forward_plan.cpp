#include <rosemarytrail/cell/forward_plan.hpp>

#include <algorithm>

namespace rosemarytrail::cell {

forward_plan::forward_plan(const forward_options& options, bool changes,
                           time_point deadline, time_point now)
    : options_{options}
    , changes_{changes}
    , sent_{now}
    , give_up_at_{deadline - options.final_margin}
    , next_query_{now + options.query_interval}
    , can_query_{changes}
{
    if (!changes) {
        give_up_at_ = std::min(give_up_at_, now + options.quick_timeout);
    }
}

void forward_plan::on_refused()
{
    abandoned_ = true;
    maybe_executed_ = false;
}

void forward_plan::on_lost(time_point now)
{
    lost_ = true;
    next_query_ = std::min(next_query_, now);
}

void forward_plan::on_query_sent(time_point now)
{
    query_in_flight_ = true;
    query_sent_ = now;
}

void forward_plan::on_report(call_progress progress, time_point now)
{
    query_in_flight_ = false;
    const auto interval =
        lost_ ? options_.lost_query_interval : options_.query_interval;
    next_query_ = std::max(query_sent_ + interval, now);
    switch (progress) {
    case call_progress::in_progress:
    case call_progress::answered:
        unanswered_ = 0;
        break;
    case call_progress::unanswered:
        ++unanswered_;
        abandoned_ = abandoned_ || unanswered_ >= options_.max_unanswered;
        break;
    case call_progress::unknown:
    case call_progress::refused:
        abandoned_ = true;
        break;
    case call_progress::unsupported:
        can_query_ = false;
        break;
    }
}

forward_decision forward_plan::decide(time_point now) const
{
    if (abandoned_ || (lost_ && !can_query_)) {
        return {.action = forward_action::next_peer, .until = now};
    }
    if (now >= give_up_at_) {
        return {.action = changes_ ? forward_action::give_up
                                   : forward_action::next_peer,
                .until = now};
    }
    if (!can_query_) {
        const auto until =
            std::min(sent_ + options_.quick_timeout, give_up_at_);
        return {.action = now >= until ? forward_action::next_peer
                                       : forward_action::wait,
                .until = until};
    }
    if (query_in_flight_) {
        return {.action = forward_action::wait, .until = give_up_at_};
    }
    if (now >= next_query_) {
        return {.action = forward_action::query, .until = now};
    }
    return {.action = forward_action::wait,
            .until = std::min(next_query_, give_up_at_)};
}

} // namespace rosemarytrail::cell
