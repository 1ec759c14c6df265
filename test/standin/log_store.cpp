#include <catch2/catch.hpp>

#include <rosemarytrail/standin/log_store.hpp>
#include <rosemarytrail/standin/vm_list_model.hpp>

using namespace rosemarytrail;          // NOLINT
using namespace rosemarytrail::standin; // NOLINT
using backends::append_result;
using backends::read_result;

namespace {

constexpr time_point start{std::chrono::seconds{100}};

[[nodiscard]] time_point at(std::int64_t ms)
{
    return start + std::chrono::milliseconds{ms};
}

} // namespace

TEST_CASE("The log keeps the order of appends and trims the oldest",
          "[standin]")
{
    log_store log{{.kept_entries = 3}};
    for (std::uint64_t i = 0; i < 5; ++i) {
        const auto it = log.append("s", std::to_string(i), start);
        CHECK(it.outcome.result == append_result::appended);
        CHECK(it.outcome.offset == i);
    }
    CHECK(log.read({.stream = "s", .from = 1}).result == read_result::trimmed);
    const auto kept = log.read({.stream = "s", .from = 3, .bytes = 1});
    REQUIRE(kept.entries.size() == 1);
    CHECK(kept.entries[0].payload == "3");
    CHECK(kept.first_offset == 2);
    CHECK(kept.next_offset == 5);
    CHECK(log.read({.stream = "s", .from = 5}).entries.empty());
    CHECK(log.read({.stream = "other"}).next_offset == 0);
}

TEST_CASE("The log refuses beyond its cap and says when to come back",
          "[standin]")
{
    log_store log{{.appends_per_second = 10.0}};
    const auto append = [&](std::int64_t ms) {
        return log.append("s", "x", at(ms)).outcome;
    };
    for (int i = 0; i < 10; ++i) {
        CHECK(append(0).result == append_result::appended);
    }
    const auto over = append(0);
    CHECK(over.result == append_result::refused);
    CHECK(over.retry_after == std::chrono::milliseconds{100});
    CHECK(append(100).result == append_result::appended);
    CHECK(append(100).result == append_result::refused);
    CHECK(log.next_offset("s") == 11);
}

TEST_CASE("An answer of the log is lost after the effect", "[standin]")
{
    log_store log{{.lose_answers = 1.0}};
    const auto it = log.append("s", "x", start);
    CHECK(it.lost);
    CHECK(log.next_offset("s") == 1);
    log.set_faults({.mode = fault_mode::down});
    CHECK(log.append("s", "x", start).outcome.result == append_result::refused);
    CHECK(log.read({.stream = "s"}).result == read_result::failed);
    log.set_faults({});
    CHECK(log.next_offset("s") == 1);
}

TEST_CASE("The VM list lags, and strikes off the silent", "[standin]")
{
    vm_list_model list{{.lag = std::chrono::milliseconds{100},
                        .expiry = std::chrono::milliseconds{1000}}};
    const auto names = [&](std::int64_t ms) {
        std::string result;
        for (const auto& it : list.list(at(ms)).vms) {
            result += it.vm.str() + (it.leaving ? "! " : " ");
        }
        return result;
    };
    list.upsert({.vm = vm_id{"a"}}, at(0));
    list.upsert({.vm = vm_id{"b"}}, at(50));
    CHECK(names(99).empty());
    CHECK(names(100) == "a ");
    list.upsert({.vm = vm_id{"a"}, .leaving = true}, at(150));
    CHECK(names(200) == "a b ");
    CHECK(names(250) == "a! b ");
    list.upsert({.vm = vm_id{"a"}}, at(1000));
    CHECK(names(1149) == "a b ");
    CHECK(names(1150) == "a ");
    list.remove(vm_id{"a"}, at(1200));
    CHECK(names(1299) == "a ");
    CHECK(names(1300).empty());
    list.set_faults({.mode = fault_mode::down});
    CHECK_FALSE(list.list(at(1400)).answered);
}
