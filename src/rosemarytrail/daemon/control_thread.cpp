#include <rosemarytrail/daemon/control_thread.hpp>

#include <kj/async-unix.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace rosemarytrail::daemon {

namespace {

/** Linux eventfd that wakes the event loop. */
class wake_event
{
public:
    wake_event()
        : descriptor_{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)}
    {}
    wake_event(const wake_event&) = delete;
    wake_event& operator=(const wake_event&) = delete;
    ~wake_event()
    {
        if (descriptor_ >= 0)
            close(descriptor_);
    }

    [[nodiscard]] int descriptor() const noexcept { return descriptor_; }

    void raise() const noexcept
    {
        const std::uint64_t one = 1;
        // Fails only if the event is already signalled.
        [[maybe_unused]] const auto n = write(descriptor_, &one, sizeof one);
    }

    void clear() const noexcept
    {
        std::uint64_t count{};
        // Fails only if the event is not signalled.
        [[maybe_unused]] const auto n = read(descriptor_, &count, sizeof count);
    }

private:
    int descriptor_;
};

enum class run_state : std::uint8_t
{
    idle,
    running,
    failed,
    ended
};

} // namespace

struct control_thread::internal_state
{
    internal_state(const control_thread_options& how, const time_source& source,
                   metrics::registry& metrics)
        : options{how}
        , clock{source}
        , refused{metrics.make_counter(
              "rosemarytrail_control_queue_refused_total",
              "Calls refused because the control queue was full.")}
        , depth{metrics.make_gauge("rosemarytrail_control_queue_depth",
                                   "Closures that wait for the control "
                                   "thread.")}
        , lateness{metrics.make_summary(
              "rosemarytrail_control_tick_lateness",
              "Time by which ticks of the control thread were late.")}
    {}

    bool put(closure it, bool bounded)
    {
        {
            const std::lock_guard lock{mutex};
            if (state == run_state::ended || state == run_state::failed)
                return false;
            if (bounded && calls >= options.queue)
                return false;
            calls += bounded ? 1 : 0;
            queue.push_back({.run = std::move(it), .bounded = bounded});
        }
        wake.raise();
        return true;
    }

    void drain()
    {
        wake.clear();
        std::vector<entry> batch;
        {
            const std::lock_guard lock{mutex};
            batch.swap(queue);
            calls = 0;
            if (stopping)
                stopped->fulfill();
        }
        depth.set(static_cast<std::int64_t>(batch.size()));
        for (auto& it : batch)
            it.run();
    }

    kj::Promise<void> drain_forever(kj::UnixEventPort::FdObserver& observer)
    {
        return observer.whenBecomesReadable().then([this, &observer] {
            drain();
            return drain_forever(observer);
        });
    }

    kj::Promise<void> tick_forever(kj::Timer& timer, control_loop& loop)
    {
        const auto span = options.tick.count() * kj::MICROSECONDS;
        const auto due = clock.now() + options.tick;
        return timer.afterDelay(span).then([this, &timer, &loop, due] {
            const auto now = clock.now();
            lateness.add(now - due);
            loop.tick(now);
            return tick_forever(timer, loop);
        });
    }

    void set_state(run_state value)
    {
        const std::lock_guard lock{mutex};
        state = value;
        changed.notify_all();
    }

    void run(const loop_factory& make, reason& why)
    {
        auto context = kj::setupAsyncIo();
        auto loop = make(context, why);
        if (!loop)
            return set_state(run_state::failed);
        kj::UnixEventPort::FdObserver observer{
            context.unixEventPort, wake.descriptor(),
            kj::UnixEventPort::FdObserver::OBSERVE_READ};
        auto& timer = context.provider->getTimer();
        set_state(run_state::running);
        // An exception ends the process: control state may be corrupt, and a
        // new incarnation rebuilds it from the log.
        auto ending = kj::newPromiseAndFulfiller<void>();
        stopped = kj::mv(ending.fulfiller);
        ending.promise.exclusiveJoin(drain_forever(observer))
            .exclusiveJoin(tick_forever(timer, *loop))
            .wait(context.waitScope);
        set_state(run_state::ended);
        // Posted closures refer to the loop, so they are destroyed first.
        std::vector<entry> dropped;
        const std::lock_guard lock{mutex};
        dropped.swap(queue);
    }

    struct entry
    {
        closure run;
        /** Whether the closure counts towards the queue limit. */
        bool bounded{};
    };

    control_thread_options options;
    const time_source& clock;
    metrics::counter& refused;
    metrics::gauge& depth;
    metrics::summary& lateness;
    wake_event wake;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<entry> queue;
    std::size_t calls{0};
    run_state state{run_state::idle};
    bool stopping{false};
    /** Stops the loop; owned by the control thread. */
    kj::Own<kj::PromiseFulfiller<void>> stopped;
    std::thread thread;
};

control_thread::control_thread(const control_thread_options& options,
                               const time_source& clock,
                               metrics::registry& metrics)
    : state_{std::make_unique<internal_state>(options, clock, metrics)}
{}

control_thread::~control_thread()
{
    stop();
}

bool control_thread::start(loop_factory make, reason& why)
{
    auto& self = *state_;
    self.thread = std::thread{[&self, make = std::move(make), &why] {
        self.run(make, why);
    }};
    std::unique_lock lock{self.mutex};
    self.changed.wait(lock, [&] { return self.state != run_state::idle; });
    return self.state == run_state::running;
}

bool control_thread::post(closure it)
{
    const bool accepted = state_->put(std::move(it), true);
    if (!accepted)
        state_->refused.add();
    return accepted;
}

void control_thread::deliver(closure it)
{
    state_->put(std::move(it), false);
}

void control_thread::stop()
{
    {
        const std::lock_guard lock{state_->mutex};
        state_->stopping = true;
    }
    state_->wake.raise();
    if (state_->thread.joinable())
        state_->thread.join();
}

} // namespace rosemarytrail::daemon
