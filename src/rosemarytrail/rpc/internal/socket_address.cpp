#include <rosemarytrail/rpc/internal/socket_address.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <cstring>

namespace rosemarytrail::rpc::internal {

namespace {

template <typename Address>
socket_address to_storage(const Address& value)
{
    socket_address it;
    std::memcpy(&it.storage, &value, sizeof value);
    it.size = sizeof value;
    return it;
}

} // namespace

std::optional<socket_address> make_socket_address(const std::string& ip,
                                                  std::uint16_t port)
{
    sockaddr_in ipv4{};
    if (inet_pton(AF_INET, ip.c_str(), &ipv4.sin_addr) == 1) {
        ipv4.sin_family = AF_INET;
        ipv4.sin_port = htons(port);
        return to_storage(ipv4);
    }
    sockaddr_in6 ipv6{};
    if (inet_pton(AF_INET6, ip.c_str(), &ipv6.sin6_addr) == 1) {
        ipv6.sin6_family = AF_INET6;
        ipv6.sin6_port = htons(port);
        return to_storage(ipv6);
    }
    return std::nullopt;
}

std::optional<socket_address> parse_socket_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    const auto digits = text.substr(colon + 1);
    std::uint16_t port{};
    const auto* const end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || port == 0)
        return std::nullopt;
    return make_socket_address(std::string{ip}, port);
}

} // namespace rosemarytrail::rpc::internal
