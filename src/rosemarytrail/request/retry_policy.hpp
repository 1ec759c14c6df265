#ifndef ROSEMARYTRAIL_REQUEST_RETRY_POLICY_HPP
#define ROSEMARYTRAIL_REQUEST_RETRY_POLICY_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/request/response_check.hpp>

#include <cstdint>
#include <string_view>

namespace rosemarytrail::request {

/**
 * @brief Checks whether a method is idempotent.
 * @param method HTTP method.
 * @return True for GET, HEAD, PUT and DELETE.
 */
[[nodiscard]] bool is_idempotent(std::string_view method) noexcept;

/** @brief Inputs of the retry decision, except for the budget. */
struct retry_context
{
    bool idempotent{};
    response_status status{response_status::whole};
    /** @brief Attempts made so far. */
    std::uint32_t attempts{1};
    /** @brief Maximum number of attempts. */
    std::uint32_t max_attempts{3};
    /** @brief The caller marked its request with `X-Retried`. */
    bool retried_by_caller{false};
    /** @brief Time remaining until the caller's deadline. */
    duration remaining{};
};

/**
 * @brief Checks whether another attempt is safe and useful.
 *
 * Idempotent requests may be retried after any fault; others only if they were
 * certainly not executed.
 * @param it Inputs of the decision.
 * @return True if a retry is allowed, subject to the retry budget.
 */
[[nodiscard]] bool may_retry(const retry_context& it) noexcept;

} // namespace rosemarytrail::request

#endif
