#include <test/lib/placement_cell.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace rosemarytrail::placement {

namespace {

using namespace std::chrono_literals;
using test::only;
using test::placement_cell;
using test::vm_size;

const team_id team_a{"a"};
const team_id team_b{"b"};

constexpr resources quarter{4000, 16384, 0};

[[nodiscard]] std::map<vm_id, int> by_vm(const std::vector<decision>& made)
{
    std::map<vm_id, int> counts;
    for (const auto& it : made) {
        ++counts[it.vm];
    }
    return counts;
}

} // namespace

TEST_CASE("services spread over zones, racks and VMs", "[placement]")
{
    placement_cell cell;
    cell.add_vms(8);
    cell.add_team("a");
    cell.add("s", {.team = team_a,
                   .policy = job_class::service,
                   .tasks = 4,
                   .request = {1000, 1024, 0}});
    const auto counts = by_vm(cell.decide());
    std::set<std::string> racks;
    for (const auto& [vm, n] : counts) {
        racks.insert(std::to_string((vm.str().back() - '0') / 2));
    }
    CHECK(counts.size() == 4);
    CHECK(racks.size() == 4);
}

TEST_CASE("batch packs onto the fullest VM that fits", "[placement]")
{
    placement_cell cell;
    cell.add_vms(8);
    cell.add_team("a");
    cell.add("b", {.team = team_a, .tasks = 8, .request = quarter});
    CHECK(by_vm(cell.decide()).size() == 2);
    const auto job =
        cell.add("c", {.team = team_a, .tasks = 4, .request = quarter});
    cell.scheduler->adopt_task({job, 0}, 1, cell.vms[6], cell.now);
    cell.scheduler->adopt_task({job, 1}, 1, cell.vms[6], cell.now);
    cell.scheduler->adopt_task({job, 2}, 1, cell.vms[3], cell.now);
    CHECK(cell.decide().at(0).vm == cell.vms[6]);
}

TEST_CASE("batch prefers VMs whose busy time it does not extend", "[placement]")
{
    placement_cell cell;
    cell.add_vms(2);
    cell.add_team("a");
    cell.add("long", {.team = team_a, .request = quarter, .run_time = 600s});
    const auto first = cell.decide();
    cell.add("short",
             {.team = team_a, .request = quarter * 4, .run_time = 20s});
    REQUIRE(cell.decide().size() == 1);
    cell.end({job_id{"short"}, 0}, task_end::succeeded);
    cell.add("short2",
             {.team = team_a, .request = quarter * 3, .run_time = 20s});
    REQUIRE(cell.decide().at(0).vm == first.at(0).vm);
    cell.add("short3",
             {.team = team_a, .request = quarter * 2, .run_time = 20s});
    const auto other = cell.decide();
    REQUIRE(other.at(0).vm != first.at(0).vm);
    cell.end({job_id{"short2"}, 0}, task_end::succeeded);
    cell.add("mid", {.team = team_a, .request = quarter, .run_time = 300s});
    CHECK(cell.decide().at(0).vm == first.at(0).vm);
}

TEST_CASE("a gang starts completely or not at all", "[placement]")
{
    placement_cell cell;
    cell.add_vms(2);
    cell.scheduler->set_fleet({.capacity = vm_size * 3, .largest_vm = vm_size});
    cell.add_team("a");
    const auto gang = cell.add("g", {.team = team_a,
                                     .policy = job_class::gang,
                                     .tasks = 9,
                                     .request = quarter});
    CHECK(cell.decide().empty());
    CHECK(cell.wait_code(gang) == result_code::waiting_for_gang);
    cell.add_vms(1);
    CHECK(cell.decide_after(100ms).size() == 9);
}

TEST_CASE("the starts of a gang may be returned over several calls",
          "[placement]")
{
    placement_cell cell;
    cell.add_vms(2);
    cell.add_team("a");
    cell.add("g", {.team = team_a,
                   .policy = job_class::gang,
                   .tasks = 8,
                   .request = quarter});
    CHECK(cell.decide(3).size() == 3);
    CHECK(cell.scheduler->used_by(team_a) == quarter * 8);
    CHECK(cell.decide(8).size() == 5);
}

