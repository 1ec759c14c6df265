#include <rosemarytrail/control/cell_log.hpp>

#include <catch2/catch.hpp>

#include <test/lib/event_queue.hpp>

#include <chrono>
#include <functional>
#include <string>

using namespace std::chrono_literals;
namespace control = rosemarytrail::control;
namespace backends = rosemarytrail::backends;
namespace test = rosemarytrail::test;
using rosemarytrail::time_point;

namespace {

/** Log with one entry that rejects snapshots. */
class full_log final : public backends::log_client
{
public:
    int appends{0};

    void append(std::string, std::string,
                std::function<void(backends::append_outcome)> done) override
    {
        ++appends;
        done({.result = backends::append_result::refused});
    }

    void read(backends::read_options options,
              std::function<void(backends::read_outcome)> done) override
    {
        backends::read_outcome out{.result = backends::read_result::read};
        if (options.stream == "cell") {
            out.next_offset = 1;
        }
        if (options.stream == "cell" && options.from == 0) {
            out.entries.push_back({.offset = 0, .payload = "torn"});
        }
        done(out);
    }
};

class no_listener final : public control::cell_log_listener
{
public:
    void on_applied(const control::applied_entry&) override {}
    void on_restored() override {}
    void on_tail(time_point, std::uint64_t) override {}
};

constexpr control::snapshot_options often{.entries = 1, .period = 10min};

} // namespace

TEST_CASE("A rejected snapshot is not retried at every tick", "[control]")
{
    full_log log;
    test::event_queue time;
    no_listener listener;
    control::cell_log it{log, time, "cell", listener};
    for (int n = 0; n < 100; ++n) {
        time.run_until(time.now() + 20ms);
        it.tick(time.now());
        it.maybe_snapshot(often, time.now());
    }
    REQUIRE(it.caught_up());
    CHECK(log.appends > 0);
    constexpr int sendings_in_two_seconds = 6;
    CHECK(log.appends <= sendings_in_two_seconds);
}

TEST_CASE("An idle cell writes a snapshot after its period", "[control]")
{
    full_log log;
    test::event_queue time;
    no_listener listener;
    control::cell_log it{log, time, "cell", listener};
    constexpr control::snapshot_options seldom{.entries = 1000,
                                               .period = 10min};
    const auto run = [&] {
        it.tick(time.now());
        it.maybe_snapshot(seldom, time.now());
    };
    run();
    run();
    run();
    REQUIRE(it.caught_up());
    CHECK(log.appends == 0);
    time.run_until(time.now() + 11min);
    run();
    CHECK(log.appends == 1);
}
