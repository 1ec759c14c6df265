#include <rosemarytrail/standin/delay_queue.hpp>

#include <utility>

namespace rosemarytrail::standin {

delay_queue::delay_queue()
    : thread_{[this] {
        run();
    }}
{}

delay_queue::~delay_queue()
{
    stop();
}

void delay_queue::stop()
{
    {
        const std::lock_guard guard{lock_};
        stopping_ = true;
    }
    changed_.notify_one();
    if (thread_.joinable()) {
        thread_.join();
    }
    queue_.clear();
}

void delay_queue::run_after(duration delay, std::function<void()> function)
{
    if (delay <= duration::zero()) {
        function();
        return;
    }
    {
        const std::lock_guard guard{lock_};
        if (stopping_) {
            return;
        }
        queue_.emplace(boot_clock::now() + delay, std::move(function));
    }
    changed_.notify_one();
}

void delay_queue::run()
{
    std::unique_lock guard{lock_};
    while (!stopping_) {
        if (queue_.empty()) {
            changed_.wait(guard);
            continue;
        }
        const auto left = queue_.begin()->first - boot_clock::now();
        if (left > duration::zero()) {
            changed_.wait_for(guard, left);
            continue;
        }
        auto node = queue_.extract(queue_.begin());
        guard.unlock();
        node.mapped()();
        guard.lock();
    }
}

} // namespace rosemarytrail::standin