TEST_CASE("a gang that loses a task stops and restarts completely",
          "[placement]")
{
    placement_cell cell;
    cell.add_vms(2);
    cell.add_team("a");
    cell.add("g", {.team = team_a,
                   .policy = job_class::gang,
                   .tasks = 4,
                   .request = quarter});
    const auto made = cell.decide();
    REQUIRE(made.size() == 4);
    cell.end(made[0].task, task_end::lost);
    const auto stops = cell.decide_after(1s);
    REQUIRE(only(stops, decision_kind::stop).size() == 3);
    CHECK(stops.size() == 3);
    for (const auto& it : stops) {
        cell.end(it.task, task_end::evicted);
    }
    CHECK(cell.decide_after(1s).size() == 4);
}

namespace {

/** @brief Cell kept full of short tasks; one task ends every 100 ms. */
struct busy_cell : placement_cell
{
    explicit busy_cell(int n)
    {
        add_vms(n);
        add_team("a");
        add_team("b");
        add("small", {.team = team_b,
                      .tasks = 4000,
                      .request = quarter,
                      .run_time = std::chrono::seconds{2}});
        track(decide());
    }

    void track(const std::vector<decision>& made)
    {
        for (const auto& it : made) {
            if (it.kind != decision_kind::start) {
                continue;
            }
            if (it.task.job.str() == "small") {
                running.push_back(it.task);
            } else {
                ++gang_tasks;
                gang_vms.insert(it.vm);
            }
        }
    }

    void step()
    {
        end(running.front(), task_end::succeeded);
        running.erase(running.begin());
        track(decide_after(100ms));
    }

    std::vector<task_ref> running;
    int gang_tasks{};
    std::set<vm_id> gang_vms;
};

} // namespace

TEST_CASE("small work does not starve a gang", "[placement]")
{
    busy_cell cell{4};
    cell.add("gang", {.team = team_a,
                      .policy = job_class::gang,
                      .tasks = 2,
                      .request = vm_size,
                      .run_time = 10s});
    for (int it = 0; it < 80 && cell.gang_tasks == 0; ++it) {
        cell.step();
    }
    CHECK(cell.gang_tasks == 2);
    CHECK(cell.gang_vms.size() == 2);
}

TEST_CASE("two gangs do not deadlock on reserved capacity", "[placement]")
{
    busy_cell cell{4};
    for (const auto* name : {"g1", "g2"}) {
        cell.add(name, {.team = team_a,
                        .policy = job_class::gang,
                        .tasks = 3,
                        .request = vm_size,
                        .run_time = 5s});
    }
    for (int it = 0; it < 150 && cell.gang_tasks < 3; ++it) {
        cell.step();
    }
    REQUIRE(cell.gang_tasks == 3);
    const std::string first =
        cell.wait_code(job_id{"g1"}) == result_code::ok ? "g1" : "g2";
    for (std::uint32_t it = 0; it < 3; ++it) {
        cell.end({job_id{first}, it}, task_end::succeeded);
    }
    for (int it = 0; it < 150 && cell.gang_tasks < 6; ++it) {
        cell.step();
    }
    CHECK(cell.gang_tasks == 6);
}

