#include <rosemarytrail/cell/relay_plan.hpp>

#include <rosemarytrail/cell/member_name.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <vector>

namespace rosemarytrail::cell {

namespace {

[[nodiscard]] std::string member(std::size_t n, std::int64_t cpu_millis,
                                 const std::string& zone)
{
    const auto text = std::to_string(n);
    return to_text({.incarnation = "n" + text + "-1000-7",
                    .address = "10.0.0." + text + ":1",
                    .cpu_millis = cpu_millis,
                    .zone = zone});
}

[[nodiscard]] std::vector<fleet::worker_vm>
workers_in(const std::vector<std::string>& zones, std::size_t each)
{
    std::vector<fleet::worker_vm> result;
    for (const auto& zone : zones) {
        for (std::size_t n = 0; n < each; ++n) {
            result.push_back(
                {.id = zone + "-w" + std::to_string(n), .zone = zone});
        }
    }
    return result;
}

} // namespace

TEST_CASE("The leader of a small cell calls all workers itself", "[relays]")
{
    const auto vms = workers_in({"a", "b"}, 24);
    const std::vector<std::string> members{member(1, 250, "a"),
                                           member(2, 250, "b")};
    CHECK(assign_relays(vms, members, members[0], {}).empty());
}

TEST_CASE("The largest VM of a zone relays the calls to its workers",
          "[relays]")
{
    const auto vms = workers_in({"a", "b"}, 200);
    const std::vector<std::string> members{
        member(1, 500, "a"), member(2, 500, "a"), member(3, 120, "a"),
        member(4, 120, "b"), member(5, 500, "b")};
    const auto plan = assign_relays(vms, members, members[0], {});
    REQUIRE(plan.size() == vms.size());
    for (const auto& it : vms) {
        CHECK(plan.at(it.id) == members[it.zone == "a" ? 1 : 4]);
    }
}

TEST_CASE("A zone with many workers has several relays", "[relays]")
{
    const auto vms = workers_in({"a"}, 600);
    std::vector<std::string> members;
    for (std::size_t n = 0; n < 8; ++n) {
        members.push_back(member(n, 500, "a"));
    }
    std::map<std::string, std::size_t> load;
    for (const auto& [worker, relay] :
         assign_relays(vms, members, members[3], {})) {
        ++load[relay];
    }
    CHECK(load.size() == 3);
    CHECK_FALSE(load.contains(members[3]));
    for (const auto& [relay, n] : load) {
        CHECK(n > 100);
    }
}

TEST_CASE("Messages to relays are small on a slow link", "[relays]")
{
    CHECK(relay_message_bytes(0) == 8192);
    CHECK(relay_message_bytes(2) == 10000);
    CHECK(relay_message_bytes(10) == 50000);
    CHECK(relay_message_bytes(1000) == 131072);
}

TEST_CASE("Workers of a zone without nodes have relays elsewhere", "[relays]")
{
    const auto vms = workers_in({"a", "b"}, 100);
    const std::vector<std::string> members{member(1, 500, "a"),
                                           member(2, 500, "a")};
    const auto plan = assign_relays(vms, members, members[0], {});
    CHECK(plan.size() == vms.size());
    CHECK(plan.at("b-w1") == members[1]);
    CHECK(assign_relays(vms, std::span{members}.first(1), members[0], {})
              .empty());
}

TEST_CASE("An earlier incarnation of the leader relays no calls", "[relays]")
{
    const auto vms = workers_in({"a"}, 200);
    const std::vector<std::string> members{member(1, 500, "a"),
                                           member(2, 120, "a")};
    const auto restarted = to_text({.incarnation = "n1-2000-8",
                                    .address = "10.0.0.1:1",
                                    .cpu_millis = 500,
                                    .zone = "a"});
    for (const auto& [worker, relay] :
         assign_relays(vms, members, restarted, {})) {
        CHECK(relay == members[1]);
    }
}

} // namespace rosemarytrail::cell
