#include <test/lib/placement_cell.hpp>

#include <rosemarytrail/placement/internal/run_time_history.hpp>

#include <catch2/catch.hpp>

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

/** @brief Advances the clock until there is a decision, for 100 s at most. */
std::vector<decision> wait_for_decision(placement_cell& cell)
{
    for (int it = 0; it < 1000; ++it) {
        auto made = cell.decide_after(100ms);
        if (!made.empty()) {
            return made;
        }
    }
    return {};
}

} // namespace

TEST_CASE("a job that fails on distinct VMs is rejected", "[placement]")
{
    placement_cell cell;
    cell.add_vms(8);
    cell.add_team("a");
    const auto job = cell.add(
        "j", {.team = team_a, .request = quarter, .max_attempts = 100});
    std::set<vm_id> vms;
    auto made = cell.decide();
    for (int it = 0; it < 3; ++it) {
        REQUIRE(made.size() == 1);
        REQUIRE(made[0].kind == decision_kind::start);
        vms.insert(made[0].vm);
        cell.end(made[0].task, task_end::failed);
        if (it == 0) {
            CHECK(cell.wait_code(job) == result_code::waiting_for_retry);
        }
        made = wait_for_decision(cell);
    }
    CHECK(vms.size() == 3);
    REQUIRE(made.size() == 1);
    CHECK(made[0].kind == decision_kind::reject);
    CHECK(made[0].code == result_code::failed_everywhere);
}

TEST_CASE("a failed task is not retried on the same VM", "[placement]")
{
    placement_cell cell;
    cell.add_vms(2);
    cell.add_team("a");
    cell.add("keep", {.team = team_a, .request = quarter, .run_time = 1h});
    const auto first = cell.decide();
    const auto job = cell.add("j", {.team = team_a, .request = quarter});
    cell.scheduler->adopt_task({job, 0}, 1, first.at(0).vm, cell.now);
    cell.end({job, 0}, task_end::failed);
    cell.end(first[0].task, task_end::succeeded);
    cell.add("keep2", {.team = team_a, .request = quarter, .run_time = 1h});
    REQUIRE(cell.decide().at(0).vm == first[0].vm);
    const auto again = wait_for_decision(cell);
    REQUIRE(again.size() == 1);
    CHECK(again[0].vm != first[0].vm);
}

TEST_CASE("other jobs avoid a VM on which a task has just failed",
          "[placement]")
{
    placement_cell cell;
    cell.add_vms(2);
    cell.add_team("a");
    const auto job = cell.add("j", {.team = team_a, .request = quarter});
    cell.scheduler->adopt_task({job, 0}, 1, cell.vms[0], cell.now);
    cell.end({job, 0}, task_end::failed);
    cell.add("k", {.team = team_a, .request = quarter});
    CHECK(cell.decide().at(0).vm == cell.vms[1]);
}

TEST_CASE("a queued stop is dropped when its task ends", "[placement]")
{
    placement_cell cell;
    cell.add_vms(1);
    cell.add_team("a");
    const auto job =
        cell.add("j", {.team = team_a, .tasks = 2, .request = quarter});
    REQUIRE(cell.decide().size() == 2);
    cell.add_team("a", 1.0, {});
    REQUIRE(cell.decide(1).size() == 1);
    cell.end({job, 0}, task_end::succeeded);
    cell.end({job, 1}, task_end::succeeded);
    CHECK(cell.decide().empty());
}

TEST_CASE("a queued start is dropped when its VM starts to leave",
          "[placement]")
{
    placement_cell cell;
    cell.add_vms(2);
    cell.add_team("a");
    cell.add("g", {.team = team_a,
                   .policy = job_class::gang,
                   .tasks = 8,
                   .request = quarter});
    const auto first = cell.decide(1);
    REQUIRE(first.size() == 1);
    cell.upsert_vm(0, true, false);
    cell.upsert_vm(1, true, false);
    for (const auto& it : cell.decide()) {
        CHECK(it.kind != decision_kind::start);
    }
}