TEST_CASE("VMs drain for one gang at a time", "[placement]")
{
    placement_cell cell;
    cell.add_vms(4);
    cell.add_team("a");
    cell.add_team("b");
    cell.add("long",
             {.team = team_b, .tasks = 4, .request = quarter, .run_time = 60s});
    cell.add("small",
             {.team = team_b, .tasks = 12, .request = quarter, .run_time = 1s});
    REQUIRE(cell.decide().size() == 16);
    for (const auto* name : {"g1", "g2"}) {
        cell.add(name, {.team = team_a,
                        .policy = job_class::gang,
                        .tasks = 2,
                        .request = quarter * 3,
                        .run_time = 10s});
    }
    CHECK(cell.decide().empty());
    CHECK(cell.decide_after(3s).empty());
    std::map<std::string, int> draining;
    for (int it = 0; it < 8; ++it) {
        CHECK(cell.decide_after(200ms).empty());
        for (const auto* name : {"g1", "g2"}) {
            const auto why = cell.scheduler->explain(job_id{name}, cell.now);
            REQUIRE(why);
            const bool drains = why->detail.find("drain") != std::string::npos;
            draining[name] += drains ? 1 : 0;
        }
    }
    CHECK(std::min(draining["g1"], draining["g2"]) == 0);
    CHECK(std::max(draining["g1"], draining["g2"]) == 8);
}

TEST_CASE("released capacity goes to the team below its share", "[placement]")
{
    placement_cell cell;
    cell.add_vms(8);
    cell.add_team("a");
    cell.add_team("b");
    cell.add(
        "small",
        {.team = team_b, .tasks = 200, .request = quarter, .run_time = 10s});
    auto running = cell.decide();
    REQUIRE(running.size() == 32);
    cell.add("large", {.team = team_a, .request = vm_size, .run_time = 10s});
    CHECK(cell.decide().empty());
    cell.now += 3s;
    bool has_started = false;
    // Fewer rounds than queued small tasks, so the capacity stays contested.
    for (std::size_t it = 0; it < 64 && !has_started; ++it) {
        cell.end(running[it].task, task_end::succeeded);
        for (const auto& made : cell.decide_after(200ms)) {
            has_started = has_started || made.task.job == job_id{"large"};
            running.push_back(made);
        }
    }
    CHECK(has_started);
}

TEST_CASE("only short tasks backfill a draining VM", "[placement]")
{
    const bool is_short = GENERATE(true, false);
    placement_cell cell;
    cell.add_vms(1);
    cell.add_team("a");
    cell.add_team("b");
    cell.add("long",
             {.team = team_b, .tasks = 3, .request = quarter, .run_time = 60s});
    REQUIRE(cell.decide().size() == 3);
    cell.add("gang", {.team = team_a,
                      .policy = job_class::gang,
                      .tasks = 4,
                      .request = quarter,
                      .run_time = 10s});
    CHECK(cell.decide().empty());
    CHECK(cell.decide_after(3s).empty());
    cell.add(
        "fill",
        {.team = team_b, .request = quarter, .run_time = is_short ? 5s : 600s});
    CHECK(cell.decide_after(1s).size() == (is_short ? 1 : 0));
}

TEST_CASE("a full cell is divided by weight, including use elsewhere",
          "[placement]")
{
    placement_cell cell;
    cell.add_vms(4);
    cell.add_team("a", 1.0);
    cell.add_team("b", 3.0);
    const bool counts_elsewhere = GENERATE(false, true);
    if (counts_elsewhere) {
        cell.scheduler->upsert_team({.team = team_b,
                                     .weight = 3.0,
                                     .allowance = vm_size * 100,
                                     .used_elsewhere = vm_size * 3});
    }
    for (const auto& it : {team_a, team_b}) {
        cell.add("j" + it.str(),
                 {.team = it, .tasks = 100, .request = quarter});
    }
    cell.decide();
    const auto expected = counts_elsewhere ? 7 : 4;
    CHECK(cell.scheduler->used_by(team_a) == quarter * expected);
}

TEST_CASE("priority precedes age within a team", "[placement]")
{
    placement_cell cell;
    cell.add_vms(1);
    cell.add_team("a");
    cell.add("old", {.team = team_a, .request = vm_size, .priority = 4});
    cell.add("new", {.team = team_a, .request = vm_size, .priority = 6});
    const auto made = cell.decide();
    REQUIRE(made.size() == 1);
    CHECK(made[0].task.job == job_id{"new"});
    CHECK(cell.wait_code(job_id{"old"}) == result_code::waiting_for_room);
}

} // namespace rosemarytrail::placement
