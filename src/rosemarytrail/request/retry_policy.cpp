#include <rosemarytrail/request/retry_policy.hpp>

namespace rosemarytrail::request {

namespace {

/** @brief Minimum remaining time for another attempt. */
constexpr duration shortest_attempt{std::chrono::milliseconds{2}};

} // namespace

bool is_idempotent(std::string_view method) noexcept
{
    return method == "GET" || method == "HEAD" || method == "PUT" ||
           method == "DELETE";
}

bool may_retry(const retry_case& it) noexcept
{
    if (it.verdict == answer_verdict::whole || it.retried_by_caller) {
        return false;
    }
    if (it.attempts >= it.most_attempts || it.left < shortest_attempt) {
        return false;
    }
    return it.idempotent || surely_not_run(it.verdict);
}

} // namespace rosemarytrail::request