TEST_CASE("a task has a bounded number of attempts", "[placement]")
{
    placement_cell cell;
    cell.add_vms(2);
    cell.add_team("a");
    cell.add("j", {.team = team_a, .request = quarter, .max_attempts = 4});
    auto made = cell.decide();
    for (int it = 0; it < 4; ++it) {
        REQUIRE(made.size() == 1);
        REQUIRE(made[0].kind == decision_kind::start);
        cell.end(made[0].task, task_end::lost);
        made = wait_for_decision(cell);
    }
    REQUIRE(made.size() == 1);
    CHECK(made[0].code == result_code::attempts_spent);
}

TEST_CASE("retry delays grow, and a spent budget lengthens them", "[placement]")
{
    placement_cell cell;
    cell.add_vms(1);
    cell.add_team("a");
    cell.add("j", {.team = team_a, .request = quarter, .max_attempts = 100});
    REQUIRE(cell.decide().size() == 1);
    std::vector<duration> waits;
    for (int it = 0; it < 8; ++it) {
        const auto before = cell.now;
        cell.end({job_id{"j"}, 0}, task_end::lost);
        REQUIRE(wait_for_decision(cell).size() == 1);
        waits.push_back(cell.now - before);
    }
    CHECK(waits[0] <= 400ms);
    CHECK(waits[3] > waits[0]);
    CHECK(waits[7] >= 12s);
    CHECK(waits[7] <= 32s);

    cell.add("many", {.team = team_a, .tasks = 400, .request = {1, 1, 0}});
    const auto made = cell.decide();
    REQUIRE(made.size() == 400);
    for (const auto& it : made) {
        cell.end(it.task, task_end::lost);
    }
    CHECK(cell.decide_after(1s).size() <= 60);
}

TEST_CASE("a VM that fails distinct jobs is quarantined, within the cap",
          "[placement]")
{
    placement_cell cell;
    cell.add_vms(10);
    cell.add_team("a");
    cell.add_team("b");
    const auto fail_on = [&](const vm_id& vm, const std::string& name,
                             const team_id& team) {
        const auto job = cell.add(
            name,
            {.team = team, .tasks = 2, .request = quarter, .max_attempts = 9});
        cell.scheduler->adopt_task({job, 0}, 1, vm, cell.now);
        cell.end({job, 0}, task_end::failed);
        (void)cell.scheduler->cancel_job(job, cell.now);
    };
    const auto count_whole_vm_starts = [&](const std::string& name) {
        const auto job =
            cell.add(name, {.team = team_a, .tasks = 20, .request = vm_size});
        const auto made = only(cell.decide(), decision_kind::start);
        for (const auto& it : cell.scheduler->cancel_job(job, cell.now)) {
            cell.end(it.task, task_end::evicted);
        }
        return made.size();
    };
    fail_on(cell.vms[3], "j1", team_a);
    CHECK(count_whole_vm_starts("probe1") == 10);
    fail_on(cell.vms[3], "j2", team_b);
    CHECK(count_whole_vm_starts("probe2") == 9);
    fail_on(cell.vms[4], "j3", team_a);
    fail_on(cell.vms[4], "j4", team_b);
    CHECK(count_whole_vm_starts("probe3") == 9);
    cell.now += 31s;
    CHECK(count_whole_vm_starts("probe4") == 10);
    fail_on(cell.vms[3], "j5", team_a);
    CHECK(count_whole_vm_starts("probe5") == 9);
    cell.now += 31s;
    CHECK(count_whole_vm_starts("probe6") == 9);
    cell.now += 30s;
    CHECK(count_whole_vm_starts("probe7") == 10);
}

