#ifndef ROSEMARYTRAIL_STANDIN_DELAY_QUEUE_HPP
#define ROSEMARYTRAIL_STANDIN_DELAY_QUEUE_HPP

#include <rosemarytrail/core/time.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace rosemarytrail::standin {

/** @brief Thread that runs functions later; what is left at its end is not. */
class delay_queue
{
public:
    delay_queue();
    delay_queue(const delay_queue&) = delete;
    delay_queue& operator=(const delay_queue&) = delete;
    ~delay_queue();

    /**
     * @brief Runs a function later; at once and here if there is no delay.
     * @param delay Time until then.
     * @param function Function to run.
     */
    void run_after(duration delay, std::function<void()> function);

    /** @brief Runs nothing any more; drops what is left. */
    void stop();

private:
    void run();

    std::mutex lock_;
    std::condition_variable changed_;
    std::multimap<time_point, std::function<void()>> queue_;
    bool stopping_{false};
    std::thread thread_;
};

} // namespace rosemarytrail::standin

#endif
