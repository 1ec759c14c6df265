#include <rosemarytrail/cell/call_table.hpp>

#include <catch2/catch.hpp>

namespace rosemarytrail::cell {

namespace {

using namespace std::chrono_literals;
constexpr time_point now{std::chrono::seconds{50}};
const call_number first{.origin = "n1", .value = 1};
const call_number second{.origin = "n1", .value = 2};
const call_number third{.origin = "n2", .value = 1};

} // namespace

TEST_CASE("The status of a forwarded call can be queried", "[call_table]")
{
    call_table calls{{}};
    REQUIRE(calls.begin(first, now));
    CHECK(calls.query(first, now).progress == call_progress::in_progress);
    calls.finish(first, {.kind = answer_kind::accepted}, now + 2s);
    const auto report = calls.query(first, now + 2s);
    CHECK(report.progress == call_progress::answered);
    REQUIRE(report.answer);
    CHECK(report.answer->kind == answer_kind::accepted);
}

TEST_CASE("A call whose origin was told that it is unknown is never served",
          "[call_table]")
{
    call_table calls{{}};
    CHECK(calls.query(first, now).progress == call_progress::unknown);
    CHECK_FALSE(calls.begin(first, now + 1s));
    CHECK(calls.begin(second, now + 1s));
}

TEST_CASE("A full table keeps the calls in progress", "[call_table]")
{
    call_table calls{{.max_calls = 2}};
    REQUIRE(calls.begin(first, now));
    REQUIRE(calls.begin(second, now));
    CHECK_FALSE(calls.begin(third, now));
    calls.finish(second, {}, now);
    CHECK(calls.begin(third, now));
    CHECK(calls.size() == 2);
    CHECK(calls.query(first, now).progress == call_progress::in_progress);
}

TEST_CASE("Responses are retained for a limited time", "[call_table]")
{
    call_table calls{{}};
    REQUIRE(calls.begin(first, now));
    calls.finish(first, {}, now);
    REQUIRE(calls.begin(second, now + 6s));
    CHECK(calls.size() == 1);
}

} // namespace rosemarytrail::cell
