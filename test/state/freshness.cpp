#include <catch2/catch.hpp>

#include <rosemarytrail/state/freshness.hpp>

namespace {

using namespace rosemarytrail;        // NOLINT(google-build-using-namespace)
using namespace rosemarytrail::state; // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds{100}};
const incarnation_id self{"d1"};

std::set<incarnation_id> members(int n)
{
    std::set<incarnation_id> out;
    for (int i = 1; i <= n; ++i) {
        out.insert(incarnation_id{"d" + std::to_string(i)});
    }
    return out;
}

TEST_CASE("freshness counts from the request, not from the response")
{
    freshness tracker{{}};
    CHECK_FALSE(tracker.may_act(self, members(3), 5, start));
    CHECK(tracker.acts_until(self, members(3), 5) == time_point{});
    tracker.log_tail_read(start, 5);
    CHECK(tracker.acts_until(self, members(3), 5) == start + seconds{3});
    CHECK(tracker.may_act(self, members(3), 5, start + milliseconds{2999}));
    CHECK_FALSE(tracker.may_act(self, members(3), 5, start + seconds{3}));
}

TEST_CASE("a response counts only once its offset is applied")
{
    freshness tracker{{}};
    tracker.log_tail_read(start, 5);
    tracker.log_tail_read(start + seconds{2}, 9);
    CHECK(tracker.acts_until(self, members(3), 4) == time_point{});
    CHECK(tracker.acts_until(self, members(3), 8) == start + seconds{3});
    CHECK(tracker.acts_until(self, members(3), 9) == start + seconds{5});
}

TEST_CASE("a majority of peers and the process itself is fresh")
{
    freshness tracker{{}};
    const auto five = members(5);
    tracker.peer_responded(incarnation_id{"d2"}, start, 1);
    CHECK_FALSE(tracker.may_act(self, five, 1, start));
    tracker.peer_responded(incarnation_id{"other region"}, start, 1);
    tracker.peer_responded(self, start, 1);
    CHECK_FALSE(tracker.may_act(self, five, 1, start));
    tracker.peer_responded(incarnation_id{"d3"}, start + seconds{1}, 1);
    CHECK(tracker.acts_until(self, five, 1) == start + seconds{3});
    tracker.peer_responded(incarnation_id{"d4"}, start + seconds{2}, 1);
    CHECK(tracker.acts_until(self, five, 1) == start + seconds{4});
    CHECK_FALSE(tracker.may_act(self, five, 0, start));
    CHECK_FALSE(tracker.may_act(self, members(7), 1, start + seconds{3}));
    CHECK(tracker.may_act(self, members(4), 1, start + seconds{3}));
}

TEST_CASE("a removed process does not count itself")
{
    freshness tracker{{}};
    const std::set<incarnation_id> others{
        incarnation_id{"d2"}, incarnation_id{"d3"}, incarnation_id{"d4"}};
    tracker.peer_responded(incarnation_id{"d2"}, start, 1);
    CHECK_FALSE(tracker.may_act(self, others, 1, start));
    tracker.peer_responded(incarnation_id{"d3"}, start, 1);
    CHECK(tracker.may_act(self, others, 1, start));
}

TEST_CASE("the best responses are kept, in any order and number")
{
    freshness tracker{{}};
    for (int i = 0; i < 1000; ++i) {
        tracker.log_tail_read(start + milliseconds{i}, 10 + (i / 2));
    }
    tracker.log_tail_read(start - seconds{1}, 700);
    CHECK(tracker.acts_until(self, members(3), 509) ==
          start + milliseconds{999} + seconds{3});
    CHECK(tracker.acts_until(self, members(3), 508) <
          start + milliseconds{999} + seconds{3});
    CHECK(tracker.may_act(self, members(3), 10, start));
}

} // namespace
