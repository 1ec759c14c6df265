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

/** @brief How the control thread runs. */
struct control_thread_options
{
    /** @brief Most posted closures that wait. */
    std::size_t queue{1024};
    /** @brief Span between ticks. */
    duration tick{std::chrono::milliseconds{20}};
};

/** @brief What the control thread drives; it is made and ends there. */
class control_loop
{
public:
    virtual ~control_loop() = default;

    /**
     * @brief Does what is due.
     * @param now Present time.
     */
    virtual void tick(time_point now) = 0;
};

/**
 * @brief One POSIX thread with a kj event loop that owns all control state.
 *
 * Other threads reach it by closures. What callers ask for goes through a
 * bounded queue that refuses; results of calls that the control thread itself
 * made are bounded by those calls and are never refused.
 */
class control_thread
{
public:
    using closure = std::function<void()>;
    /** @brief Makes the loop on the control thread; null with a reason. */
    using loop_factory = std::function<std::unique_ptr<control_loop>(
        kj::AsyncIoContext&, reason&)>;

    /**
     * @brief Prepares the thread; it does not run yet.
     * @param options How it runs.
     * @param clock Present time; outlives the thread.
     * @param metrics Receives the counters; outlives the thread.
     */
    control_thread(const control_thread_options& options,
                   const time_source& clock, metrics::registry& metrics);
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;
    ~control_thread();

    /**
     * @brief Starts the thread and waits until its loop is made.
     * @param make Makes the loop.
     * @param why Set if false.
     * @return True if it runs.
     */
    [[nodiscard]] bool start(loop_factory make, reason& why);

    /**
     * @brief Posts what a caller asks for; any thread.
     * @param it Closure to run on the control thread.
     * @return False if the queue is full or the thread has ended.
     */
    [[nodiscard]] bool post(closure it);

    /**
     * @brief Posts the result of a call that the control thread made; any
     * thread. It is dropped if the thread has ended.
     * @param it Closure to run on the control thread.
     */
    void deliver(closure it);

    /** @brief Ends the loop and the thread; what is still posted is dropped. */
    void stop();

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

/**
 * @brief Makes a callback that runs another one on the control thread.
 * @tparam Result What the callback receives.
 * @param control Thread to run it on; outlives the callback.
 * @param done Callback to run there.
 * @return Callback for any thread.
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
