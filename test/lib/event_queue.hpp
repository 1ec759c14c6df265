#ifndef ROSEMARYTRAIL_TEST_LIB_EVENT_QUEUE_HPP
#define ROSEMARYTRAIL_TEST_LIB_EVENT_QUEUE_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/core/time_source.hpp>

#include <functional>
#include <map>
#include <utility>

namespace rosemarytrail::test {

/** @brief Virtual time, and calls that are due at some moment of it. */
class event_queue final : public time_source
{
public:
    [[nodiscard]] time_point now() const noexcept override { return now_; }

    /**
     * @brief Runs a call later.
     * @param delay Span from now.
     * @param call What to run.
     */
    void after(duration delay, std::function<void()> call)
    {
        calls_.emplace(now_ + delay, std::move(call));
    }

    /**
     * @brief Runs all calls due up to a moment, in order.
     * @param until The moment; it becomes the present time.
     */
    void run_until(time_point until)
    {
        while (!calls_.empty() && calls_.begin()->first <= until) {
            auto node = calls_.extract(calls_.begin());
            now_ = std::max(now_, node.key());
            node.mapped()();
        }
        now_ = until;
    }

private:
    // Well above zero: a boot clock never starts at its epoch.
    time_point now_{std::chrono::hours{1}};
    std::multimap<time_point, std::function<void()>> calls_;
};

} // namespace rosemarytrail::test

#endif
