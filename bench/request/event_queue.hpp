#ifndef ROSEMARYTRAIL_BENCH_REQUEST_EVENT_QUEUE_HPP
#define ROSEMARYTRAIL_BENCH_REQUEST_EVENT_QUEUE_HPP

#include <rosemarytrail/core/time_source.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace rosemarytrail::bench {

/** @brief Virtual time and what happens in it, in order. */
class event_queue final : public time_source
{
public:
    [[nodiscard]] time_point now() const noexcept override { return now_; }

    /** @brief Adds an event after a span of time. */
    void after(duration span, std::function<void()> event)
    {
        events_.emplace(std::pair{now_ + span, next_++}, std::move(event));
    }

    /** @brief Lets time pass; events may add further ones. */
    void run_until(time_point end)
    {
        while (!events_.empty() && events_.begin()->first.first <= end) {
            auto node = events_.extract(events_.begin());
            now_ = node.key().first;
            node.mapped()();
        }
        now_ = end;
    }

private:
    time_point now_{std::chrono::seconds{1000}};
    std::uint64_t next_{};
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>>
        events_;
};

} // namespace rosemarytrail::bench

#endif
