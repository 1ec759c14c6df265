#include <rosemarytrail/control/internal/controller_state.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::control {

namespace {

/** How long entries must be missing before they are requested from a peer. */
constexpr duration behind_patience = std::chrono::milliseconds{100};
/** Maximum payload of one relay response, in bytes. */
constexpr std::size_t relay_bytes = std::size_t{1} << 20U;

} // namespace

heartbeat controller::internal_state::own_heartbeat(time_point now) const
{
    heartbeat out{.sender = options.self,
                  .next_offset = cell().next_offset(),
                  .draining = draining};
    for (const auto& [partition, holder] : holders) {
        out.partitions.push_back(holder->summary(now));
    }
    return out;
}

std::vector<partition_summary> controller::internal_state::summaries() const
{
    std::map<partition_id, partition_summary> newest;
    const auto take = [&](const partition_summary& it) {
        auto& known = newest[it.partition];
        if (it.epoch >= known.epoch) {
            known = it;
        }
    };
    for (const auto& [member, view] : peers.peers()) {
        for (const auto& it : view.last.partitions) {
            take(it);
        }
    }
    const auto now = ports.clock.now();
    for (const auto& [partition, holder] : holders) {
        take(holder->summary(now));
    }
    std::vector<partition_summary> out;
    out.reserve(newest.size());
    for (auto& [partition, it] : newest) {
        out.push_back(std::move(it));
    }
    return out;
}

void controller::internal_state::tick_peers(time_point now)
{
    for (auto& [member, view] : peers.peers()) {
        const auto it = cell().members().find(member);
        if (view.call_in_flight || now < view.next_call ||
            it == cell().members().end()) {
            continue;
        }
        view.next_call = now + options.heartbeat_period;
        call_peer(member, it->second.peer_address, now);
    }
    fetch_from_peer(now);
}

void controller::internal_state::call_peer(const incarnation_id& member,
                                           const std::string& address,
                                           time_point now)
{
    peers.peers()[member].call_in_flight = true;
    std::weak_ptr<bool> guard = alive;
    ports.peers.exchange(
        address, own_heartbeat(now),
        [this, guard, member, now](const std::optional<heartbeat>& theirs) {
            if (guard.expired()) {
                return;
            }
            const auto it = peers.peers().find(member);
            if (it != peers.peers().end()) {
                it->second.call_in_flight = false;
            }
            if (theirs && theirs->sender == member) {
                apply_heartbeat(*theirs, now, ports.clock.now());
            }
        });
}

void controller::internal_state::apply_heartbeat(const heartbeat& theirs,
                                                 time_point sent_at,
                                                 time_point now)
{
    if (!theirs.draining) {
        // A takeover counts a member that wrote its own leave record as
        // reached, so later heartbeats must not extend anyone's authority.
        fresh.peer_responded(theirs.sender, sent_at, theirs.next_offset);
    }
    update_from_heartbeat(theirs, now);
}

void controller::internal_state::update_from_heartbeat(const heartbeat& theirs,
                                                       time_point now)
{
    peers.record_heartbeat(theirs, now);
    for (auto& [partition, holder] : holders) {
        const auto claim_offset = holder->epoch() / records_per_batch;
        if (theirs.next_offset >= claim_offset) {
            holder->proof().claim_applied_by(theirs.sender, now);
        }
    }
}

void controller::internal_state::fetch_from_peer(time_point now)
{
    const auto ahead = std::max_element(
        peers.peers().begin(), peers.peers().end(),
        [](const auto& lhs, const auto& rhs) {
            return lhs.second.last.next_offset < rhs.second.last.next_offset;
        });
    const bool behind = ahead != peers.peers().end() &&
                        ahead->second.last.next_offset > cell().next_offset();
    if (!behind) {
        behind_since = now;
        return;
    }
    const auto member = cell().members().find(ahead->first);
    if (relay_in_flight || now - behind_since < behind_patience ||
        member == cell().members().end()) {
        return;
    }
    relay_in_flight = true;
    std::weak_ptr<bool> guard = alive;
    ports.peers.relay(
        member->second.peer_address, cell().next_offset(), relay_bytes,
        [this, guard](
            const std::optional<std::vector<backends::log_entry>>& entries) {
            if (guard.expired()) {
                return;
            }
            relay_in_flight = false;
            if (!entries || entries->empty()) {
                return;
            }
            const auto before = cell().next_offset();
            log.apply_relayed(*entries);
            relayed_entries.add(cell().next_offset() - before);
        });
}

} // namespace rosemarytrail::control
