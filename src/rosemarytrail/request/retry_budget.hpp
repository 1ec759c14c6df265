#ifndef ROSEMARYTRAIL_REQUEST_RETRY_BUDGET_HPP
#define ROSEMARYTRAIL_REQUEST_RETRY_BUDGET_HPP

#include <rosemarytrail/core/time.hpp>

#include <algorithm>

namespace rosemarytrail::request {

/** @brief Retry limits of one service. */
struct retry_budget_options
{
    /** @brief Retries earned by each first attempt. */
    double fraction{0.1};
    /** @brief Maximum accumulated retries; also the initial balance. */
    double burst{10.0};
};

/**
 * @brief Limits the extra load from retries to a fraction of the requests.
 *
 * Over any window, retries are at most `fraction` times the requests plus
 * `burst`. Not thread-safe.
 */
class retry_budget
{
public:
    /** @param options Limits. */
    explicit retry_budget(const retry_budget_options& options) noexcept
        : options_{options}
        , tokens_{options.burst}
    {}

    /** @brief Records a first attempt. */
    void record_request() noexcept
    {
        tokens_ = std::min(options_.burst, tokens_ + options_.fraction);
    }

    /** @return True if a retry is allowed; it is deducted from the budget. */
    [[nodiscard]] bool take() noexcept
    {
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    retry_budget_options options_;
    double tokens_;
};

} // namespace rosemarytrail::request

#endif
