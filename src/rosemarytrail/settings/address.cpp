#include <rosemarytrail/settings/address.hpp>

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace rosemarytrail::settings {

namespace {

constexpr std::string_view scheme = "http://";

bool has_family(std::string_view text, int family)
{
    in6_addr buf{};
    return inet_pton(family, std::string{text}.c_str(), &buf) == 1;
}

bool is_port(std::string_view text) noexcept
{
    std::uint16_t port{};
    const auto* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, port);
    return ec == std::errc{} && stop == end && port != 0;
}

} // namespace

bool is_ip_number(std::string_view text)
{
    return text.find('\0') == std::string_view::npos &&
           (has_family(text, AF_INET) || has_family(text, AF_INET6));
}

bool is_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_port(text.substr(colon + 1))) {
        return false;
    }
    const auto host = text.substr(0, colon);
    const bool bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    return bracketed ? has_family(host.substr(1, host.size() - 2), AF_INET6)
                     : host.find('\0') == std::string_view::npos &&
                           has_family(host, AF_INET);
}

bool is_base_url(std::string_view text)
{
    return text.starts_with(scheme) && is_endpoint(text.substr(scheme.size()));
}

} // namespace rosemarytrail::settings
