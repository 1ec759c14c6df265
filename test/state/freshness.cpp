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

TEST_CASE("news counts from its question, not from its answer")
{
    freshness news{{}};
    CHECK_FALSE(news.may_act(self, members(3), 5, start));
    CHECK(news.acts_until(self, members(3), 5) == time_point{});
    news.log_tail_read(start, 5);
    CHECK(news.acts_until(self, members(3), 5) == start + seconds{3});
    CHECK(news.may_act(self, members(3), 5, start + milliseconds{2999}));
    CHECK_FALSE(news.may_act(self, members(3), 5, start + seconds{3}));
}

TEST_CASE("news counts only once what it told of is applied")
{
    freshness news{{}};
    news.log_tail_read(start, 5);
    news.log_tail_read(start + seconds{2}, 9);
    CHECK(news.acts_until(self, members(3), 4) == time_point{});
    CHECK(news.acts_until(self, members(3), 8) == start + seconds{3});
    CHECK(news.acts_until(self, members(3), 9) == start + seconds{5});
}

TEST_CASE("peers count by majority, with the process itself")
{
    freshness news{{}};
    const auto five = members(5);
    news.peer_heard(incarnation_id{"d2"}, start, 1);
    CHECK_FALSE(news.may_act(self, five, 1, start));
    news.peer_heard(incarnation_id{"other region"}, start, 1);
    news.peer_heard(self, start, 1);
    CHECK_FALSE(news.may_act(self, five, 1, start));
    news.peer_heard(incarnation_id{"d3"}, start + seconds{1}, 1);
    CHECK(news.acts_until(self, five, 1) == start + seconds{3});
    news.peer_heard(incarnation_id{"d4"}, start + seconds{2}, 1);
    CHECK(news.acts_until(self, five, 1) == start + seconds{4});
    CHECK_FALSE(news.may_act(self, five, 0, start));
    CHECK_FALSE(news.may_act(self, members(7), 1, start + seconds{3}));
    CHECK(news.may_act(self, members(4), 1, start + seconds{3}));
}

TEST_CASE("a process that was struck off does not count itself")
{
    freshness news{{}};
    const std::set<incarnation_id> others{
        incarnation_id{"d2"}, incarnation_id{"d3"}, incarnation_id{"d4"}};
    news.peer_heard(incarnation_id{"d2"}, start, 1);
    CHECK_FALSE(news.may_act(self, others, 1, start));
    news.peer_heard(incarnation_id{"d3"}, start, 1);
    CHECK(news.may_act(self, others, 1, start));
}

TEST_CASE("answers out of order and in any number keep the best news")
{
    freshness news{{}};
    for (int i = 0; i < 1000; ++i) {
        news.log_tail_read(start + milliseconds{i}, 10 + (i / 2));
    }
    news.log_tail_read(start - seconds{1}, 700);
    CHECK(news.acts_until(self, members(3), 509) ==
          start + milliseconds{999} + seconds{3});
    CHECK(news.acts_until(self, members(3), 508) <
          start + milliseconds{999} + seconds{3});
    CHECK(news.may_act(self, members(3), 10, start));
}

} // namespace
