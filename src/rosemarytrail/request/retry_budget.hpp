#ifndef ROSEMARYTRAIL_REQUEST_RETRY_BUDGET_HPP
#define ROSEMARYTRAIL_REQUEST_RETRY_BUDGET_HPP

#include <rosemarytrail/core/time.hpp>

#include <algorithm>

namespace rosemarytrail::request {

/** @brief Bounds of the retries of one service. */
struct retry_budget_options
{
    /** @brief Retries for each first attempt. */
    double fraction{0.1};
    /** @brief Most retries saved up; also what a new budget starts with. */
    double saved{10.0};
};

/**
 * @brief Holds the extra load by retries to a fraction of the requests.
 *
 * Over any window, retries are at most `fraction` times the requests plus
 * `saved`. Not for use by several threads at once.
 */
class retry_budget
{
public:
    /** @param options Bounds. */
    explicit retry_budget(const retry_budget_options& options) noexcept
        : options_{options}
        , tokens_{options.saved}
    {}

    /** @brief Notes a first attempt. */
    void note_request() noexcept
    {
        tokens_ = std::min(options_.saved, tokens_ + options_.fraction);
    }

    /** @return True if a retry may be made; it is counted. */
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
