#ifndef ROSEMARYTRAIL_DAEMON_CONTROL_THREAD_HPP
#define ROSEMARYTRAIL_DAEMON_CONTROL_THREAD_HPP

#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/core/time_source.hpp>
#include <rosemarytrail/metrics/registry.hpp>

#include <kj/async-io.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace rosemarytrail::daemon {

/** @brief Options of the control thread. */
struct control_thread_options
{
    /** @brief Maximum number of queued closures; further ones are refused. */
    std::size_t queue{1024};
    /** @brief Interval between ticks. */
    duration tick{std::chrono::milliseconds{20}};
};

/** @brief Loop run, constructed and destroyed on the control thread. */
class control_loop
{
public:
    virtual ~control_loop() = default;

    /**
     * @brief Runs all due work.
     * @param now Current time.
     */
    virtual void tick(time_point now) = 0;
};

/**
 * @brief One POSIX thread with a kj event loop that owns all control state.
 *
 * Other threads post closures to it. Closures of callers go through a bounded
 * queue and are refused if it is full. Results of calls that the control
 * thread itself made are bounded by those calls and never refused.
 */
class control_thread
{
public:
    using closure = std::function<void()>;
    /** @brief Creates the loop on the control thread; null with a reason. */
    using loop_factory = std::function<std::unique_ptr<control_loop>(
        kj::AsyncIoContext&, reason&)>;

    /**
     * @brief Constructs a thread that is not started.
     * @param options Options.
     * @param clock Time source; outlives the thread.
     * @param metrics Receives the counters; outlives the thread.
     */
    control_thread(const control_thread_options& options,
                   const time_source& clock, metrics::registry& metrics);
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;
    ~control_thread();

    /**
     * @brief Starts the thread and waits until its loop is created.
     * @param make Creates the loop.
     * @param why Reason; set only if false is returned.
     * @return True if it was started.
     */
    [[nodiscard]] bool start(loop_factory make, reason& why);

    /**
     * @brief Posts a closure on behalf of a caller. Thread-safe.
     * @param it Closure to run on the control thread.
     * @return False if the queue is full or the thread has stopped.
     */
    [[nodiscard]] bool post(closure it);

    /**
     * @brief Posts the result of a call that the control thread made; any
     * thread may call it. The closure is dropped if the thread has stopped.
     * @param it Closure to run on the control thread.
     */
    void deliver(closure it);

    /** @brief Stops the loop and the thread; queued closures are dropped. */
    void stop();

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

/**
 * @brief Wraps a callback so that it runs on the control thread.
 * @tparam Result Argument type of the callback.
 * @param control Control thread; outlives the callback.
 * @param done Callback to wrap.
 * @return Callback that any thread may call.
 */
template <typename Result>
[[nodiscard]] std::function<void(Result)>
deliver_on(control_thread& control, std::function<void(Result)> done)
{
    return [&control, done = std::move(done)](Result value) {
        control.deliver([done, value = std::move(value)]() { done(value); });
    };
}

} // namespace rosemarytrail::daemon

#endif
