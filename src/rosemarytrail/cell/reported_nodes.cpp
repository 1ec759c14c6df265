#include <rosemarytrail/cell/reported_nodes.hpp>

#include <rosemarytrail/cell/ledger_followers.hpp>
#include <rosemarytrail/cell/member_name.hpp>

#include <algorithm>
#include <optional>

namespace rosemarytrail::cell {

namespace {

/** @return True for an IP address and port: messages are sent there. */
[[nodiscard]] bool is_address(std::string_view text)
{
    constexpr std::string_view allowed =
        "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.-:[]";
    const auto colon = text.rfind(':');
    return colon != std::string_view::npos && colon > 0 &&
           colon + 1 < text.size() &&
           text.find_first_not_of(allowed) == std::string_view::npos &&
           text.substr(colon + 1).find_first_not_of("0123456789") ==
               std::string_view::npos;
}

} // namespace

report_result reported_nodes::add(std::string_view member, time_point now)
{
    const auto name = member.size() <= options_.max_name_length
                          ? parse_member_name(member)
                          : std::nullopt;
    if (!name || name->incarnation.empty() || !is_address(name->address)) {
        return report_result::malformed;
    }
    const auto until = now + options_.validity;
    if (const auto it = nodes_.find(name->address); it != nodes_.end()) {
        const bool same = it->second.member == member;
        it->second = {.member = std::string{member}, .until = until};
        return same ? report_result::renewed : report_result::added;
    }
    if (nodes_.size() >= options_.max_nodes) {
        return report_result::too_many;
    }
    nodes_.emplace(name->address, reported_node{.member = std::string{member},
                                                .until = until});
    return report_result::added;
}

std::size_t reported_nodes::drop_expired(time_point now)
{
    return std::erase_if(
        nodes_, [now](const auto& it) { return it.second.until <= now; });
}

std::vector<std::string>
reported_nodes::add_to(std::span<const std::string> members) const
{
    std::vector<std::string> all{members.begin(), members.end()};
    for (const auto& [address, it] : nodes_) {
        all.push_back(it.member);
    }
    auto result = newest_incarnations(all);
    std::stable_partition(result.begin(), result.end(),
                          [members](const std::string& it) {
                              return !std::ranges::binary_search(members, it);
                          });
    return result;
}

} // namespace rosemarytrail::cell
