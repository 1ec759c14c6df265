#include <rosemarytrail/cell/stall_detector.hpp>

#include <catch2/catch.hpp>

namespace rosemarytrail::cell {

namespace {

using namespace std::chrono_literals;
constexpr time_point start{std::chrono::seconds{50}};

} // namespace

TEST_CASE("A paused process counts as stalled until it has caught up",
          "[stall]")
{
    stall_detector it{{.max_gap = 300ms, .recovery = 250ms}};
    auto now = start;
    for (int n = 0; n < 10; ++n) {
        it.on_tick(now += 20ms);
        CHECK_FALSE(it.is_stalled(now + 10ms));
    }
    // A message may be handled before the first tick after the pause, or after
    // it.
    now += 4s;
    CHECK(it.is_stalled(now));
    it.on_tick(now);
    CHECK(it.is_stalled(now + 1ms));
    CHECK(it.is_stalled(now + 249ms));
    it.on_tick(now += 250ms);
    CHECK_FALSE(it.is_stalled(now));
}

TEST_CASE("A process that has just started is not stalled", "[stall]")
{
    const stall_detector it{{}};
    CHECK_FALSE(it.is_stalled(start));
}

} // namespace rosemarytrail::cell
