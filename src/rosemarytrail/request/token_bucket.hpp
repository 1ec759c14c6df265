#ifndef ROSEMARYTRAIL_REQUEST_TOKEN_BUCKET_HPP
#define ROSEMARYTRAIL_REQUEST_TOKEN_BUCKET_HPP

#include <rosemarytrail/core/time.hpp>

#include <algorithm>

namespace rosemarytrail::request {

/** @brief Token bucket: limits a rate and its bursts. Not thread-safe. */
class token_bucket
{
public:
    /**
     * @brief Creates a full bucket.
     * @param rate Tokens per second.
     * @param burst Maximum number of tokens.
     * @param now Current time.
     */
    token_bucket(double rate, double burst, time_point now) noexcept
        : rate_{rate}
        , burst_{burst}
        , tokens_{burst}
        , filled_{now}
    {}

    /**
     * @brief Takes a token.
     * @param now Current time.
     * @return False if the bucket is empty.
     */
    [[nodiscard]] bool take(time_point now) noexcept
    {
        fill(now);
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

    /** @return Time from the last `take` until the next token is available. */
    [[nodiscard]] duration wait() const noexcept
    {
        const std::chrono::duration<double> missing{
            std::max(0.0, 1.0 - tokens_) / rate_};
        return std::chrono::ceil<duration>(missing);
    }

    /**
     * @brief Checks whether the bucket is full and thus equivalent to a new
     * one.
     * @param now Current time.
     * @return True if it is full.
     */
    [[nodiscard]] bool full(time_point now) const noexcept
    {
        auto copy = *this;
        copy.fill(now);
        return copy.tokens_ >= burst_;
    }

private:
    void fill(time_point now) noexcept
    {
        const std::chrono::duration<double> elapsed{now - filled_};
        if (elapsed.count() <= 0.0) {
            return;
        }
        tokens_ = std::min(burst_, tokens_ + elapsed.count() * rate_);
        filled_ = now;
    }

    double rate_;
    double burst_;
    double tokens_;
    time_point filled_;
};

} // namespace rosemarytrail::request

#endif
