#include "scenario.hpp"

#include <catch2/catch.hpp>

#include <string>

using rosemarytrail::test::all_faults;
using rosemarytrail::test::fault;
using rosemarytrail::test::fault_step;
using rosemarytrail::test::fault_steps;
using rosemarytrail::test::scenario;

namespace {

constexpr std::size_t shards = 6;

void run_cell(const fault_step& step, std::span<const fault* const> faults)
{
    scenario it{step, faults};
    it.run();
    std::string name{step.name};
    for (const auto* with : faults) {
        name += " | " + std::string{with->name};
    }
    for (const auto& line : it.broken) {
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
            run_cell(steps[n], {&one, 1});
        }
    }
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
