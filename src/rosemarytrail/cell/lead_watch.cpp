#include <rosemarytrail/cell/lead_watch.hpp>

#include <rosemarytrail/cell/member_name.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::cell {

lead_watch::lead_watch(lead_watch_options options)
    : options_{std::move(options)}
    , address_{address_of(options_.member)}
{}

void lead_watch::on_chosen(time_point now) noexcept
{
    chosen_at_ = now;
    silent_ = 0;
    // What was found while the store was away may be over.
    gone_epoch_ = 0;
}

bool lead_watch::may_claim(const fleet::leader_record& leader,
                           bool chosen) const
{
    const auto address = address_of(leader.node);
    // Only a node that does not lead asks, so that it has stepped down if the
    // record names it.
    const bool vacant =
        leader.epoch == 0 || address.empty() || leader.node == options_.member;
    if (vacant) {
        return chosen;
    }
    // A process at this node's own address has ended.
    return address == address_ || (chosen && gone_epoch_ == leader.epoch);
}

void lead_watch::on_answer(std::uint64_t epoch, lead_answer how,
                           const lead_report& report, time_point now) noexcept
{
    const bool leads = how == lead_answer::reported && report.leading &&
                       report.epoch >= epoch &&
                       report.store_age <= options_.store_silence;
    if (leads) {
        silent_ = 0;
        gone_epoch_ = 0;
        return;
    }
    if (how == lead_answer::unknown) {
        ++silent_;
        const bool lately = now - chosen_at_ <= options_.chosen_lately;
        if (silent_ < (lately ? 1 : options_.silent_after)) {
            return;
        }
    }
    silent_ = 0;
    gone_epoch_ = std::max(gone_epoch_, epoch);
}

} // namespace rosemarytrail::cell
