#include <rosemarytrail/cell/leader_monitor.hpp>
#include <rosemarytrail/cell/member_name.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace rosemarytrail::cell {

namespace {

using namespace std::chrono_literals;

constexpr time_point now{100s};

std::string member(const std::string& incarnation, const std::string& address)
{
    return to_text(
        {.incarnation = incarnation, .address = address, .cpu_millis = 250});
}

const fleet::leader_record other{.epoch = 4, .node = member("a1", "a:1")};

leader_monitor make_monitor()
{
    return leader_monitor{{.member = member("b1", "b:1")}};
}

} // namespace

TEST_CASE("A responsive leader is not replaced", "[lead_watch]")
{
    auto monitor = make_monitor();
    monitor.on_elected(now);
    CHECK_FALSE(monitor.may_claim(other, true));
    monitor.on_query_result(4, leader_query_result::reported,
                            {.leading = true, .epoch = 4, .store_age = 200ms},
                            now);
    CHECK_FALSE(monitor.may_claim(other, true));
}

TEST_CASE("A leader that the store serves last after an outage is kept",
          "[lead_watch]")
{
    auto monitor = make_monitor();
    const leader_status status{.leading = true, .epoch = 4, .store_age = 4s};
    monitor.on_query_result(4, leader_query_result::reported, status, now,
                            now - 500ms);
    CHECK_FALSE(monitor.may_claim(other, true));
    // The store has served this node for long enough to serve the leader too.
    monitor.on_query_result(4, leader_query_result::reported, status, now,
                            now - 1500ms);
    CHECK(monitor.may_claim(other, true));
}

TEST_CASE("A lost leader is replaced by the elected node", "[lead_watch]")
{
    SECTION("nothing listens at its address")
    {
        auto monitor = make_monitor();
        monitor.on_query_result(4, leader_query_result::refused, {}, now);
        CHECK(monitor.may_claim(other, true));
        CHECK_FALSE(monitor.may_claim(other, false));
        // The loss of one leader does not carry over to the next.
        CHECK_FALSE(monitor.may_claim({.epoch = 5, .node = other.node}, true));
    }
    SECTION("it has stepped down, or another process responds at its address")
    {
        auto monitor = make_monitor();
        monitor.on_query_result(4, leader_query_result::reported,
                                {.leading = false}, now);
        CHECK(monitor.may_claim(other, true));
    }
    SECTION("the store no longer serves it")
    {
        auto monitor = make_monitor();
        monitor.on_query_result(
            4, leader_query_result::reported,
            {.leading = true, .epoch = 4, .store_age = 1100ms}, now);
        CHECK(monitor.may_claim(other, true));
    }
}

TEST_CASE("A leader that recovers is not replaced", "[lead_watch]")
{
    auto monitor = make_monitor();
    // The store is unreachable, and a claim in the meantime fails.
    const leader_status store_unreachable{
        .leading = true, .epoch = 4, .store_age = 2s};
    monitor.on_query_result(4, leader_query_result::reported, store_unreachable,
                            now);
    REQUIRE(monitor.may_claim(other, true));
    SECTION("it reports that it leads")
    {
        monitor.on_query_result(4, leader_query_result::reported,
                                {.leading = true, .epoch = 4}, now + 1s);
        CHECK_FALSE(monitor.may_claim(other, true));
    }
    SECTION("this node is elected again and has to repeat the query")
    {
        monitor.on_elected(now + 1s);
        CHECK_FALSE(monitor.may_claim(other, true));
    }
}

TEST_CASE("A single missed response suffices only just after the election",
          "[lead_watch]")
{
    auto recent = make_monitor();
    recent.on_elected(now);
    recent.on_query_result(4, leader_query_result::unknown, {}, now + 300ms);
    CHECK(recent.may_claim(other, true));

    auto monitor = make_monitor();
    monitor.on_elected(now);
    for (int i = 0; i < 2; ++i) {
        monitor.on_query_result(4, leader_query_result::unknown, {}, now + 10s);
        CHECK_FALSE(monitor.may_claim(other, true));
    }
    // A response resets the count.
    monitor.on_query_result(4, leader_query_result::reported,
                            {.leading = true, .epoch = 4}, now + 10s);
    for (int i = 0; i < 2; ++i) {
        monitor.on_query_result(4, leader_query_result::unknown, {}, now + 11s);
        CHECK_FALSE(monitor.may_claim(other, true));
    }
    monitor.on_query_result(4, leader_query_result::unknown, {}, now + 11s);
    CHECK(monitor.may_claim(other, true));
}

TEST_CASE("A node resumes the leadership of its previous incarnation",
          "[lead_watch]")
{
    const auto monitor = make_monitor();
    CHECK(monitor.may_claim({.epoch = 9, .node = member("b0", "b:1")}, false));
    CHECK_FALSE(
        monitor.may_claim({.epoch = 9, .node = member("b1", "b:1")}, false));
    CHECK_FALSE(
        monitor.may_claim({.epoch = 9, .node = member("c1", "c:1")}, false));
}

TEST_CASE("The elected node claims vacant leadership", "[lead_watch]")
{
    const auto monitor = make_monitor();
    CHECK(monitor.may_claim({}, true));
    CHECK_FALSE(monitor.may_claim({}, false));
    // This node led and has stepped down.
    const fleet::leader_record self{.epoch = 4, .node = member("b1", "b:1")};
    CHECK(monitor.may_claim(self, true));
    CHECK_FALSE(monitor.may_claim(self, false));
}

} // namespace rosemarytrail::cell
