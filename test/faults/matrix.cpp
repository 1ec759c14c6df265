#include "matrix.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <string_view>

namespace rosemarytrail::test {

std::set<std::string> run_cell(const fault_step& step,
                               std::span<const fault* const> faults)
{
    scenario it{step, faults};
    it.run();
    return it.broken;
}

std::string_view not_applicable(const fault_step& step, const fault& it)
{
    if (!step.is_step && it.change_message) {
        return "a";
    }
    return step.over_tcp && it.doubles ? "b" : "";
}

} // namespace rosemarytrail::test

using rosemarytrail::test::all_faults;
using rosemarytrail::test::fault;
using rosemarytrail::test::fault_step;
using rosemarytrail::test::fault_steps;
using rosemarytrail::test::not_applicable;
using rosemarytrail::test::run_cell;
using rosemarytrail::test::shards;

namespace {

void check_cell(const fault_step& step, std::span<const fault* const> faults)
{
    std::string name{step.name};
    for (const auto* with : faults) {
        name += " | " + std::string{with->name};
    }
    for (const auto& line : run_cell(step, faults)) {
        INFO(name << ": " << line);
        CHECK(line.empty());
    }
}

void run_shard(std::size_t shard)
{
    const auto& steps = fault_steps();
    for (std::size_t n = shard; n < steps.size(); n += shards) {
        for (const auto& it : all_faults()) {
            const fault* one = &it;
            check_cell(steps[n], {&one, 1});
        }
    }
}

[[nodiscard]] std::size_t run_pairs_at(const fault_step& step)
{
    const auto& faults = all_faults();
    std::size_t count = 0;
    for (std::size_t a = 1; a < faults.size(); ++a) {
        for (std::size_t b = a + 1; b < faults.size(); ++b) {
            const std::array pair{&faults[a], &faults[b]};
            if (!not_applicable(step, *pair[0]).empty() ||
                !not_applicable(step, *pair[1]).empty()) {
                continue;
            }
            check_cell(step, pair);
            ++count;
        }
    }
    return count;
}

/** The first fault is none; pairs with it are the matrix itself. */
void run_pairs(std::size_t shard)
{
    const auto& steps = fault_steps();
    std::size_t count = 0;
    for (std::size_t n = shard; n < steps.size(); n += shards) {
        count += run_pairs_at(steps[n]);
    }
    WARN("pairs run: " << count);
}

} // namespace

TEST_CASE("Every fault at every step, 0", "[shard0]")
{
    run_shard(0);
}
TEST_CASE("Every fault at every step, 1", "[shard1]")
{
    run_shard(1);
}
TEST_CASE("Every fault at every step, 2", "[shard2]")
{
    run_shard(2);
}
TEST_CASE("Every fault at every step, 3", "[shard3]")
{
    run_shard(3);
}
TEST_CASE("Every fault at every step, 4", "[shard4]")
{
    run_shard(4);
}
TEST_CASE("Every fault at every step, 5", "[shard5]")
{
    run_shard(5);
}
TEST_CASE("Each pair of faults at every step, 0", "[.pairs0]")
{
    run_pairs(0);
}
TEST_CASE("Each pair of faults at every step, 1", "[.pairs1]")
{
    run_pairs(1);
}
TEST_CASE("Each pair of faults at every step, 2", "[.pairs2]")
{
    run_pairs(2);
}
TEST_CASE("Each pair of faults at every step, 3", "[.pairs3]")
{
    run_pairs(3);
}
TEST_CASE("Each pair of faults at every step, 4", "[.pairs4]")
{
    run_pairs(4);
}
TEST_CASE("Each pair of faults at every step, 5", "[.pairs5]")
{
    run_pairs(5);
}
