#ifndef ROSEMARYTRAIL_REQUEST_RETRY_POLICY_HPP
#define ROSEMARYTRAIL_REQUEST_RETRY_POLICY_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/request/answer_check.hpp>

#include <cstdint>
#include <string_view>

namespace rosemarytrail::request {

/**
 * @brief Tells whether a method may run twice without harm.
 * @param method Method of a request.
 * @return True for GET, HEAD, PUT and DELETE.
 */
[[nodiscard]] bool is_idempotent(std::string_view method) noexcept;

/** @brief What the decision on a retry depends on, but for the budget. */
struct retry_case
{
    bool idempotent{};
    answer_verdict verdict{answer_verdict::whole};
    /** @brief Attempts made so far. */
    std::uint32_t attempts{1};
    /** @brief Most attempts. */
    std::uint32_t most_attempts{3};
    /** @brief The caller marked its request with `X-Retried`. */
    bool retried_by_caller{false};
    /** @brief Time until the caller's deadline. */
    duration left{};
};

/**
 * @brief Decides whether another attempt is safe and of use.
 *
 * Idempotent requests may be tried again after any fault; others only if it is
 * certain that they did not run.
 * @param it What it depends on.
 * @return True if the budget should be asked for a retry.
 */
[[nodiscard]] bool may_retry(const retry_case& it) noexcept;

} // namespace rosemarytrail::request

#endif
