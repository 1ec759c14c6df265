#include <catch2/catch.hpp>

#include <rosemarytrail/request/admission.hpp>

#include <test/lib/manual_time_source.hpp>

#include <map>
#include <string>
#include <vector>

namespace rosemarytrail::request {

namespace {

service_slot slot_of(const std::string& team)
{
    return {
        .service = service_id{"plugs"}, .team = team_id{team}, .capacity = 100};
}

/** @brief Service with 100 slots and two teams. */
struct fixture
{
    slot_result enter(const std::string& team)
    {
        return it.enter_service(
            slot_of(team), weights, clock.now(),
            [this, team](bool taken) {
                notified.push_back({team, taken});
            },
            why);
    }

    int fill(const std::string& team)
    {
        int n = 0;
        while (enter(team) == slot_result::taken) {
            ++n;
        }
        return n;
    }

    void leave(const std::string& team)
    {
        for (auto& one : it.leave_service(slot_of(team), clock.now())) {
            one.notify(one.taken);
        }
    }

    struct notification
    {
        std::string team;
        bool taken{};
    };

    const std::map<team_id, double> weights{{team_id{"large"}, 1.0},
                                            {team_id{"small"}, 3.0}};
    test::manual_time_source clock;
    admission it{{}};
    reason why;
    std::vector<notification> notified;
};

} // namespace

TEST_CASE("An account is limited to its rate and gets a retry delay",
          "[request]")
{
    test::manual_time_source clock;
    admission it{{.account_rate = 100.0, .burst_seconds = 0.1}};
    reason why;
    int taken = 0;
    for (int n = 0; n < 1000; ++n) {
        taken += it.take_rate_token("large", clock.now(), why) ? 1 : 0;
        clock.advance(std::chrono::milliseconds{1});
    }
    CHECK(taken >= 108);
    CHECK(taken <= 111);
    CHECK(why.code == result_code::account_over_limit);
    CHECK(why.retry_after.has_value());
    CHECK(it.take_rate_token("small", clock.now(), why));
}

TEST_CASE("The capacity of an overloaded service is shared by weight",
          "[request]")
{
    fixture it;
    // A single team may use the whole capacity; the next request is queued.
    CHECK(it.fill("large") == 100);
    CHECK(it.enter("small") == slot_result::waiting);
    it.leave("large");
    // A released slot goes to the team below its share, although its request
    // was queued later.
    REQUIRE(it.notified.size() == 1);
    CHECK(it.notified[0].team == "small");
    CHECK(it.notified[0].taken);
    for (int n = 0; n < 30; ++n) {
        it.leave("large");
    }
    // The queued request of the large team is admitted at 79 of 100.
    CHECK(it.notified.size() == 2);
    CHECK(it.fill("small") == 29);
    it.leave("large");
    CHECK(it.notified.back().team == "small");
    // A team over its share is rejected immediately, although a slot is free.
    it.leave("large");
    CHECK(it.enter("large") == slot_result::refused);
    CHECK(it.why.code == result_code::team_over_share);
    CHECK(it.why.retry_after.has_value());
    CHECK(it.enter("small") == slot_result::taken);
}

TEST_CASE("Requests are queued for a slot in order and for a limited time",
          "[request]")
{
    fixture it;
    CHECK(it.fill("large") == 100);
    int waiting = 1;
    while (it.enter("large") == slot_result::waiting) {
        ++waiting;
    }
    CHECK(waiting == 25);
    CHECK(it.why.code == result_code::overloaded);
    it.leave("large");
    REQUIRE(it.notified.size() == 1);
    CHECK(it.notified[0].taken);
    CHECK(it.it.expire(it.clock.now()).empty());
    it.clock.advance(std::chrono::milliseconds{20});
    const auto notifications = it.it.expire(it.clock.now());
    CHECK(notifications.size() == 24);
    for (const auto& one : notifications) {
        CHECK_FALSE(one.taken);
    }
    it.leave("large");
    CHECK(it.notified.size() == 1);
}

} // namespace rosemarytrail::request
