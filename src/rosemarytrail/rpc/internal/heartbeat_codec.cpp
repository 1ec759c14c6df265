#include <rosemarytrail/rpc/internal/heartbeat_codec.hpp>

#include <rosemarytrail/rpc/internal/conversion.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::rpc::internal {

namespace {

bool same(const control::team_usage& lhs, const control::team_usage& rhs)
{
    return lhs.team == rhs.team && lhs.used == rhs.used &&
           lhs.queued == rhs.queued;
}

bool same(const control::service_endpoint& lhs,
          const control::service_endpoint& rhs)
{
    const auto& a = lhs.upstream;
    const auto& b = rhs.upstream;
    return lhs.service == rhs.service && a.vm == b.vm && a.zone == b.zone &&
           a.address == b.address && a.slots == b.slots &&
           a.connections == b.connections && a.busy_slots == b.busy_slots &&
           a.leaving == b.leaving;
}

template <typename Items>
bool same_items(const Items& lhs, const Items& rhs)
{
    return std::ranges::equal(
        lhs, rhs, [](const auto& a, const auto& b) { return same(a, b); });
}

bool same(const control::partition_summary& lhs,
          const control::partition_summary& rhs)
{
    return lhs.partition == rhs.partition && lhs.epoch == rhs.epoch &&
           lhs.free == rhs.free && lhs.capacity == rhs.capacity &&
           lhs.largest_room == rhs.largest_room && lhs.vms == rhs.vms &&
           lhs.queued_tasks == rhs.queued_tasks &&
           lhs.running_tasks == rhs.running_tasks &&
           lhs.settled == rhs.settled && same_items(lhs.teams, rhs.teams) &&
           same_items(lhs.endpoints, rhs.endpoints);
}

} // namespace

void heartbeat_encoder::write(wire::Heartbeat::Builder to,
                              const control::heartbeat& value)
{
    control::heartbeat changed{.sender = value.sender,
                               .next_offset = value.next_offset,
                               .draining = value.draining,
                               .partitions = {}};
    std::map<partition_id, control::partition_summary> sent;
    for (const auto& it : value.partitions) {
        const auto before = sent_.find(it.partition);
        if (last_ == 0 || before == sent_.end() || !same(before->second, it))
            changed.partitions.push_back(it);
        sent.emplace(it.partition, it);
    }
    internal::write(to, changed);
    to.setNumber(next_);
    to.setBase(last_);
    if (last_ != 0) {
        auto held = to.initHeld(static_cast<unsigned>(sent.size()));
        unsigned n = 0;
        for (const auto& [partition, it] : sent)
            held.set(n++, static_cast<std::uint16_t>(partition));
    }
    sent_ = std::move(sent);
    last_ = next_++;
}

std::optional<control::heartbeat>
heartbeat_decoder::read(wire::Heartbeat::Reader from)
{
    const auto base = from.getBase();
    const bool follows = base == 0 || base == last_;
    last_ = 0;
    auto value = internal::read(from);
    if (!follows || !value || from.getNumber() == 0)
        return std::nullopt;
    if (base == 0)
        known_.clear();
    for (const auto& it : value->partitions)
        known_[it.partition] = it;
    if (base != 0 && !restore_unchanged(from, *value))
        return std::nullopt;
    last_ = from.getNumber();
    return value;
}

/** Restores the partitions that a delta omits because they are unchanged. */
bool heartbeat_decoder::restore_unchanged(wire::Heartbeat::Reader from,
                                          control::heartbeat& value)
{
    std::map<partition_id, control::partition_summary> held;
    for (const partition_id it : from.getHeld()) {
        const auto known = known_.find(it);
        if (known == known_.end())
            return false;
        held.insert(*known);
    }
    value.partitions.clear();
    for (const auto& [partition, it] : held)
        value.partitions.push_back(it);
    known_ = std::move(held);
    return true;
}

} // namespace rosemarytrail::rpc::internal
