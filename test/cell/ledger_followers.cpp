#include <rosemarytrail/cell/ledger_followers.hpp>

#include <rosemarytrail/cell/member_name.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

namespace rosemarytrail::cell {

namespace {

[[nodiscard]] std::vector<std::string> cell_of(std::size_t large,
                                               std::size_t small)
{
    std::vector<std::string> result;
    for (std::size_t n = 0; n < large + small; ++n) {
        const auto text = std::to_string(n);
        result.push_back(to_text({.incarnation = "n" + text + "-1000-7",
                                  .address = "10.0.0." + text + ":1",
                                  .cpu_millis = n < large ? 500 : 120,
                                  .zone = "z" + std::to_string(n % 5)}));
    }
    std::ranges::sort(result);
    return result;
}

} // namespace

TEST_CASE("All nodes of a small cell follow the ledger", "[followers]")
{
    const auto members = cell_of(2, 7);
    CHECK(ledger_followers(members, {}) == members);
}

TEST_CASE("A few of the largest VMs of a large cell follow the ledger",
          "[followers]")
{
    const auto members = cell_of(15, 132);
    const auto found = ledger_followers(members, {});
    CHECK(found.size() == 5);
    for (const auto& it : found) {
        CHECK(parse_member_name(it)->cpu_millis == 500);
    }
    // The order in which the members are listed doesn't matter.
    auto reversed = members;
    std::ranges::reverse(reversed);
    CHECK(ledger_followers(reversed, {}) == found);
}

TEST_CASE("A lost follower is replaced and the others stay", "[followers]")
{
    auto members = cell_of(15, 132);
    const auto before = ledger_followers(members, {});
    std::erase(members, before.front());
    const auto after = ledger_followers(members, {});
    CHECK(after.size() == before.size());
    for (auto it = before.begin() + 1; it != before.end(); ++it) {
        CHECK(std::ranges::find(after, *it) != after.end());
    }
}

TEST_CASE("The followers stay the same when all nodes restart", "[followers]")
{
    const auto members = cell_of(15, 132);
    std::vector<std::string> restarted;
    for (const auto& it : members) {
        auto name = *parse_member_name(it);
        name.incarnation += "1";
        restarted.push_back(to_text(name));
    }
    const auto addresses = [](const std::vector<std::string>& names) {
        std::vector<std::string> result;
        result.reserve(names.size());
        for (const auto& it : names) {
            result.push_back(address_of(it));
        }
        return result;
    };
    CHECK(addresses(ledger_followers(restarted, {})) ==
          addresses(ledger_followers(members, {})));
}

TEST_CASE("A node that has just started lists the members often", "[followers]")
{
    const listing_options options;
    // Members that were killed are listed until their membership expires.
    CHECK(listing_interval(options, false, duration{}) <
          std::chrono::milliseconds{500});
    CHECK(listing_interval(options, false, std::chrono::milliseconds{1500}) ==
          options.settling);
    CHECK(listing_interval(options, true, std::chrono::seconds{5}) ==
          options.follower);
    CHECK(listing_interval(options, false, std::chrono::seconds{5}) ==
          options.other);
}

TEST_CASE("Only the newest incarnation at an address counts", "[followers]")
{
    const std::vector<std::string> members{"a-1000-3@10.0.0.1:1#250",
                                           "a-2000-2@10.0.0.1:1#250",
                                           "b-1500-9@10.0.0.2:1#250/z", "odd"};
    const std::vector<std::string> newest{"a-2000-2@10.0.0.1:1#250",
                                          "b-1500-9@10.0.0.2:1#250/z", "odd"};
    CHECK(newest_incarnations(members) == newest);
}

} // namespace rosemarytrail::cell
