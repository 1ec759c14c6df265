#include <catch2/catch.hpp>

#include <rosemarytrail/request/admission.hpp>

#include <test/lib/manual_time_source.hpp>

#include <map>
#include <string>

namespace rosemarytrail::request {

namespace {

service_place place_of(const std::string& team)
{
    return {
        .service = service_id{"plugs"}, .team = team_id{team}, .capacity = 100};
}

} // namespace

TEST_CASE("An account is held to its rate and told when to come back",
          "[request]")
{
    test::manual_time_source clock;
    admission it{{.account_rate = 100.0, .burst_seconds = 0.1}};
    reason why;
    int taken = 0;
    for (int n = 0; n < 1000; ++n) {
        taken += it.take_rate("large", clock.now(), why) ? 1 : 0;
        clock.advance(std::chrono::milliseconds{1});
    }
    CHECK(taken >= 108);
    CHECK(taken <= 111);
    CHECK(why.code == result_code::account_over_limit);
    CHECK(why.retry_after.has_value());
    CHECK(it.take_rate("small", clock.now(), why));
}

TEST_CASE("An overloaded service is shared by weight", "[request]")
{
    const std::map<team_id, double> weights{{team_id{"large"}, 1.0},
                                            {team_id{"small"}, 3.0}};
    admission it{{}};
    reason why;
    int large = 0;
    while (it.enter_service(place_of("large"), weights, why)) {
        ++large;
    }
    // Alone, a team may have all.
    CHECK(large == 100);
    CHECK(why.code == result_code::overloaded);
    for (int n = 0; n < 30; ++n) {
        it.leave_service(place_of("large"));
    }
    int small = 0;
    while (it.enter_service(place_of("small"), weights, why)) {
        ++small;
    }
    CHECK(small == 30);
    // What comes free now goes to the team below its share.
    it.leave_service(place_of("large"));
    CHECK_FALSE(it.enter_service(place_of("large"), weights, why));
    CHECK(why.code == result_code::team_over_share);
    CHECK(why.retry_after.has_value());
    CHECK(it.enter_service(place_of("small"), weights, why));
}

} // namespace rosemarytrail::request
