#include <rosemarytrail/cell/reported_nodes.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace rosemarytrail::cell {

namespace {

using namespace std::chrono_literals;
constexpr time_point now{std::chrono::seconds{50}};

} // namespace

TEST_CASE("A reported node counts until its reports stop", "[reports]")
{
    const std::vector<std::string> members{"m-1-1@a:1#250", "m-1-2@b:1#250"};
    reported_nodes nodes{{}};
    CHECK(nodes.add("z-1-1@z:1#250", now) == report_result::added);
    CHECK(nodes.add("z-1-1@z:1#250", now + 1s) == report_result::renewed);
    CHECK(nodes.add_to(members) == std::vector<std::string>{"z-1-1@z:1#250",
                                                            "m-1-1@a:1#250",
                                                            "m-1-2@b:1#250"});
    CHECK(nodes.drop_expired(now + 3499ms) == 0);
    CHECK(nodes.drop_expired(now + 3500ms) == 1);
    CHECK(nodes.add_to(members) == members);
}

TEST_CASE("A restarted or listed node counts once", "[reports]")
{
    const std::vector<std::string> members{"m-5-1@a:1#250"};
    reported_nodes nodes{{}};
    CHECK(nodes.add("z-1-1@z:1#250", now) == report_result::added);
    CHECK(nodes.add("z-2-1@z:1#250", now) == report_result::added);
    CHECK(nodes.add("m-5-1@a:1#250", now) == report_result::added);
    CHECK(nodes.add_to(members) ==
          std::vector<std::string>{"z-2-1@z:1#250", "m-5-1@a:1#250"});
}

TEST_CASE("Malformed names and too many nodes are ignored", "[reports]")
{
    reported_nodes nodes{{.max_nodes = 2}};
    for (const auto& name : std::vector<std::string>{
             "", "n", "n-1-1@a:1", "n-1-1@#250", "@a:1#250", "n-1-1@a#250",
             "n-1-1@a:1/x#250", "n-1-1@a:#250", "n-1-1@a b:1#250",
             std::string(300, 'n') + "@a:1#250"}) {
        CAPTURE(name);
        CHECK(nodes.add(name, now) == report_result::malformed);
    }
    CHECK(nodes.add("a-1-1@a:1#250", now) == report_result::added);
    CHECK(nodes.add("b-1-1@b:1#250", now) == report_result::added);
    CHECK(nodes.add("c-1-1@c:1#250", now) == report_result::too_many);
    CHECK(nodes.add("a-1-1@a:1#250", now) == report_result::renewed);
    CHECK(nodes.size() == 2);
}

} // namespace rosemarytrail::cell
