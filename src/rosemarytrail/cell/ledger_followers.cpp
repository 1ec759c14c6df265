#include <rosemarytrail/cell/ledger_followers.hpp>

#include <rosemarytrail/cell/member_name.hpp>

#include <boost/functional/hash.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace rosemarytrail::cell {

duration listing_interval(const listing_options& options, bool follows,
                          duration since_start)
{
    if (since_start < options.settling_time) {
        return options.settling;
    }
    return follows ? options.follower : options.other;
}

std::vector<std::string>
newest_incarnations(std::span<const std::string> members)
{
    std::vector<std::string> result;
    std::map<std::string, std::pair<std::int64_t, std::string>> newest;
    for (const auto& it : members) {
        const auto name = parse_member_name(it);
        if (!name) {
            result.push_back(it);
            continue;
        }
        auto& slot = newest[name->address];
        slot = std::max(slot, std::pair{start_unix_ms(*name), it});
    }
    for (auto& [address, entry] : newest) {
        result.push_back(std::move(entry.second));
    }
    std::ranges::sort(result);
    return result;
}

std::vector<std::string> ledger_followers(std::span<const std::string> members,
                                          const follower_options& options)
{
    if (members.size() <= options.small_cell) {
        return {members.begin(), members.end()};
    }
    const auto min_cpu = options.min_cpu_share *
                         static_cast<double>(largest_cpu_millis(members));
    std::vector<std::pair<std::size_t, std::string>> order;
    for (const auto& it : members) {
        const auto name = parse_member_name(it);
        if (name && static_cast<double>(name->cpu_millis) >= min_cpu) {
            order.emplace_back(boost::hash<std::string>{}(name->address), it);
        }
    }
    std::ranges::sort(order);
    order.resize(std::min(order.size(), options.followers));
    std::vector<std::string> result;
    result.reserve(order.size());
    for (auto& [hash, name] : order) {
        result.push_back(std::move(name));
    }
    return result;
}

} // namespace rosemarytrail::cell
