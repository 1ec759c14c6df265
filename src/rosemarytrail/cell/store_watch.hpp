#ifndef ROSEMARYTRAIL_CELL_STORE_WATCH_HPP
#define ROSEMARYTRAIL_CELL_STORE_WATCH_HPP

#include <rosemarytrail/cell/ports.hpp>
#include <rosemarytrail/core/time.hpp>

#include <algorithm>
#include <memory>
#include <type_traits>

namespace rosemarytrail::cell {

/** @brief Store that remembers whether its calls are served. */
class store_watch final : public store
{
public:
    /** @param target Store that is called; outlives the watch. */
    explicit store_watch(store& target);

    void append(append_request request,
                std::function<void(append_answer)> done) override;
    void read(feed which, std::int64_t from, duration wait,
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

    /** @return When the latest call that was served was sent. */
    [[nodiscard]] time_point served() const noexcept { return marks_->served; }

    /**
     * @brief Tells whether the store seems out of reach.
     * @param now Present time.
     * @param silence Longest time without a served call.
     * @return True if the latest call failed or none was served for long.
     */
    [[nodiscard]] bool doubtful(time_point now, duration silence) const noexcept
    {
        return marks_->failed > marks_->served ||
               now - marks_->served > silence;
    }

private:
    struct marks
    {
        time_point served;
        time_point failed;
    };

    /** @brief Wraps a callback so that its result is noted. */
    template <typename Answer>
    [[nodiscard]] std::function<void(Answer)>
    watch(std::function<void(Answer)> done) const
    {
        return [marks = marks_, sent = boot_clock::now(),
                done = std::move(done)](Answer it) {
            note(*marks, it, sent);
            done(std::move(it));
        };
    }

    template <typename Answer>
    static void note(marks& to, const Answer& it, time_point sent)
    {
        const bool failed = it.result == store_result::unknown ||
                            it.result == store_result::refused;
        if constexpr (std::is_same_v<Answer, append_answer>) {
            note_slow(it, boot_clock::now() - sent);
        }
        auto& mark = failed ? to.failed : to.served;
        mark = std::max(mark, sent);
    }

    static void note_slow(const append_answer& it, duration took);

    store& target_;
    std::shared_ptr<marks> marks_;
};

} // namespace rosemarytrail::cell

#endif
