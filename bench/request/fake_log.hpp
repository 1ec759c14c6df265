#ifndef ROSEMARYTRAIL_BENCH_REQUEST_FAKE_LOG_HPP
#define ROSEMARYTRAIL_BENCH_REQUEST_FAKE_LOG_HPP

#include "event_queue.hpp"
#include "owner.hpp"

#include <rosemarytrail/backends/log_client.hpp>
#include <rosemarytrail/standin/log_store.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace rosemarytrail::bench {

/** @brief Log as one entry VM sees it: late, lossy, sometimes down. */
class fake_log final : public backends::log_client
{
public:
    fake_log(event_queue& events, standin::log_store& store,
             std::shared_ptr<owner> self, std::uint64_t seed)
        : events_{events}
        , store_{store}
        , owner_{std::move(self)}
        , random_{seed}
    {}

    /** @brief Fraction of appends that take effect late, unanswered. */
    double late_effects{0.02};

    void append(std::string stream, std::string payload,
                std::function<void(backends::append_outcome)> done) override
    {
        const bool late = std::bernoulli_distribution{late_effects}(random_);
        const auto delay = late ? milliseconds(500, 3000) : milliseconds(1, 3);
        if (late) {
            answer(lost_after, [done] { done({}); });
        }
        events_.after(delay, [this, late, stream = std::move(stream),
                              payload = std::move(payload), done] {
            const auto result = store_.append(stream, payload, events_.now());
            if (late) {
                return;
            }
            answer(result.lost ? lost_after : milliseconds(1, 3), [done,
                                                                   result] {
                done(result.lost ? backends::append_outcome{} : result.outcome);
            });
        });
    }

    void read(backends::read_options options,
              std::function<void(backends::read_outcome)> done) override
    {
        const auto end = events_.now() + options.wait;
        events_.after(milliseconds(1, 3),
                      [this, options = std::move(options), done, end] {
                          poll(options, end, done);
                      });
    }

private:
    static constexpr duration lost_after{std::chrono::milliseconds{400}};
    static constexpr duration poll_period{std::chrono::milliseconds{4}};

    void poll(const backends::read_options& options, time_point end,
              const std::function<void(backends::read_outcome)>& done)
    {
        if (owner_->dead) {
            return;
        }
        auto result = store_.read(options);
        const bool empty = result.result == backends::read_result::read &&
                           result.entries.empty();
        if (empty && events_.now() < end) {
            events_.after(poll_period, [this, options, end, done] {
                poll(options, end, done);
            });
            return;
        }
        answer(milliseconds(1, 3),
               [done, result = std::move(result)] { done(result); });
    }

    void answer(duration delay, std::function<void()> event)
    {
        events_.after(delay, [self = owner_, event = std::move(event)] {
            self->deliver(event);
        });
    }

    duration milliseconds(int least, int most)
    {
        return std::chrono::milliseconds{
            std::uniform_int_distribution<int>{least, most}(random_)};
    }

    event_queue& events_;
    standin::log_store& store_;
    std::shared_ptr<owner> owner_;
    std::mt19937_64 random_;
};

} // namespace rosemarytrail::bench

#endif
