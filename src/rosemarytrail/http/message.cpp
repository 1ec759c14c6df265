#include <rosemarytrail/http/message.hpp>

#include <algorithm>

namespace rosemarytrail::http {

namespace {

[[nodiscard]] constexpr char to_lower(char c) noexcept
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

[[nodiscard]] bool same_name(std::string_view lhs,
                             std::string_view rhs) noexcept
{
    return std::equal(
        lhs.begin(), lhs.end(), rhs.begin(), rhs.end(),
        [](char a, char b) { return to_lower(a) == to_lower(b); });
}

} // namespace

std::optional<std::string_view> find_header(std::span<const header> headers,
                                            std::string_view name) noexcept
{
    for (const auto& it : headers) {
        if (same_name(it.name, name)) {
            return it.value;
        }
    }
    return std::nullopt;
}

std::optional<std::string_view> find_parameter(std::string_view query,
                                               std::string_view name) noexcept
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name) {
            return pair.substr(std::min(equals + 1, pair.size()));
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return std::nullopt;
}

} // namespace rosemarytrail::http
