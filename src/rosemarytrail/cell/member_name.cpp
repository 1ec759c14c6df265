#include <rosemarytrail/cell/member_name.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace rosemarytrail::cell {

std::string to_text(const member_name& it)
{
    return it.incarnation + "@" + it.address + "#" +
           std::to_string(it.cpu_millis) +
           (it.zone.empty() ? "" : "/" + it.zone);
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
    if (ec != std::errc{} || (last != end && *last != '/')) {
        return std::nullopt;
    }
    if (last != end) {
        result.zone.assign(last + 1, end);
    }
    return result;
}

std::int64_t start_unix_ms(const member_name& it)
{
    const std::string_view text{it.incarnation};
    const auto pid = text.rfind('-');
    if (pid == std::string_view::npos || pid == 0) {
        return 0;
    }
    const auto start = text.rfind('-', pid - 1);
    if (start == std::string_view::npos) {
        return 0;
    }
    std::int64_t result = 0;
    const auto [last, ec] =
        std::from_chars(text.data() + start + 1, text.data() + pid, result);
    return ec == std::errc{} && last == text.data() + pid ? result : 0;
}

std::int64_t largest_cpu_millis(std::span<const std::string> members)
{
    std::int64_t result = 0;
    for (const auto& it : members) {
        if (const auto name = parse_member_name(it)) {
            result = std::max(result, name->cpu_millis);
        }
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
    const auto largest = std::max(cpu_millis, largest_cpu_millis(members));
    return static_cast<double>(cpu_millis) >=
           min_share * static_cast<double>(largest);
}

} // namespace rosemarytrail::cell
