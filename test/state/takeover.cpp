#include <catch2/catch.hpp>

#include <rosemarytrail/state/takeover.hpp>

namespace {

using namespace rosemarytrail;        // NOLINT(google-build-using-namespace)
using namespace rosemarytrail::state; // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;
using member_set = std::set<incarnation_id>;

const time_point start{seconds{100}};
const freshness_options spans{};
const duration whole_wait = spans.news_period + spans.command_bound +
                            spans.task_lease + spans.drift_margin;

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

TEST_CASE("the fence makes one VM safe at once, and all of them end it")
{
    takeover it{spans, 2048, two_vms, {}};
    CHECK_FALSE(it.is_safe(vm_id{"v1"}, start));
    it.fenced(vm_id{"v1"});
    CHECK(it.is_safe(vm_id{"v1"}, start));
    CHECK_FALSE(it.is_safe(vm_id{"v2"}, start));
    CHECK_FALSE(it.complete(start));
    it.declared_lost(vm_id{"v2"});
    CHECK(it.complete(start));
}

TEST_CASE("the wait begins at the majority and lasts all four spans")
{
    takeover it{spans, 2048, two_vms, {members({1, 2, 3, 4, 5})}};
    it.claim_applied_by(member(2), start);
    it.claim_applied_by(member(2), start + seconds{1});
    it.claim_applied_by(member(3), start + seconds{1});
    it.claim_applied_by(member(9), start + seconds{1});
    CHECK_FALSE(it.waited_out_at());
    it.claim_applied_by(member(4), start + seconds{5});
    REQUIRE(it.waited_out_at() == start + seconds{5} + whole_wait);
    it.claim_applied_by(member(5), start + seconds{9});
    const time_point end = *it.waited_out_at();
    CHECK(end == start + seconds{5} + whole_wait);
    CHECK_FALSE(it.is_safe(vm_id{"v1"}, end - milliseconds{1}));
    CHECK_FALSE(it.complete(end - milliseconds{1}));
    CHECK(it.is_safe(vm_id{"v1"}, end));
    CHECK(it.complete(end));
}

TEST_CASE("two of eight replaced: a majority of the newest set is not enough")
{
    const auto before = members({1, 2, 3, 4, 5, 6, 7, 8});
    const auto after = members({1, 2, 3, 4, 5, 6, 9, 10});
    takeover it{spans, 2048, two_vms, {before, after}};
    for (const int n : {5, 6, 9, 10, 4}) {
        it.claim_applied_by(member(n), start);
    }
    CHECK_FALSE(it.waited_out_at());
    it.claim_applied_by(member(3), start + seconds{1});
    CHECK_FALSE(it.waited_out_at());
    SECTION("another of the old members applied the claim")
    {
        it.claim_applied_by(member(2), start + seconds{2});
        CHECK(it.waited_out_at() == start + seconds{2} + whole_wait);
    }
    SECTION("a replaced member had left by itself")
    {
        it.left_by_itself(member(7), start + seconds{2});
        CHECK(it.waited_out_at() == start + seconds{2} + whole_wait);
    }
}

TEST_CASE("without known member sets there is only the fence")
{
    takeover it{spans, 2048, two_vms, {}};
    it.claim_applied_by(member(1), start);
    CHECK_FALSE(it.waited_out_at());
    CHECK_FALSE(it.complete(time_point::max()));
}

TEST_CASE("a region whose only member is the former holder is not waited out")
{
    takeover it{spans, 2048, two_vms, {members({1}), {}}};
    it.claim_applied_by(member(2), start);
    CHECK_FALSE(it.waited_out_at());
}

} // namespace
