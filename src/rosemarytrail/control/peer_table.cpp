#include <rosemarytrail/control/peer_table.hpp>

#include <algorithm>

namespace rosemarytrail::control {

void peer_table::sync_members(const std::set<incarnation_id>& members,
                              const incarnation_id& self, time_point now)
{
    for (const auto& it : members) {
        if (it == self) {
            continue;
        }
        const auto [entry, added] = peers_.try_emplace(it);
        if (added) {
            entry->second.known = now;
        }
    }
    std::erase_if(peers_, [&](const auto& it) {
        return !members.contains(it.first) && !it.second.call_in_flight;
    });
}

std::uint64_t peer_table::applied_by(const incarnation_id& member) const
{
    const auto it = applied_.find(member);
    return it == applied_.end() ? 0 : it->second;
}

void peer_table::record_heartbeat(const heartbeat& value, time_point now)
{
    auto& applied = applied_[value.sender];
    applied = std::max(applied, value.next_offset);
    const auto it = peers_.find(value.sender);
    if (it == peers_.end()) {
        return;
    }
    it->second.last = value;
    it->second.last_heartbeat = now;
    it->second.has_heartbeat = true;
}

bool peer_table::alive(const incarnation_id& member, time_point now) const
{
    const auto it = peers_.find(member);
    return it != peers_.end() && it->second.has_heartbeat &&
           now - it->second.last_heartbeat <= timeout_;
}

duration peer_table::unresponsive_for(const incarnation_id& member,
                                      time_point now) const
{
    const auto it = peers_.find(member);
    if (it == peers_.end()) {
        return duration::zero();
    }
    return now - (it->second.has_heartbeat ? it->second.last_heartbeat
                                           : it->second.known);
}

std::set<incarnation_id> peer_table::working(time_point now) const
{
    std::set<incarnation_id> out;
    for (const auto& [member, view] : peers_) {
        if (alive(member, now) && !view.last.draining) {
            out.insert(member);
        }
    }
    return out;
}

} // namespace rosemarytrail::control
