#ifndef ROSEMARYTRAIL_HTTP_MESSAGE_HPP
#define ROSEMARYTRAIL_HTTP_MESSAGE_HPP

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::http {

/** @brief One header line. */
struct header
{
    std::string name;
    std::string value;
};

/** @brief Request as received by a server. */
struct request
{
    std::string method;
    /** @brief Path without the query, not percent-decoded. */
    std::string path;
    /** @brief Query without the question mark, not percent-decoded. */
    std::string query;
    std::vector<header> headers;
    std::string body;
};

/** @brief Complete response to a request. */
struct response
{
    int status{200};
    std::vector<header> headers;
    std::string body;
};

/**
 * @brief Finds a header; names are case-insensitive.
 * @param headers Headers to search.
 * @param name Name to look for.
 * @return Value of the first match, or nothing.
 */
[[nodiscard]] std::optional<std::string_view>
find_header(std::span<const header> headers, std::string_view name) noexcept;

/**
 * @brief Finds a parameter in a query such as `from=3&wait_ms=100`.
 * @param query Query to search.
 * @param name Name of the parameter.
 * @return Its value, not percent-decoded, or nothing.
 */
[[nodiscard]] std::optional<std::string_view>
find_parameter(std::string_view query, std::string_view name) noexcept;

} // namespace rosemarytrail::http

#endif
