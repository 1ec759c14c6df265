#include <rosemarytrail/cell/relay_plan.hpp>

#include <rosemarytrail/cell/member_name.hpp>

#include <boost/functional/hash.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace rosemarytrail::cell {

namespace {

/** @brief Member ordered by CPU share, the largest first, then by hash. */
struct ranked_member
{
    std::int64_t cpu_millis{};
    std::size_t hash{};
    std::string name;

    friend bool operator<(const ranked_member& a, const ranked_member& b)
    {
        return std::tie(b.cpu_millis, a.hash, a.name) <
               std::tie(a.cpu_millis, b.hash, b.name);
    }
};

using ranked_members = std::vector<ranked_member>;

} // namespace

std::size_t relay_message_bytes(double link_mbps)
{
    constexpr double min_bytes = 8192;
    constexpr double max_bytes = 131072;
    // Messages to several relays share the link.
    constexpr double link_time_s = 0.04;
    constexpr double bytes_per_mbit = 125000;
    return static_cast<std::size_t>(std::clamp(
        link_mbps * bytes_per_mbit * link_time_s, min_bytes, max_bytes));
}

relay_assignment assign_relays(std::span<const fleet::worker_vm> vms,
                               std::span<const std::string> members,
                               std::string_view leader,
                               const relay_plan_options& options)
{
    relay_assignment result;
    if (vms.size() <= options.direct_workers) {
        return result;
    }
    // The list may still name an earlier incarnation of the leader.
    const auto leader_address = address_of(leader);
    ranked_members all;
    std::map<std::string, ranked_members> by_zone;
    for (const auto& it : members) {
        const auto name = parse_member_name(it);
        if (!name || name->address == leader_address) {
            continue;
        }
        ranked_member ranked{.cpu_millis = name->cpu_millis,
                             .hash = boost::hash<std::string>{}(it),
                             .name = it};
        by_zone[name->zone].push_back(ranked);
        all.push_back(std::move(ranked));
    }
    if (all.empty()) {
        return result;
    }
    std::sort(all.begin(), all.end());
    for (auto& [zone, ranked] : by_zone) {
        std::sort(ranked.begin(), ranked.end());
    }
    std::map<std::string, std::size_t> workers_in;
    for (const auto& it : vms) {
        ++workers_in[it.zone];
    }
    for (const auto& it : vms) {
        const auto found = by_zone.find(it.zone);
        const auto& relays = found == by_zone.end() ? all : found->second;
        const auto needed =
            (workers_in[it.zone] + options.workers_per_relay - 1) /
            options.workers_per_relay;
        const auto n = std::min(needed, relays.size());
        result.emplace(it.id,
                       relays[boost::hash<std::string>{}(it.id) % n].name);
    }
    return result;
}

} // namespace rosemarytrail::cell
