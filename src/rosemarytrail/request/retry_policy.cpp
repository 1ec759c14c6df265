#include <rosemarytrail/request/retry_policy.hpp>

namespace rosemarytrail::request {

namespace {

/** @brief Minimum remaining time for another attempt. */
constexpr duration min_attempt_time{std::chrono::milliseconds{2}};

} // namespace

bool is_idempotent(std::string_view method) noexcept
{
    return method == "GET" || method == "HEAD" || method == "PUT" ||
           method == "DELETE";
}

bool may_retry(const retry_context& it) noexcept
{
    if (it.status == response_status::whole || it.retried_by_caller) {
        return false;
    }
    if (it.attempts >= it.max_attempts || it.remaining < min_attempt_time) {
        return false;
    }
    return it.idempotent || certainly_not_run(it.status);
}

} // namespace rosemarytrail::request
