#ifndef ROSEMARYTRAIL_RPC_INTERNAL_SOCKET_ADDRESS_HPP
#define ROSEMARYTRAIL_RPC_INTERNAL_SOCKET_ADDRESS_HPP

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarytrail::rpc::internal {

/** @brief Address for the system calls. */
struct socket_address
{
    sockaddr_storage storage{};
    socklen_t size{};
};

/**
 * @brief Creates an address from an IP address and a port, without a DNS
 * lookup.
 * @param ip IPv4 or IPv6 address.
 * @param port Port.
 * @return The address, or nothing if `ip` is not an IP address.
 */
[[nodiscard]] std::optional<socket_address>
make_socket_address(const std::string& ip, std::uint16_t port);

/**
 * @brief Parses an address such as `127.0.0.1:7000` or `[::1]:7000`.
 * @param text Address to parse.
 * @return The address, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<socket_address>
parse_socket_address(std::string_view text);

} // namespace rosemarytrail::rpc::internal

#endif
