#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_RETRY_BUDGET_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_RETRY_BUDGET_HPP

#include <rosemarytrail/core/time.hpp>

#include <algorithm>
#include <chrono>

namespace rosemarytrail::placement::internal {

/** @brief Token bucket that bounds how often retries may start. */
class retry_budget
{
public:
    /**
     * @param most Most tokens, and those at hand at first.
     * @param per_second Tokens that come back in a second.
     */
    retry_budget(double most, double per_second) noexcept
        : most_{most}
        , per_second_{per_second}
        , tokens_{most}
    {}

    /**
     * @brief Takes a token.
     * @param now Present time.
     * @return False if there is none.
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
        const std::chrono::duration<double> passed = now - last_;
        last_ = std::max(last_, now);
        if (passed.count() > 0.0) {
            tokens_ = std::min(most_, tokens_ + passed.count() * per_second_);
        }
    }

    double most_;
    double per_second_;
    double tokens_;
    time_point last_{};
};

} // namespace rosemarytrail::placement::internal

#endif
