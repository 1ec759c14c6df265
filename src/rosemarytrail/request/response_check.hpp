#ifndef ROSEMARYTRAIL_REQUEST_RESPONSE_CHECK_HPP
#define ROSEMARYTRAIL_REQUEST_RESPONSE_CHECK_HPP

#include <rosemarytrail/core/result_code.hpp>
#include <rosemarytrail/http/client.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace rosemarytrail::request {

/** @brief Classification of the response of an upstream. */
enum class response_status : std::uint8_t
{
    /**
     * @brief Complete response to this request; may be forwarded to the caller.
     */
    whole,
    /** @brief Complete, but a server error: status 500 or above. */
    failed,
    /** @brief Explicitly rejected by the upstream before execution. */
    refused,
    /** @brief Never sent, so it was not executed. */
    not_sent,
    /** @brief Carries a different request id or none. */
    crossed,
    /** @brief Incomplete, or larger than allowed. */
    cut_off,
    /** @brief Not received before the timeout. */
    late,
    /** @brief Complete, but older than the write that the caller has seen. */
    stale
};

/** @brief Requirements on the response of an upstream. */
struct response_requirements
{
    /** @brief Request id that was sent to the upstream. */
    std::string_view request_id;
    /** @brief Write offset that the response to a read must include, if any. */
    std::optional<std::uint64_t> read_offset{};
    /** @brief Write offset that the upstream is known to have reached. */
    std::uint64_t known_offset{};
};

/**
 * @brief Classifies the response of an upstream.
 * @param result Result reported by the HTTP client.
 * @param requirements Requirements on the response.
 * @return Classification; only `whole` and `failed` responses may be forwarded
 * to the caller.
 */
[[nodiscard]] response_status
check_response(const http::client_response& result,
               const response_requirements& requirements);

/**
 * @brief Parses a header that contains an offset.
 * @param headers Headers to search.
 * @param name Name of the header.
 * @return The offset, or nothing if it is absent or malformed.
 */
[[nodiscard]] std::optional<std::uint64_t>
find_offset(std::span<const http::header> headers,
            std::string_view name) noexcept;

/**
 * @brief Checks whether the request was certainly not executed.
 * @param status Classification of the response.
 * @return True for `refused` and `not_sent`.
 */
[[nodiscard]] constexpr bool certainly_not_run(response_status status) noexcept
{
    return status == response_status::refused ||
           status == response_status::not_sent;
}

/**
 * @brief Returns the result code for a classification, as used in counters and
 * refusals.
 * @param status Classification of the response.
 * @return Result code; `ok` for `whole`.
 */
[[nodiscard]] result_code code_of(response_status status) noexcept;

} // namespace rosemarytrail::request

#endif
