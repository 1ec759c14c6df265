#include <catch2/catch.hpp>

#include <rosemarytrail/state/ownership.hpp>

#include <algorithm>
#include <string>

namespace {

using namespace rosemarytrail;        // NOLINT(google-build-using-namespace)
using namespace rosemarytrail::state; // NOLINT(google-build-using-namespace)

std::set<incarnation_id> members(int n)
{
    std::set<incarnation_id> out;
    for (int i = 0; i < n; ++i) {
        out.insert(incarnation_id{"daemon-" + std::to_string(i)});
    }
    return out;
}

TEST_CASE("every partition gets a live holder and no member exceeds the cap")
{
    CHECK(preferred_holders({}, 16).empty());
    for (int n = 1; n <= 20; ++n) {
        const auto live = members(n);
        const auto holders = preferred_holders(live, 16);
        REQUIRE(holders.size() == 16);
        for (const incarnation_id& it : live) {
            CHECK(std::count(holders.begin(), holders.end(), it) <=
                  (16 + n - 1) / n);
        }
        for (const incarnation_id& it : holders) {
            CHECK(live.contains(it));
        }
    }
}

TEST_CASE("removing a member moves few partitions of the others")
{
    int moved = 0;
    const auto live = members(9);
    const auto before = preferred_holders(live, 64);
    for (const incarnation_id& removed : live) {
        auto rest = live;
        rest.erase(removed);
        const auto after = preferred_holders(rest, 64);
        for (std::size_t i = 0; i < before.size(); ++i) {
            moved += before[i] != removed && before[i] != after[i] ? 1 : 0;
        }
    }
    CHECK(moved < 9 * 64 / 4);
}

TEST_CASE("a rack maps to a valid partition deterministically")
{
    for (int i = 0; i < 100; ++i) {
        const rack_id rack{"rack-" + std::to_string(i)};
        CHECK(partition_of_rack(rack, 16) < 16);
        CHECK(partition_of_rack(rack, 16) == partition_of_rack(rack, 16));
    }
    CHECK(partition_of_rack(rack_id{"r"}, 0) == 0);
}

} // namespace
