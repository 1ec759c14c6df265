#include <test/lib/placement_cell.hpp>

#include <catch2/catch.hpp>

namespace rosemarytrail::placement {

namespace {

using namespace std::chrono_literals;
using test::placement_cell;
using test::vm_size;

const team_id team_a{"a"};
const team_id team_b{"b"};

constexpr resources quarter{4000, 16384, 0};

} // namespace

TEST_CASE("a team does not exceed its allowance", "[placement]")
{
    placement_cell cell;
    cell.add_vms(4);
    cell.add_team("a", 1.0, quarter * 3);
    const auto job =
        cell.add("j", {.team = team_a, .tasks = 8, .request = quarter});
    CHECK(cell.decide().size() == 3);
    CHECK(cell.wait_code(job) == result_code::waiting_for_allowance);
    cell.add_team("a", 1.0, quarter * 5);
    CHECK(cell.decide().size() == 2);
}

TEST_CASE("a lowered allowance stops the least valuable tasks", "[placement]")
{
    placement_cell cell;
    cell.add_vms(4);
    cell.add_team("a");
    cell.add("s", {.team = team_a,
                   .policy = job_class::service,
                   .tasks = 2,
                   .request = quarter});
    cell.add("high", {.team = team_a, .request = quarter, .priority = 9});
    cell.add("low", {.team = team_a,
                     .tasks = 2,
                     .request = quarter,
                     .priority = 1,
                     .checkpointable = true});
    REQUIRE(cell.decide().size() == 5);
    cell.add_team("a", 1.0, quarter * 3);
    const auto made = cell.decide();
    REQUIRE(made.size() == 2);
    for (const auto& it : made) {
        CHECK(it.kind == decision_kind::checkpoint);
        CHECK(it.code == result_code::limit_lowered);
        CHECK(it.task.job == job_id{"low"});
        cell.end(it.task, task_end::evicted);
    }
    CHECK(cell.decide_after(1s).empty());
    CHECK(cell.scheduler->used_by(team_a) == quarter * 3);
}

TEST_CASE("a job from before the takeover waits until all VMs are fenced",
          "[placement]")
{
    placement_cell cell;
    cell.add_vms(1, true);
    cell.add_vms(1, false);
    cell.add_team("a");
    const auto old =
        cell.add("old", {.team = team_a, .request = quarter}, true);
    cell.add("new", {.team = team_a, .tasks = 8, .request = quarter});
    const auto made = cell.decide();
    CHECK(made.size() == 4);
    for (const auto& it : made) {
        CHECK(it.vm == cell.vms[0]);
        CHECK(it.task.job == job_id{"new"});
    }
    CHECK(cell.wait_code(old) == result_code::waiting_for_fence);
    cell.upsert_vm(1, true);
    CHECK(cell.decide().size() == 4);
}

TEST_CASE("free capacity of unfenced VMs counts against allowances",
          "[placement]")
{
    placement_cell cell;
    cell.add_vms(1, true);
    cell.add_vms(1, false);
    cell.add_team("a", 1.0, vm_size);
    const auto job = cell.add("j", {.team = team_a, .request = quarter});
    CHECK(cell.decide().empty());
    CHECK(cell.wait_code(job) == result_code::waiting_for_fence);
    cell.upsert_vm(1, true);
    CHECK(cell.decide().size() == 1);
}

TEST_CASE("an infeasible job is rejected immediately", "[placement]")
{
    placement_cell cell;
    cell.add_vms(2);
    cell.scheduler->upsert_team(
        {.team = team_a, .allowance = vm_size, .limit = vm_size});
    cell.add_team("b");
    const auto reject = [&](const std::string& name, job_spec spec) {
        cell.add(name, std::move(spec));
        const auto made = cell.decide();
        REQUIRE(made.size() == 1);
        CHECK(made[0].kind == decision_kind::reject);
        CHECK(!cell.scheduler->explain(job_id{name}, cell.now));
        return made[0].code;
    };
    CHECK(reject("vm", {.team = team_b, .request = {16001, 1, 0}}) ==
          result_code::never_fits);
    CHECK(reject("fleet", {.team = team_b,
                           .policy = job_class::gang,
                           .tasks = 3,
                           .request = vm_size}) == result_code::never_fits);
    CHECK(reject("limit", {.team = team_a,
                           .policy = job_class::gang,
                           .tasks = 5,
                           .request = quarter}) ==
          result_code::over_team_limit);
}

TEST_CASE("urgent work preempts batch work of teams over their share",
          "[placement]")
{
    const bool can_checkpoint = GENERATE(true, false);
    placement_cell cell;
    cell.add_vms(2);
    cell.add_team("a");
    cell.add_team("b");
    cell.add("s", {.team = team_b,
                   .policy = job_class::service,
                   .tasks = 2,
                   .request = quarter});
    cell.add("batch", {.team = team_b,
                       .tasks = 100,
                       .request = quarter,
                       .checkpointable = can_checkpoint});
    REQUIRE(cell.decide().size() == 8);
    cell.add("u", {.team = team_a, .request = quarter * 2, .urgent = true});
    const auto made = cell.decide_after(1s);
    REQUIRE(made.size() == 2);
    for (const auto& it : made) {
        CHECK(it.kind == (can_checkpoint ? decision_kind::checkpoint
                                         : decision_kind::stop));
        CHECK(it.code == result_code::preempted);
        CHECK(it.task.job == job_id{"batch"});
    }
    cell.end(made[0].task, task_end::evicted);
    CHECK(cell.decide_after(100ms).empty());
    cell.end(made[1].task, task_end::evicted);
    const auto starts = cell.decide_after(100ms);
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task.job == job_id{"u"});
}

