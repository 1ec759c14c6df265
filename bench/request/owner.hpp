#ifndef ROSEMARYTRAIL_BENCH_REQUEST_OWNER_HPP
#define ROSEMARYTRAIL_BENCH_REQUEST_OWNER_HPP

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace rosemarytrail::bench {

/** @brief Process that may be dead or paused; it gets its events or not. */
class owner
{
public:
    explicit owner(std::string text)
        : name{std::move(text)}
    {}

    /** @brief Runs an event, keeps it for later, or drops it. */
    void deliver(std::function<void()> event)
    {
        if (dead) {
            return;
        }
        if (paused) {
            held_.push_back(std::move(event));
            return;
        }
        event();
    }

    void resume()
    {
        paused = false;
        for (auto& it : std::exchange(held_, {})) {
            deliver(std::move(it));
        }
    }

    std::string name;
    bool dead{false};
    bool paused{false};

private:
    std::vector<std::function<void()>> held_;
};

} // namespace rosemarytrail::bench

#endif
