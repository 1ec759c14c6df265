#ifndef ROSEMARYTRAIL_SETTINGS_ADDRESS_HPP
#define ROSEMARYTRAIL_SETTINGS_ADDRESS_HPP

#include <string_view>

namespace rosemarytrail::settings {

/**
 * @brief Tells whether a text is an IP number; names are never resolved.
 * @param text Text to check.
 * @return True for an IPv4 or IPv6 number.
 */
[[nodiscard]] bool is_ip_number(std::string_view text);

/** @brief What `is_ip_number` accepts, for people. */
inline constexpr std::string_view ip_number_allowed = "an IP number";

/**
 * @brief Tells whether a text is an IP number with a port.
 * @param text Text such as `127.0.0.1:8080` or `[::1]:8080`.
 * @return True if the number is one and the port is 1 to 65535.
 */
[[nodiscard]] bool is_endpoint(std::string_view text);

/** @brief What `is_endpoint` accepts, for people. */
inline constexpr std::string_view endpoint_allowed =
    "ip:port, with a port from 1 to 65535";

/**
 * @brief Tells whether a text is the base address of an HTTP service.
 * @param text Text such as `http://127.0.0.1:8080`, without a path.
 * @return True if it is `http://` and an endpoint.
 */
[[nodiscard]] bool is_base_url(std::string_view text);

/** @brief What `is_base_url` accepts, for people. */
inline constexpr std::string_view base_url_allowed =
    "http://ip:port, with a port from 1 to 65535 and no path";

} // namespace rosemarytrail::settings

#endif
