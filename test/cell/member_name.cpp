#include <rosemarytrail/cell/member_name.hpp>

#include <catch2/catch.hpp>

#include <vector>

namespace rosemarytrail::cell {

TEST_CASE("A member name contains address and CPU share", "[member]")
{
    const member_name name{.incarnation = "n-1-17-9",
                           .address = "10.1.0.17:7420",
                           .cpu_millis = 250};
    const auto it = parse_member_name(to_text(name));
    REQUIRE(it);
    CHECK(it->incarnation == name.incarnation);
    CHECK(it->address == name.address);
    CHECK(it->cpu_millis == 250);
    CHECK(it->zone.empty());
    CHECK(start_unix_ms(*it) == 17);
    auto with_zone = name;
    with_zone.zone = "z-1";
    CHECK(parse_member_name(to_text(with_zone))->zone == "z-1");
    CHECK(parse_member_name(to_text(with_zone))->cpu_millis == 250);
    for (const auto* bad : {"", "n-1", "n@a", "n#5@a", "n@a#x", "n@a#5x"}) {
        CHECK_FALSE(parse_member_name(bad));
    }
}

TEST_CASE("A small VM does not lead while a larger one is alive", "[member]")
{
    const std::vector<std::string> members{"a@1.1.1.1:1#120", "b@1.1.1.2:1#500",
                                           "c@1.1.1.3:1#450", "odd"};
    CHECK_FALSE(may_lead(members, 120, 0.8));
    CHECK(may_lead(members, 450, 0.8));
    CHECK(may_lead(members, 500, 0.8));
    CHECK(may_lead(std::span{members}.first(1), 120, 0.8));
    CHECK(may_lead({}, 120, 0.8));
}

} // namespace rosemarytrail::cell