TEST_CASE("a job that fails everywhere quarantines no VM", "[placement]")
{
    placement_cell cell;
    cell.add_vms(10);
    cell.add_team("a");
    for (int n = 0; n < 6; ++n) {
        cell.add("j" + std::to_string(n),
                 {.team = team_a, .request = quarter, .max_attempts = 9});
        for (auto made = cell.decide(); !made.empty();
             made = wait_for_decision(cell)) {
            if (made[0].kind == decision_kind::reject) {
                break;
            }
            cell.end(made[0].task, task_end::failed);
        }
    }
    cell.add("probe", {.team = team_a, .tasks = 20, .request = vm_size});
    CHECK(cell.decide().size() == 10);
}

TEST_CASE("jobs that fail on several VMs count less against each VM",
          "[placement]")
{
    placement_cell cell;
    cell.add_vms(10);
    cell.add_team("a");
    cell.add_team("b");
    // Job a fails on VMs 0 and 1, job b on VMs 1 and 2: half of the evidence
    // per VM, so VM 1 stays below the threshold.
    for (const auto* name : {"a", "b"}) {
        const auto job = cell.add(
            name,
            {.team = team_id{name}, .request = quarter, .max_attempts = 9});
        for (std::size_t it = 0; it < 2; ++it) {
            const auto at = name[0] == 'a' ? it : 1 + it;
            cell.scheduler->adopt_task({job, 0}, 1, cell.vms[at], cell.now);
            cell.end({job, 0}, task_end::failed);
        }
    }
    cell.add("probe", {.team = team_a, .tasks = 20, .request = vm_size});
    CHECK(cell.decide().size() == 10);
}

TEST_CASE("a straggler restarts on another VM after it has stopped",
          "[placement]")
{
    placement_cell cell;
    cell.add_vms(2);
    cell.add_team("a");
    constexpr resources eighth{2000, 8192, 0};
    const auto keep = cell.add("keep", {.team = team_a, .request = eighth});
    cell.scheduler->adopt_task({keep, 0}, 1, cell.vms[0], cell.now);
    const auto job =
        cell.add("j", {.team = team_a, .tasks = 4, .request = eighth});
    for (std::uint32_t it = 0; it < 4; ++it) {
        cell.scheduler->adopt_task({job, it}, 1, cell.vms[0], cell.now);
    }
    cell.now += 10s;
    for (std::uint32_t it = 0; it < 3; ++it) {
        cell.end({job, it}, task_end::succeeded);
    }
    CHECK(cell.decide_after(15s).empty());
    const auto stops = cell.decide_after(6s);
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].code == result_code::straggler);
    CHECK(cell.decide_after(60s).empty());
    cell.end(stops[0].task, task_end::evicted);
    const auto again = cell.decide_after(1s);
    REQUIRE(again.size() == 1);
    CHECK(again[0].task == task_ref{job, 3});
    CHECK(again[0].attempt == 2);
    CHECK(again[0].vm == cell.vms[1]);
}

TEST_CASE("a slow job without faster siblings is not stopped", "[placement]")
{
    placement_cell cell;
    cell.add_vms(2);
    cell.add_team("a");
    cell.add("j",
             {.team = team_a, .tasks = 5, .request = quarter, .run_time = 1s});
    REQUIRE(cell.decide().size() == 5);
    CHECK(cell.decide_after(1h).empty());
}

TEST_CASE("estimates converge from the declared run time to the history",
          "[placement]")
{
    internal::run_time_history history;
    internal::job_state job;
    job.spec.run_time = 10s;
    job.history = history.intern(0, "nightly");
    CHECK(history.estimate(job) == 10s);
    history.add(job.history, 40s);
    CHECK(history.estimate(job) > 15s);
    CHECK(history.estimate(job) < 20s);
    for (int it = 0; it < 40; ++it) {
        history.add(job.history, 40s);
    }
    CHECK(history.estimate(job) > 35s);
    job.history = history.intern(1, "nightly");
    CHECK(history.estimate(job) == 10s);
}

} // namespace rosemarytrail::placement
