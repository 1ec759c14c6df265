#ifndef ROSEMARYTRAIL_RPC_INTERNAL_SOCKET_ADDRESS_HPP
#define ROSEMARYTRAIL_RPC_INTERNAL_SOCKET_ADDRESS_HPP

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarytrail::rpc::internal {

/** @brief Address as the system's calls take it. */
struct socket_address
{
    sockaddr_storage storage{};
    socklen_t size{};
};

/**
 * @brief Reads an IP number and a port; names are not looked up.
 * @param ip IP number of version 4 or 6.
 * @param port Port.
 * @return The address, or nothing if it is no IP number.
 */
[[nodiscard]] std::optional<socket_address>
make_socket_address(const std::string& ip, std::uint16_t port);

/**
 * @brief Reads an address such as `127.0.0.1:7000` or `[::1]:7000`.
 * @param text Address to read.
 * @return The address, or nothing if it has no such form.
 */
[[nodiscard]] std::optional<socket_address>
parse_socket_address(std::string_view text);

} // namespace rosemarytrail::rpc::internal

#endif