TEST_CASE("urgent work does not preempt teams below its own share",
          "[placement]")
{
    placement_cell cell;
    cell.add_vms(2);
    cell.add_team("a");
    cell.add_team("b");
    cell.add("s", {.team = team_a,
                   .policy = job_class::service,
                   .tasks = 6,
                   .request = quarter});
    cell.add("batch", {.team = team_b, .tasks = 2, .request = quarter});
    REQUIRE(cell.decide().size() == 8);
    cell.add("u", {.team = team_a, .request = quarter, .urgent = true});
    CHECK(cell.decide_after(1s).empty());
}

TEST_CASE("a cancelled job releases all its resources", "[placement]")
{
    placement_cell cell;
    cell.add_vms(1);
    cell.add_team("a");
    for (int it = 0; it < 1000; ++it) {
        cell.add("j" + std::to_string(it),
                 {.team = team_a, .tasks = 10, .request = quarter});
    }
    REQUIRE(cell.decide().size() == 4);
    std::vector<decision> stops;
    for (int it = 0; it < 1000; ++it) {
        const job_id job{"j" + std::to_string(it)};
        const auto made = cell.scheduler->cancel_job(job, cell.now);
        stops.insert(stops.end(), made.begin(), made.end());
    }
    CHECK(stops.size() == 4);
    CHECK(cell.scheduler->queued_by(team_a).is_zero());
    CHECK(cell.decide().empty());
    for (const auto& it : stops) {
        CHECK(it.kind == decision_kind::stop);
        cell.end(it.task, task_end::evicted);
    }
    CHECK(cell.decide_after(1h).empty());
    CHECK(cell.scheduler->used_by(team_a).is_zero());
}

TEST_CASE("a queued start is withdrawn on cancel", "[placement]")
{
    placement_cell cell;
    cell.add_vms(1);
    cell.add_team("a");
    const auto job = cell.add("g", {.team = team_a,
                                    .policy = job_class::gang,
                                    .tasks = 4,
                                    .request = quarter});
    REQUIRE(cell.decide(1).size() == 1);
    CHECK(cell.scheduler->cancel_job(job, cell.now).size() == 1);
    CHECK(cell.scheduler->used_by(team_a) == quarter);
    CHECK(cell.decide().empty());
}

TEST_CASE("an adopted task is committed and not restarted", "[placement]")
{
    placement_cell cell;
    cell.add_vms(1);
    cell.add_team("a");
    const auto job =
        cell.add("j", {.team = team_a, .tasks = 3, .request = quarter}, true);
    cell.scheduler->adopt_task({job, 1}, 7, cell.vms[0], cell.now);
    cell.scheduler->mark_task_ended({job, 2});
    CHECK(cell.scheduler->committed_on(cell.vms[0]) == quarter);
    const auto made = cell.decide();
    REQUIRE(made.size() == 1);
    CHECK(made[0].task.index == 0);
    cell.end({job, 1}, task_end::lost);
    const auto again = cell.decide_after(1s);
    REQUIRE(again.size() == 1);
    CHECK(again[0].attempt == 8);
}

} // namespace rosemarytrail::placement
