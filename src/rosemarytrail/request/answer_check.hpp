#ifndef ROSEMARYTRAIL_REQUEST_ANSWER_CHECK_HPP
#define ROSEMARYTRAIL_REQUEST_ANSWER_CHECK_HPP

#include <rosemarytrail/core/result_code.hpp>
#include <rosemarytrail/http/client.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace rosemarytrail::request {

/** @brief What an upstream made of a request. */
enum class answer_verdict : std::uint8_t
{
    /** @brief Its own whole answer; may be given to the caller. */
    whole,
    /** @brief Whole, but says that the upstream failed: a status over 499. */
    failed,
    /** @brief Positively refused before running. */
    refused,
    /** @brief Never sent, so it did not run. */
    not_sent,
    /** @brief Bears another request id or none. */
    crossed,
    /** @brief Ended before it was whole, or too large. */
    cut_off,
    /** @brief Not there when the time was up. */
    late,
    /** @brief Whole, but older than the write that the caller has seen. */
    stale
};

/** @brief What an answer must satisfy. */
struct answer_demand
{
    /** @brief Id that the upstream was given. */
    std::string_view request_id;
    /** @brief Write offset that a read must have reached, if any. */
    std::optional<std::uint64_t> read_offset{};
    /** @brief Write offset that the upstream is known to have reached. */
    std::uint64_t known_offset{};
};

/**
 * @brief Judges the answer of an upstream.
 * @param result What the client reports.
 * @param demand What the answer must satisfy.
 * @return Verdict; only `whole` and `failed` may be given to the caller.
 */
[[nodiscard]] answer_verdict check_answer(const http::client_response& result,
                                          const answer_demand& demand);

/**
 * @brief Reads a header that holds an offset.
 * @param headers Headers to search.
 * @param name Name of the header.
 * @return The offset, or nothing if it is absent or malformed.
 */
[[nodiscard]] std::optional<std::uint64_t>
find_offset(std::span<const http::header> headers,
            std::string_view name) noexcept;

/**
 * @brief Tells whether it is certain that the request did not run.
 * @param verdict Verdict on the answer.
 * @return True for `refused` and `not_sent`.
 */
[[nodiscard]] constexpr bool surely_not_run(answer_verdict verdict) noexcept
{
    return verdict == answer_verdict::refused ||
           verdict == answer_verdict::not_sent;
}

/**
 * @brief Code that stands for a verdict in counters and refusals.
 * @param verdict Verdict on the answer.
 * @return Its code; `ok` for `whole`.
 */
[[nodiscard]] result_code code_of(answer_verdict verdict) noexcept;

} // namespace rosemarytrail::request

#endif
