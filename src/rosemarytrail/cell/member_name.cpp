#include <rosemarytrail/cell/member_name.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace rosemarytrail::cell {

std::string to_text(const member_name& it)
{
    return it.incarnation + "@" + it.address + "#" +
           std::to_string(it.cpu_millis);
}

std::optional<member_name> parse_member_name(std::string_view text)
{
    const auto at = text.rfind('@');
    const auto mark = text.rfind('#');
    if (at == std::string_view::npos || mark == std::string_view::npos ||
        mark < at) {
        return std::nullopt;
    }
    member_name result{.incarnation = std::string{text.substr(0, at)},
                       .address =
                           std::string{text.substr(at + 1, mark - at - 1)}};
    const auto* end = text.data() + text.size();
    const auto [last, ec] =
        std::from_chars(text.data() + mark + 1, end, result.cpu_millis);
    if (ec != std::errc{} || last != end) {
        return std::nullopt;
    }
    return result;
}

std::string address_of(std::string_view member)
{
    auto name = parse_member_name(member);
    return name ? std::move(name->address) : std::string{};
}

bool may_lead(std::span<const std::string> members, std::int64_t cpu_millis,
              double min_share)
{
    std::int64_t largest = cpu_millis;
    for (const auto& it : members) {
        if (const auto name = parse_member_name(it)) {
            largest = std::max(largest, name->cpu_millis);
        }
    }
    return static_cast<double>(cpu_millis) >=
           min_share * static_cast<double>(largest);
}

} // namespace rosemarytrail::cell
