#ifndef ROSEMARYTRAIL_CELL_STORE_MONITOR_HPP
#define ROSEMARYTRAIL_CELL_STORE_MONITOR_HPP

#include <rosemarytrail/cell/ports.hpp>
#include <rosemarytrail/core/time.hpp>

#include <algorithm>
#include <memory>
#include <type_traits>

namespace rosemarytrail::cell {

/** @brief Store decorator that tracks whether calls are served. */
class store_monitor final : public store
{
public:
    /** @param target Store that is called; outlives the monitor. */
    explicit store_monitor(store& target);

    void append(append_request request,
                std::function<void(append_answer)> done) override;
    void read(const read_request& request,
              std::function<void(feed_page)> done) override;
    void newest(feed which, std::string_view after,
                std::function<void(newest_page)> done) override;
    void join(node_group group, std::string_view member,
              std::uint64_t generation, duration lifetime,
              std::function<void(membership)> done) override;
    void members(std::function<void(std::optional<std::vector<std::string>>)>
                     done) override;
    void leave(node_group group, std::string_view member,
               std::function<void(store_result)> done) override;

    /** @return Time at which the last served call was sent. */
    [[nodiscard]] time_point served() const noexcept { return times_->served; }

    /** @return Time at which the first call after the last outage was sent. */
    [[nodiscard]] time_point serving_since() const noexcept
    {
        return times_->serving_since;
    }

    /**
     * @brief Checks whether the store may be unreachable.
     * @param now Current time.
     * @param timeout Maximum time without a served call.
     * @return True if the last call failed or no call was served within the
     * timeout.
     */
    [[nodiscard]] bool is_suspect(time_point now,
                                  duration timeout) const noexcept
    {
        return times_->failed > times_->served ||
               now - times_->served > timeout;
    }

private:
    struct call_times
    {
        time_point served;
        time_point failed;
        time_point serving_since;
    };

    /** @brief A longer time without a served call counts as an outage; calls
     * are made several times a second. */
    static constexpr duration outage{std::chrono::milliseconds{1000}};

    /** @brief Wraps a callback so that its result is recorded. */
    template <typename Answer>
    [[nodiscard]] std::function<void(Answer)>
    observe(std::function<void(Answer)> done) const
    {
        return [call_times = times_, sent = boot_clock::now(),
                done = std::move(done)](Answer it) {
            record_result(*call_times, it, sent);
            done(std::move(it));
        };
    }

    template <typename Answer>
    static void record_result(call_times& to, const Answer& it, time_point sent)
    {
        const bool failed = it.result == store_result::unknown ||
                            it.result == store_result::refused;
        if constexpr (std::is_same_v<Answer, append_answer>) {
            log_slow(it, boot_clock::now() - sent);
        }
        if (!failed && sent - to.served > outage) {
            to.serving_since = sent;
        }
        auto& time = failed ? to.failed : to.served;
        time = std::max(time, sent);
    }

    static void log_slow(const append_answer& it, duration took);

    store& target_;
    std::shared_ptr<call_times> times_;
};

} // namespace rosemarytrail::cell

#endif
