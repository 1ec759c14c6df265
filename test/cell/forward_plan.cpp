#include <rosemarytrail/cell/forward_plan.hpp>

#include <catch2/catch.hpp>

namespace rosemarytrail::cell {

namespace {

using namespace std::chrono_literals;
constexpr time_point start{std::chrono::seconds{50}};

/** @brief Plan of a submission with 3 s left, in virtual time. */
struct virtual_attempt
{
    forward_plan plan{{}, true, start + 3s, start};
    time_point now{start};
    std::size_t queries{};

    /** @brief Follows the plan until it no longer waits for the peer, which
     * answers each query with `progress` after `delay`. */
    forward_action follow(call_progress progress, duration delay)
    {
        for (;;) {
            const auto next = plan.decide(now);
            if (next.action == forward_action::wait) {
                REQUIRE(next.until > now);
                now = next.until;
            } else if (next.action == forward_action::query) {
                ++queries;
                plan.on_query_sent(now);
                now += delay;
                plan.on_report(progress, now);
            } else {
                return next.action;
            }
        }
    }
};

} // namespace

TEST_CASE("A peer that is still serving a call is waited for", "[forward]")
{
    virtual_attempt it;
    CHECK(it.follow(call_progress::in_progress, 10ms) ==
          forward_action::give_up);
    CHECK(it.now == start + 2925ms);
    CHECK(it.plan.maybe_executed());
}

TEST_CASE("A silent peer is abandoned within 1.2 s", "[forward]")
{
    virtual_attempt it;
    SECTION("from the start") {}
    SECTION("after it has answered a query")
    {
        it.plan.on_query_sent(start + 300ms);
        it.plan.on_report(call_progress::in_progress, start + 310ms);
        it.now = start + 310ms;
    }
    const auto silent_since = it.now;
    CHECK(it.follow(call_progress::unanswered, 400ms) ==
          forward_action::next_peer);
    CHECK(it.now - silent_since <= duration{1200ms});
    CHECK(it.plan.maybe_executed());
}

TEST_CASE("One lost response to a status query changes nothing", "[forward]")
{
    virtual_attempt it;
    it.plan.on_query_sent(start + 300ms);
    it.plan.on_report(call_progress::unanswered, start + 700ms);
    it.plan.on_query_sent(start + 700ms);
    it.plan.on_report(call_progress::in_progress, start + 710ms);
    it.plan.on_query_sent(start + 1s);
    it.plan.on_report(call_progress::unanswered, start + 1400ms);
    CHECK(it.plan.decide(start + 1400ms).action == forward_action::query);
}

TEST_CASE("A peer that does not have the call is abandoned at once",
          "[forward]")
{
    virtual_attempt it;
    SECTION("not sent")
    {
        it.plan.on_refused();
        CHECK(it.plan.decide(start).action == forward_action::next_peer);
        CHECK_FALSE(it.plan.maybe_executed());
    }
    SECTION("unknown, for example after a restart")
    {
        CHECK(it.follow(call_progress::unknown, 10ms) ==
              forward_action::next_peer);
        CHECK(it.queries == 1);
        CHECK(it.plan.maybe_executed());
    }
    SECTION("died after the connection broke")
    {
        it.plan.on_lost(start + 50ms);
        CHECK(it.plan.decide(start + 50ms).action == forward_action::query);
        it.now = start + 50ms;
        CHECK(it.follow(call_progress::refused, 10ms) ==
              forward_action::next_peer);
        CHECK(it.now == start + 60ms);
    }
}

TEST_CASE("A peer that cannot be queried has 700 ms", "[forward]")
{
    virtual_attempt it;
    CHECK(it.follow(call_progress::unsupported, 10ms) ==
          forward_action::next_peer);
    CHECK(it.now == start + 700ms);
    CHECK(it.queries == 1);
}

TEST_CASE("A call that changes nothing never waits long for a peer",
          "[forward]")
{
    const forward_plan plan{{}, false, start + 3s, start};
    CHECK(plan.give_up_at() == start + 700ms);
    CHECK(plan.decide(start + 699ms).action == forward_action::wait);
    CHECK(plan.decide(start + 700ms).action == forward_action::next_peer);
}

} // namespace rosemarytrail::cell
