#include <catch2/catch.hpp>

#include <rosemarytrail/state/takeover.hpp>

namespace {

using namespace rosemarytrail;        // NOLINT(google-build-using-namespace)
using namespace rosemarytrail::state; // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;
using member_set = std::set<incarnation_id>;

const time_point start{seconds{100}};
const freshness_options options{};
const duration total_wait = options.news_period + options.command_bound +
                            options.task_lease + options.drift_margin;

incarnation_id member(int n)
{
    return incarnation_id{"d" + std::to_string(n)};
}

member_set members(std::initializer_list<int> numbers)
{
    member_set out;
    for (const int it : numbers) {
        out.insert(member(it));
    }
    return out;
}

const std::set<vm_id> two_vms{vm_id{"v1"}, vm_id{"v2"}};

TEST_CASE("a fenced VM is safe at once and the last one completes the takeover")
{
    takeover it{options, 2048, two_vms, {}};
    CHECK_FALSE(it.is_safe(vm_id{"v1"}, start));
    it.fenced(vm_id{"v1"});
    CHECK(it.is_safe(vm_id{"v1"}, start));
    CHECK_FALSE(it.is_safe(vm_id{"v2"}, start));
    CHECK_FALSE(it.complete(start));
    it.declared_lost(vm_id{"v2"});
    CHECK(it.complete(start));
}

TEST_CASE("the wait starts at the majority and lasts the sum of all durations")
{
    takeover it{options, 2048, two_vms, {members({1, 2, 3, 4, 5})}};
    it.claim_applied_by(member(2), start);
    it.claim_applied_by(member(2), start + seconds{1});
    it.claim_applied_by(member(3), start + seconds{1});
    it.claim_applied_by(member(9), start + seconds{1});
    CHECK_FALSE(it.wait_ends_at());
    it.claim_applied_by(member(4), start + seconds{5});
    REQUIRE(it.wait_ends_at() == start + seconds{5} + total_wait);
    it.claim_applied_by(member(5), start + seconds{9});
    const time_point end = *it.wait_ends_at();
    CHECK(end == start + seconds{5} + total_wait);
    CHECK_FALSE(it.is_safe(vm_id{"v1"}, end - milliseconds{1}));
    CHECK_FALSE(it.complete(end - milliseconds{1}));
    CHECK(it.is_safe(vm_id{"v1"}, end));
    CHECK(it.complete(end));
}

TEST_CASE(
    "with two of eight replaced, a majority of the newest set is not enough")
{
    const auto before = members({1, 2, 3, 4, 5, 6, 7, 8});
    const auto after = members({1, 2, 3, 4, 5, 6, 9, 10});
    takeover it{options, 2048, two_vms, {before, after}};
    for (const int n : {5, 6, 9, 10, 4}) {
        it.claim_applied_by(member(n), start);
    }
    CHECK_FALSE(it.wait_ends_at());
    it.claim_applied_by(member(3), start + seconds{1});
    CHECK_FALSE(it.wait_ends_at());
    SECTION("another member of the previous set applied the claim")
    {
        it.claim_applied_by(member(2), start + seconds{2});
        CHECK(it.wait_ends_at() == start + seconds{2} + total_wait);
    }
    SECTION("a replaced member wrote its own leave record")
    {
        it.left_voluntarily(member(7), start + seconds{2});
        CHECK(it.wait_ends_at() == start + seconds{2} + total_wait);
    }
}

TEST_CASE("without known member sets only fencing completes the takeover")
{
    takeover it{options, 2048, two_vms, {}};
    it.claim_applied_by(member(1), start);
    CHECK_FALSE(it.wait_ends_at());
    CHECK_FALSE(it.complete(time_point::max()));
}

TEST_CASE("a region whose only member is the previous holder has no wait-out")
{
    takeover it{options, 2048, two_vms, {members({1}), {}}};
    it.claim_applied_by(member(2), start);
    CHECK_FALSE(it.wait_ends_at());
}

} // namespace
