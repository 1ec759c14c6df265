#include <rosemarytrail/cell/leader_monitor.hpp>

#include <rosemarytrail/cell/member_name.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::cell {

leader_monitor::leader_monitor(leader_monitor_options options)
    : options_{std::move(options)}
    , address_{address_of(options_.member)}
{}

void leader_monitor::on_elected(time_point now) noexcept
{
    elected_at_ = now;
    missed_ = 0;
    // The leader may have recovered: it may have been reported as lost only
    // because it could not reach the store.
    lost_epoch_ = 0;
}

bool leader_monitor::may_claim(const fleet::leader_record& leader,
                               bool elected) const
{
    const auto address = address_of(leader.node);
    // Only a node that does not lead checks, so if the record names this node,
    // it has stepped down.
    const bool vacant =
        leader.epoch == 0 || address.empty() || leader.node == options_.member;
    if (vacant) {
        return elected;
    }
    // A process at this node's own address has terminated.
    return address == address_ || (elected && lost_epoch_ == leader.epoch);
}

void leader_monitor::on_query_result(std::uint64_t epoch,
                                     leader_query_result result,
                                     const leader_status& status,
                                     time_point now,
                                     time_point serving_since) noexcept
{
    const bool served = status.store_age <= options_.max_store_age ||
                        now - serving_since <= options_.max_store_age;
    const bool leads = result == leader_query_result::reported &&
                       status.leading && status.epoch >= epoch && served;
    if (leads) {
        missed_ = 0;
        lost_epoch_ = 0;
        return;
    }
    if (result == leader_query_result::unknown) {
        ++missed_;
        const bool recently_elected =
            now - elected_at_ <= options_.recent_election;
        if (missed_ < (recently_elected ? 1 : options_.unresponsive_after)) {
            return;
        }
    }
    missed_ = 0;
    lost_epoch_ = std::max(lost_epoch_, epoch);
}

} // namespace rosemarytrail::cell
