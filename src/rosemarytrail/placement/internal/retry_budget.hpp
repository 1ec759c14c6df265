#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_RETRY_BUDGET_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_RETRY_BUDGET_HPP

#include <rosemarytrail/core/time.hpp>

#include <algorithm>
#include <chrono>

namespace rosemarytrail::placement::internal {

/** @brief Token bucket that limits the rate of retries. */
class retry_budget
{
public:
    /**
     * @param max_tokens Capacity of the bucket, which is full at first.
     * @param per_second Refill rate, in tokens per second.
     */
    retry_budget(double max_tokens, double per_second) noexcept
        : max_tokens_{max_tokens}
        , per_second_{per_second}
        , tokens_{max_tokens}
    {}

    /**
     * @brief Takes a token.
     * @param now Current time.
     * @return False if the bucket is empty.
     */
    [[nodiscard]] bool take(time_point now) noexcept
    {
        refill(now);
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    void refill(time_point now) noexcept
    {
        const std::chrono::duration<double> elapsed = now - last_;
        last_ = std::max(last_, now);
        if (elapsed.count() > 0.0) {
            tokens_ =
                std::min(max_tokens_, tokens_ + elapsed.count() * per_second_);
        }
    }

    double max_tokens_;
    double per_second_;
    double tokens_;
    time_point last_{};
};

} // namespace rosemarytrail::placement::internal

#endif
