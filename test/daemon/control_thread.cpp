#include <rosemarytrail/daemon/control_thread.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>
#include <vector>

namespace rosemarytrail::daemon {

namespace {

struct idle_loop final : control_loop
{
    explicit idle_loop(std::atomic<int>& count)
        : ticks{count}
    {}
    void tick(time_point) override { ++ticks; }
    std::atomic<int>& ticks;
};

struct fixture
{
    explicit fixture(std::size_t queue)
        : thread{{.queue = queue, .tick = std::chrono::milliseconds{1}},
                 clock,
                 metrics}
    {
        reason why;
        REQUIRE(thread.start(
            [this](kj::AsyncIoContext&, reason&) {
                return std::make_unique<idle_loop>(ticks);
            },
            why));
    }

    std::atomic<int> ticks{0};
    boot_time_source clock;
    metrics::registry metrics;
    control_thread thread;
};

} // namespace

TEST_CASE("closures of each thread run in order on the control thread")
{
    constexpr std::size_t per_thread = 500;
    constexpr std::size_t threads = 4;
    fixture it{per_thread * threads};
    std::vector<std::vector<std::size_t>> seen(threads);
    std::atomic<std::size_t> run{0};
    std::promise<void> all;
    std::vector<std::thread> callers;
    callers.reserve(threads);
    for (std::size_t n = 0; n < threads; ++n) {
        callers.emplace_back([&, n] {
            for (std::size_t k = 0; k < per_thread; ++k) {
                const bool taken = it.thread.post([&, n, k] {
                    // No lock: only the control thread runs this.
                    seen[n].push_back(k);
                    if (++run == per_thread * threads)
                        all.set_value();
                });
                if (!taken)
                    std::terminate();
            }
        });
    }
    for (auto& caller : callers)
        caller.join();
    all.get_future().wait();
    for (const auto& list : seen) {
        REQUIRE(list.size() == per_thread);
        CHECK(std::is_sorted(list.begin(), list.end()));
    }
}

TEST_CASE("a full queue refuses calls but accepts results")
{
    fixture it{2};
    std::promise<void> entered;
    std::promise<void> gate;
    REQUIRE(it.thread.post([&] {
        entered.set_value();
        gate.get_future().wait();
    }));
    entered.get_future().wait();
    std::atomic<int> run{0};
    CHECK(it.thread.post([&] { ++run; }));
    CHECK(it.thread.post([&] { ++run; }));
    CHECK_FALSE(it.thread.post([&] { ++run; }));
    std::promise<void> last;
    it.thread.deliver([&] { last.set_value(); });
    gate.set_value();
    last.get_future().wait();
    CHECK(run == 2);
    CHECK(
        it.metrics.make_counter("rosemarytrail_control_queue_refused_total", "")
            .value() == 1);
}

TEST_CASE("a stopped thread refuses calls and drops results")
{
    fixture it{8};
    std::promise<void> ticked;
    it.thread.deliver([&] { ticked.set_value(); });
    ticked.get_future().wait();
    it.thread.stop();
    CHECK_FALSE(it.thread.post([] {}));
    it.thread.deliver([] { std::terminate(); });
    const int ticks = it.ticks;
    it.thread.stop();
    CHECK(it.ticks == ticks);
}

} // namespace rosemarytrail::daemon
