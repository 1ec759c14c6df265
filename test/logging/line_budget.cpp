#include <rosemarytrail/logging/line_budget.hpp>

#include <catch2/catch.hpp>

#include <cstddef>
#include <cstdint>

using namespace rosemarytrail;          // NOLINT
using namespace rosemarytrail::logging; // NOLINT

namespace {

using namespace std::chrono_literals;

constexpr std::size_t usual_line = 250;

} // namespace

TEST_CASE("A flood of one kind leaves room for the others", "[logging]")
{
    line_budget budget{{.lines_per_s = 100, .burst_lines = 200}};
    time_point now{10s};
    std::size_t flood = 0;
    std::size_t rare = 0;
    for (int i = 0; i < 50000; ++i) {
        now += 100us;
        flood += budget.admit("call_refused", usual_line, now) ? 1 : 0;
        if (i % 5000 == 0) {
            rare += budget.admit("store_lost", usual_line, now) ? 1 : 0;
        }
    }
    CHECK(flood <= 700);
    CHECK(flood >= 500);
    CHECK(rare == 10);
    const auto left_out = budget.take_left_out();
    REQUIRE(left_out.size() == 1);
    CHECK(left_out[0].kind == "call_refused");
    CHECK(left_out[0].lines == 50000 - flood);
    CHECK(budget.take_left_out().empty());
}

TEST_CASE("Ten times the usual load stays within the volume", "[logging]")
{
    // 12 kinds of 600 lines a second: ten times what the leader of a cell of
    // 350 workers writes at its peak.
    const line_budget_options options;
    line_budget budget{options};
    time_point now{10s};
    std::uint64_t bytes = 0;
    constexpr int seconds = 20;
    constexpr int kinds = 12;
    constexpr int lines = 600;
    for (int i = 0; i < seconds * lines; ++i) {
        now += duration{1s} / lines;
        for (int kind = 0; kind < kinds; ++kind) {
            if (budget.admit(std::to_string(kind), usual_line, now)) {
                bytes += usual_line;
            }
        }
    }
    CHECK(static_cast<double>(bytes) <=
          options.burst_bytes + seconds * options.bytes_per_s);
    CHECK(static_cast<double>(bytes) >= seconds * options.bytes_per_s);
}

TEST_CASE("The usual load is logged whole", "[logging]")
{
    line_budget budget{{}};
    time_point now{10s};
    for (int i = 0; i < 60 * 150; ++i) {
        now += duration{1s} / 150;
        CHECK(budget.admit("decision: placed", usual_line, now));
    }
    CHECK_FALSE(budget.has_left_out());
}
