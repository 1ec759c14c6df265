#include <test/lib/worker_fleet.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <vector>

namespace rosemarytrail::fleet {

namespace {

using namespace std::chrono_literals;
using test::make_advised_job;
using test::make_job;
using test::task_outcome;
using test::worker_fleet;

constexpr resource_amounts eight_cores{8000, 16000, 0};
constexpr resource_amounts one_core{1000, 1000, 0};

} // namespace

TEST_CASE("Steps run in sequence and the job completes", "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(4, eight_cores);
    cell.submit(make_job(1, {{.tasks = 20, .demand = one_core},
                             {.tasks = 3, .demand = one_core}}));
    cell.run(300ms);
    CHECK(cell.running(1) == 20);
    CHECK(cell.state(1) == job_state::running);
    cell.run(2s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.starts.size() == 23);
    CHECK(cell.violations.empty());
}

// Guards against removals that grow with the times of a schedule.
TEST_CASE("The end of a job removes only the entries that were written",
          "[dispatcher]")
{
    constexpr std::size_t few = 10;
    worker_fleet cell;
    cell.add_workers(2, eight_cores);
    auto job = make_job(1, {{.tasks = 1, .demand = one_core},
                            {.tasks = 1, .demand = one_core}});
    job.spec.occurrences = 50000;
    job.spec.interval_ms = 600000;
    job.spec.first_due_ms = to_milliseconds(cell.now.time_since_epoch());
    cell.submit(job);
    cell.run(3s);
    CHECK(cell.starts.size() == 2);
    cell.cancel(1);
    cell.run(100ms);
    CHECK(cell.state(1) == job_state::cancelled);
    CHECK(cell.most_entries < few);
    CHECK(cell.violations.empty());
}

// Guards against memory and ledger entries that grow with the times to come.
TEST_CASE("Only occurrences that are due are tracked", "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(2, eight_cores);
    auto job = make_job(1, {{.tasks = 2, .demand = one_core},
                            {.tasks = 1, .demand = one_core}});
    job.spec.occurrences = 8760;
    job.spec.interval_ms = 2000;
    job.spec.first_due_ms = to_milliseconds(cell.now.time_since_epoch()) + 1000;
    cell.submit(job);
    cell.run(500ms);
    CHECK(cell.leader().count(cell.now).tracked_tasks == 3);
    CHECK(cell.starts.empty());
    cell.run(20s);
    CHECK(cell.starts.size() == 30);
    CHECK(cell.leader().count(cell.now).tracked_tasks <= 6);
    CHECK(cell.entry(1).progress.size() <= 4);
    CHECK(cell.entry(1).completed_occurrences >= 9);
    CHECK(cell.violations.empty());
}

// Guards against occurrences that run again, or never, under another leader.
TEST_CASE("A new leader continues a schedule where its predecessor was",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(2, eight_cores);
    auto job = make_job(1, {{.tasks = 2, .demand = one_core},
                            {.tasks = 1, .demand = one_core}});
    job.spec.occurrences = 9;
    job.spec.interval_ms = 700;
    job.spec.first_due_ms = to_milliseconds(cell.now.time_since_epoch());
    cell.submit(job);
    for (int i = 0; i < 8; ++i) {
        cell.run(830ms);
        cell.take_over();
    }
    cell.run(15s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.starts.size() == 27);
    CHECK(std::ranges::all_of(cell.starts,
                              [](const auto& it) { return it.second == 1; }));
    CHECK(cell.entry(1).progress.empty());
    CHECK(cell.entry(1).completed_occurrences == 0);
    CHECK(cell.violations.empty());
}

// Guards against a schedule whose times pass faster than its work.
TEST_CASE("Occurrences that are due wait for earlier ones beyond a number of "
          "tasks",
          "[dispatcher]")
{
    constexpr std::size_t limit = 100;
    worker_fleet cell;
    cell.options.max_open_tasks = limit;
    cell.take_over();
    cell.add_workers(2, eight_cores);
    auto job = make_job(1, {{.tasks = 4, .demand = one_core}});
    job.spec.occurrences = 100000;
    job.spec.interval_ms = 0;
    job.spec.first_due_ms = to_milliseconds(cell.now.time_since_epoch());
    cell.submit(job);
    for (int i = 0; i < 40; ++i) {
        cell.run(100ms);
        CHECK(cell.leader().count(cell.now).tracked_tasks <= limit);
    }
    // Sixteen tasks fit, for half a second each.
    CHECK(cell.starts.size() > 80);
    CHECK(cell.violations.empty());
}

// Guards against a progress entry that grows with the tasks of a step.
TEST_CASE("The progress of a step of many tasks is kept in entries of limited "
          "size",
          "[dispatcher]")
{
    constexpr std::size_t max_bytes = 1U << 16U;
    constexpr std::uint32_t tasks = 3000;
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key& it) {
        return task_outcome{.length = it.index % 2 == 0 ? 500ms : 4s};
    };
    cell.add_workers(400, eight_cores);
    cell.submit(make_job(1, {{.tasks = tasks, .demand = one_core}}));
    cell.run(300ms);
    CHECK(cell.running(1) == tasks);
    cell.run(1s);
    cell.take_over();
    cell.run(100ms);
    CHECK(cell.running(1) == tasks / 2);
    cell.run(6s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.starts.size() == tasks);
    CHECK(cell.largest_entry <= max_bytes);
    CHECK(cell.entry(1).progress.empty());
    CHECK(cell.violations.empty());
}

// Guards against progress that no leader removes any more.
TEST_CASE("A new leader removes the progress that its predecessor has left",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(1, eight_cores);
    cell.submit(make_job(1, {{.tasks = 1, .demand = one_core}}));
    cell.run(100ms);
    REQUIRE_FALSE(cell.entry(1).progress.empty());
    cell.end_in_ledger(1);
    cell.take_over();
    cell.run(100ms);
    CHECK(cell.entry(1).progress.empty());
}

TEST_CASE("No worker is loaded beyond its capacity", "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(2, eight_cores);
    cell.submit(make_job(1, {{.tasks = 50, .demand = one_core}}));
    cell.run(300ms);
    CHECK(cell.running(1) == 16);
    cell.run(4s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.violations.empty());
}

TEST_CASE("A worker whose capacity shrinks receives no start beyond it",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 2s};
    };
    cell.add_workers(2, eight_cores);
    cell.run(100ms);
    cell.ledger_delay = 1s;
    cell.submit(make_job(1, {{.tasks = 12, .demand = one_core}}));
    cell.run(300ms);
    // Placed, and not recorded yet.
    for (auto& [id, it] : cell.workers) {
        it.vm.capacity = {3000, 16000, 0};
    }
    cell.list_workers();
    cell.run(1500ms);
    CHECK(cell.running(1) <= 6);
    CHECK(cell.violations.empty());
    cell.run(20s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.violations.empty());
}

TEST_CASE("A worker whose capacity shrinks below what runs keeps it and starts "
          "nothing more",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 3s};
    };
    cell.add_workers(1, eight_cores);
    cell.run(100ms);
    cell.submit(make_job(1, {{.tasks = 12, .demand = one_core}}));
    cell.run(500ms);
    REQUIRE(cell.running(1) == 8);
    cell.workers.at("w0").vm.capacity = {2000, 16000, 0};
    cell.list_workers();
    cell.run(1s);
    CHECK(cell.running(1) == 8);
    cell.run(2500ms);
    CHECK(cell.running(1) == 2);
    cell.workers.at("w0").vm.capacity = eight_cores;
    cell.list_workers();
    cell.run(6s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.violations.empty());
}

TEST_CASE("No task starts before its placement is recorded", "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(2, eight_cores);
    cell.run(100ms);
    cell.ledger_down = true;
    cell.submit(make_job(1, {{.tasks = 4, .demand = one_core}}));
    cell.run(1s);
    CHECK(cell.starts.empty());
    cell.ledger_down = false;
    cell.run(200ms);
    CHECK(cell.running(1) == 4);
}

TEST_CASE("Leases are renewed while the ledger is unavailable", "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 20s};
    };
    cell.add_workers(2, eight_cores);
    cell.submit(make_job(1, {{.tasks = 4, .demand = one_core}}));
    cell.run(1s);
    cell.ledger_down = true;
    cell.run(9s);
    CHECK(cell.running(1) == 4);
}

TEST_CASE("A new leader keeps running tasks", "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 3s};
    };
    cell.add_workers(4, eight_cores);
    cell.submit(make_job(1, {{.tasks = 20, .demand = one_core}}));
    cell.run(500ms);
    cell.take_over();
    cell.run(500ms);
    CHECK(cell.running(1) == 20);
    cell.run(4s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.starts.size() == 20);
    for (const auto& [task, n] : cell.starts) {
        CHECK(n == 1);
    }
    CHECK(cell.violations.empty());
}

TEST_CASE("A new leader waits for the leases of an unreachable worker",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 30s};
    };
    cell.add_workers(2, eight_cores);
    cell.submit(make_job(1, {{.tasks = 16, .demand = one_core}}));
    cell.run(500ms);
    cell.workers["w0"].unreachable = true;
    cell.take_over();
    cell.run(5s);
    // The previous leader may have renewed leases until its evidence of
    // leadership expired, and the last lease runs from there.
    CHECK(cell.leader().count(cell.now).placed == 16);
    cell.run(12s);
    CHECK(cell.leader().count(cell.now).placed == 8);
    CHECK(cell.violations.empty());
}

TEST_CASE("Successive leaders do not each wait again for a dead worker",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(3, eight_cores);
    cell.submit(
        make_job(1, {{.tasks = 12, .demand = one_core, .long_running = true}}));
    cell.run(500ms);
    cell.workers["w0"].unreachable = true;
    cell.take_over();
    cell.run(4s);
    // The second leader never reached the worker, so only leases of the first
    // one apply; its evidence of leadership ended at the second one's claim.
    cell.take_over();
    cell.run(5s);
    CHECK(cell.running_on("w1") + cell.running_on("w2") == 12);
    CHECK(cell.violations.empty());
}

TEST_CASE(
    "A successor waits only for the lease of a recorded unresponsive worker",
    "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(3, eight_cores);
    cell.submit(
        make_job(1, {{.tasks = 12, .demand = one_core, .long_running = true}}));
    cell.run(500ms);
    cell.workers["w0"].unreachable = true;
    cell.run(2s);
    cell.take_over();
    cell.run(4s);
    CHECK(cell.running_on("w1") + cell.running_on("w2") == 12);
    CHECK(cell.violations.empty());
}

TEST_CASE("A fenced worker outlives its previous leader by one lease",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(3, eight_cores);
    cell.submit(
        make_job(1, {{.tasks = 12, .demand = one_core, .long_running = true}}));
    cell.run(500ms);
    cell.take_over();
    cell.run(200ms);
    cell.workers["w0"].unreachable = true;
    cell.run(6500ms);
    CHECK(cell.running_on("w1") + cell.running_on("w2") == 12);
    CHECK(cell.violations.empty());
}

TEST_CASE("A start without a response is stopped and the task runs elsewhere",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(2, eight_cores);
    cell.run(100ms);
    cell.workers["w0"].start_delay = 2s;
    cell.workers["w1"].start_delay = 2s;
    cell.submit(make_job(1, {{.tasks = 4, .demand = one_core}}));
    cell.run(200ms);
    cell.workers["w0"].start_delay = {};
    cell.workers["w1"].start_delay = {};
    cell.run(4s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.violations.empty());
}

TEST_CASE(
    "Tasks of an unresponsive worker run elsewhere once its lease expired",
    "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 2s};
    };
    cell.add_workers(3, eight_cores);
    cell.submit(make_job(1, {{.tasks = 16, .demand = one_core}}));
    cell.run(500ms);
    cell.workers["w0"].unreachable = true;
    cell.run(3s);
    CHECK(cell.state(1) == job_state::running);
    cell.run(7s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.violations.empty());
}

TEST_CASE("A start that reached a restarted worker keeps running",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(2, eight_cores);
    cell.run(100ms);
    cell.ledger_down = true;
    cell.submit(make_job(1, {{.tasks = 1, .demand = one_core}}));
    cell.run(50ms);
    cell.restart("w0");
    cell.workers["w0"].delay_poll_responses = true;
    cell.ledger_down = false;
    cell.run(50ms);
    REQUIRE(cell.running_on("w0") == 1);
    cell.list_workers();
    cell.run(50ms);
    cell.workers["w0"].delay_poll_responses = false;
    cell.run(2s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.starts.size() == 1);
    CHECK(cell.violations.empty());
}

TEST_CASE("Tasks of a restarted worker run elsewhere", "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 2s};
    };
    cell.add_workers(2, eight_cores);
    cell.submit(make_job(1, {{.tasks = 12, .demand = one_core}}));
    cell.run(500ms);
    REQUIRE(cell.running(1) == 12);
    cell.restart("w0");
    cell.list_workers();
    cell.run(500ms);
    CHECK(cell.running(1) == 12);
    cell.run(3s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.violations.empty());
}

TEST_CASE("A worker that was unresponsive receives no acknowledged end number",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 100ms};
    };
    cell.add_workers(1, eight_cores);
    cell.submit(make_job(1, {{.tasks = 4, .demand = one_core}}));
    cell.run(500ms);
    REQUIRE(cell.state(1) == job_state::completed);
    cell.ledger_down = true;
    cell.submit(make_job(2, {{.tasks = 1, .demand = one_core}}));
    cell.run(50ms);
    auto& worker = cell.workers["w0"];
    worker.delay_poll_responses = true;
    cell.restart("w0");
    cell.ledger_down = false;
    cell.run(300ms);
    REQUIRE(worker.ended.size() == 1);
    worker.unreachable = true;
    worker.delay_poll_responses = false;
    cell.run(100ms);
    worker.unreachable = false;
    cell.run(1s);
    CHECK(cell.state(2) == job_state::completed);
    CHECK(cell.violations.empty());
}

TEST_CASE("The record of an earlier placement does not start a later one",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(2, eight_cores);
    cell.run(100ms);
    cell.ledger_delay = 7s;
    cell.submit(make_job(1, {{.tasks = 8, .demand = one_core}}));
    cell.run(50ms);
    cell.workers["w0"].unreachable = true;
    cell.run(8s);
    cell.ledger_delay = {};
    cell.run(8s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.violations.empty());
}

TEST_CASE("A successful run counts even after its lease was treated as expired",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(1, eight_cores);
    cell.submit(make_job(1, {{.tasks = 4, .demand = one_core}}));
    cell.run(400ms);
    cell.workers["w0"].unreachable = true;
    cell.run(8s);
    cell.workers["w0"].unreachable = false;
    cell.run(2s);
    CHECK(cell.state(1) == job_state::completed);
    for (const auto& [task, n] : cell.starts) {
        CHECK(n == 1);
    }
    CHECK(cell.violations.empty());
}

// More ends than one response lists accumulate while none can be recorded.
TEST_CASE("Runs whose ends a truncated response lacks do not start again",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 600ms};
    };
    cell.add_workers(2, eight_cores);
    cell.submit(make_job(1, {{.tasks = 16, .demand = one_core}}));
    cell.run(300ms);
    REQUIRE(cell.running(1) == 16);
    for (auto& [id, it] : cell.workers) {
        it.max_ended_rows = 3;
    }
    const bool new_leader = GENERATE(false, true);
    CAPTURE(new_leader);
    cell.ledger_down = true;
    cell.run(2s);
    if (new_leader) {
        cell.take_over();
        cell.run(500ms);
    }
    cell.ledger_down = false;
    cell.run(2s);
    CHECK(cell.state(1) == job_state::completed);
    for (const auto& [task, n] : cell.starts) {
        CHECK(n == 1);
    }
    CHECK(cell.violations.empty());
}

TEST_CASE("A late end counts while the start of the next run has not been sent",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(2, eight_cores);
    cell.submit(make_job(1, {{.tasks = 16, .demand = one_core}}));
    cell.run(400ms);
    REQUIRE(cell.running(1) == 16);
    cell.workers["w0"].unreachable = true;
    cell.run(4600ms);
    cell.ledger_delay = 2s;
    cell.run(1s);
    REQUIRE(cell.leader().count(cell.now).placed == 8);
    cell.workers["w0"].unreachable = false;
    cell.run(5s);
    CHECK(cell.state(1) == job_state::completed);
    for (const auto& [task, n] : cell.starts) {
        CHECK(n == 1);
    }
    CHECK(cell.violations.empty());
}

TEST_CASE("A job fails once a task failed in every attempt", "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key& task) {
        return task_outcome{.length = 100ms,
                            .end = task.index == 1 ? run_end::failed
                                                   : run_end::done};
    };
    cell.add_workers(2, eight_cores);
    cell.submit(make_job(1, {{.tasks = 2, .demand = one_core}}));
    cell.run(3s);
    CHECK(cell.state(1) == job_state::failed);
    CHECK(cell.starts[{.step = {.job = 1}, .index = 1}] == 3);
}

TEST_CASE("A failed job is removed once its tasks are stopped", "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key& task) {
        return task.index == 1
                   ? task_outcome{.length = 100ms, .end = run_end::failed}
                   : task_outcome{.length = 60s};
    };
    cell.add_workers(2, eight_cores);
    cell.submit(make_job(1, {{.tasks = 2, .demand = one_core}}));
    cell.run(3s);
    CHECK(cell.state(1) == job_state::failed);
    CHECK(cell.running(1) == 0);
    CHECK(cell.leader().count(cell.now).jobs == 0);
}

TEST_CASE("A cancelled job is stopped and stays cancelled", "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 20s};
    };
    cell.add_workers(2, eight_cores);
    cell.submit(make_job(1, {{.tasks = 16, .demand = one_core}}));
    cell.run(500ms);
    cell.cancel(1);
    CHECK(cell.state(1) == job_state::cancelled);
    cell.run(1s);
    CHECK(cell.running(1) == 0);
    CHECK(cell.state(1) == job_state::cancelled);
    CHECK(cell.leader().count(cell.now).jobs == 0);
}

TEST_CASE("A gang starts as a whole or not at all", "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 1s};
    };
    cell.add_workers(2, eight_cores);
    cell.submit(make_job(1, {{.tasks = 10, .demand = one_core}}));
    cell.run(200ms);
    cell.submit(make_job(2, {{.tasks = 10, .demand = one_core, .gang = true}}));
    cell.run(500ms);
    CHECK(cell.running(2) == 0);
    cell.run(900ms);
    CHECK(cell.running(2) == 10);
    cell.run(2s);
    CHECK(cell.state(2) == job_state::completed);
    CHECK(cell.violations.empty());
}

TEST_CASE("A gang whose worker starts draining is placed elsewhere as a whole",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 1s};
    };
    cell.add_workers(3, eight_cores);
    cell.run(100ms);
    cell.ledger_down = true;
    cell.submit(make_job(1, {{.tasks = 16, .demand = one_core, .gang = true}}));
    cell.run(50ms);
    cell.workers["w0"].vm.draining = true;
    cell.list_workers();
    cell.ledger_down = false;
    cell.run(30ms);
    // The whole gang was placed again on the remaining workers.
    CHECK(cell.running_on("w0") == 0);
    CHECK(cell.running(1) == 16);
    cell.run(3s);
    CHECK(cell.state(1) == job_state::completed);
    for (const auto& [task, n] : cell.starts) {
        CHECK(n == 1);
    }
}

TEST_CASE("Members of a gang do not wait for one that did not start",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 10s};
    };
    cell.add_workers(2, eight_cores);
    cell.run(100ms);
    cell.workers["w1"].start_delay = 2s;
    cell.submit(make_job(1, {{.tasks = 12, .demand = one_core, .gang = true}}));
    cell.run(100ms);
    CHECK(cell.running_on("w0") <= 8);
    CHECK(cell.running(1) < 12);
    cell.workers["w1"].start_delay = {};
    cell.run(700ms);
    CHECK(cell.running(1) == 12);
    CHECK(cell.violations.empty());
}

TEST_CASE("An account stays under its limit", "[dispatcher]")
{
    worker_fleet cell;
    cell.config.accounts["a"] = {.name = "a", .limit = {5000, 0, 0}};
    cell.take_over();
    cell.add_workers(2, eight_cores);
    cell.submit(make_job(1, {{.tasks = 12, .demand = one_core}}));
    cell.run(300ms);
    CHECK(cell.running(1) == 5);
    cell.run(4s);
    CHECK(cell.state(1) == job_state::completed);
}

TEST_CASE("Waiting tasks are counted by what they wait for", "[dispatcher]")
{
    worker_fleet cell;
    cell.config.accounts["limited"] = {.name = "limited",
                                       .limit = {2000, 0, 0}};
    cell.take_over();
    cell.add_workers(2, eight_cores);
    auto limited = make_job(1, {{.tasks = 5, .demand = one_core}});
    limited.account = "limited";
    cell.submit(limited);
    cell.submit(make_advised_job(2, {.tasks = 4, .demand = one_core}));
    cell.run(300ms);
    const auto counts = cell.leader().count(cell.now);
    CHECK(counts.waiting == 7);
    CHECK(counts.waiting_for_limit == 3);
    CHECK(counts.waiting_for_advice == 4);
    CHECK(counts.longest_advice_wait_step == step_key{.job = 2});
    CHECK(counts.longest_advice_wait >= 200ms);
    CHECK(counts.longest_advice_wait <= 300ms);
}

TEST_CASE("tasks_per_vm limits the tasks of a step on one worker",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(3, eight_cores);
    cell.submit(
        make_job(1, {{.tasks = 9, .demand = one_core, .tasks_per_vm = 2}}));
    cell.run(300ms);
    CHECK(cell.running(1) == 6);
    for (const auto* id : {"w0", "w1", "w2"}) {
        CHECK(cell.running_on(id) == 2);
    }
}

TEST_CASE("Only advised workers run a step, and only with a ticket",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(4, eight_cores);
    auto job = make_job(1, {{.tasks = 4, .demand = one_core}});
    job.queue.advice = advice_policy{.valid_ms = 2500};
    cell.submit(job);
    cell.run(500ms);
    CHECK(cell.running(1) == 0);
    cell.grant({.job = 1}, {"w2"}, 2500ms);
    cell.run(100ms);
    CHECK(cell.running_on("w2") == 4);
}

TEST_CASE("A worker that fails several jobs is quarantined", "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 100ms};
    };
    cell.add_workers(8, eight_cores);
    cell.workers["w0"].fails_all = true;
    for (std::uint64_t id = 1; id <= 6; ++id) {
        cell.submit(make_job(id, {{.tasks = 6, .demand = one_core}}));
    }
    cell.run(2s);
    std::size_t failed = 0;
    for (std::uint64_t id = 1; id <= 6; ++id) {
        failed += cell.state(id) == job_state::failed ? 1 : 0;
    }
    CHECK(failed == 0);
}

TEST_CASE("A task that one worker refuses runs on another", "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 60s};
    };
    cell.add_workers(4, eight_cores);
    cell.run(100ms);
    // The tightest fit prefers the worker that already runs a task.
    cell.submit(make_job(1, {{.tasks = 1, .demand = one_core}}));
    cell.run(200ms);
    cell.workers.at(cell.worker_of(1)).refuses_starts = true;
    cell.submit(make_job(2, {{.tasks = 1, .demand = one_core}}));
    cell.run(2s);
    CHECK(cell.running(2) == 1);
    CHECK(cell.refused_starts <= 3);
}

TEST_CASE("A task that many workers refuse runs on another", "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 60s};
    };
    cell.add_workers(8, eight_cores);
    cell.run(100ms);
    cell.submit(
        make_job(1, {{.tasks = 4, .demand = one_core, .tasks_per_vm = 1}}));
    cell.run(200ms);
    REQUIRE(cell.running(1) == 4);
    for (auto& [id, it] : cell.workers) {
        it.refuses_starts = !it.running.empty();
    }
    cell.submit(make_job(2, {{.tasks = 1, .demand = one_core}}));
    cell.run(2s);
    CHECK(cell.running(2) == 1);
    CHECK(cell.refused_starts <= 4);
}

TEST_CASE("Workers that refuse starts for a moment are used again at once",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 60s};
    };
    cell.add_workers(40, eight_cores);
    const std::vector<std::string> small{"w0", "w1", "w2", "w3"};
    for (const auto& id : small) {
        cell.workers[id].vm.service = "small";
        cell.workers[id].refuses_starts = true;
    }
    cell.list_workers();
    cell.run(100ms);
    auto job = make_job(1, {{.tasks = 4, .demand = one_core}});
    job.queue.service = "small";
    cell.submit(job);
    cell.run(300ms);
    REQUIRE(cell.running(1) == 0);
    for (const auto& id : small) {
        cell.workers[id].refuses_starts = false;
    }
    cell.run(300ms);
    CHECK(cell.running(1) == 4);
}

TEST_CASE("Failures of lasting tasks far apart set no worker aside",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(8, eight_cores);
    cell.run(100ms);
    for (std::uint64_t id = 1; id <= 2; ++id) {
        cell.submit(make_job(id, {{.tasks = 8,
                                   .demand = one_core,
                                   .long_running = true,
                                   .tasks_per_vm = 1}}));
    }
    cell.run(500ms);
    REQUIRE(cell.running(2) == 8);
    auto& worker = cell.workers.at("w0");
    for (int i = 0; i < 4; ++i) {
        worker.fails_all = true;
        auto& runs = worker.running;
        (i % 2 == 0 ? runs.begin() : std::prev(runs.end()))->second.ends =
            cell.now;
        cell.run(20ms);
        worker.fails_all = false;
        cell.run(30s);
    }
    const auto decisions = cell.leader().take_decisions();
    CHECK(std::ranges::none_of(decisions, [](const auto& it) {
        return it.what == "worker set aside";
    }));
}

TEST_CASE("A long-running task is restarted after any end", "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(3, eight_cores);
    cell.submit(
        make_job(1, {{.tasks = 3, .demand = one_core, .long_running = true}}));
    cell.run(300ms);
    CHECK(cell.running(1) == 3);
    cell.workers["w0"].unreachable = true;
    cell.run(6s);
    cell.workers["w0"].unreachable = false;
    cell.run(2s);
    CHECK(cell.running(1) == 3);
    CHECK(cell.violations.empty());
}

TEST_CASE("A late ledger entry does not restore an ended job", "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(2, eight_cores);
    cell.submit(make_job(1, {{.tasks = 2, .demand = one_core}}));
    const job_entry stale = cell.entry(1);
    cell.run(2s);
    REQUIRE(cell.state(1) == job_state::completed);
    // The ledger reader lags behind the leader's own appends.
    cell.leader().on_job_changed(1, stale, cell.now, 0);
    cell.run(1s);
    CHECK(cell.running(1) == 0);
    CHECK(cell.violations.empty());
}

TEST_CASE("A refused ticket invalidates all tickets of its response",
          "[dispatcher]")
{
    worker_fleet cell;
    cell.add_workers(4, eight_cores);
    auto job = make_job(1, {{.tasks = 8, .demand = one_core}});
    job.queue.advice = advice_policy{.valid_ms = 2500};
    cell.submit(job);
    cell.refuse_tickets = true;
    cell.grant({.job = 1}, {"w0", "w1", "w2", "w3"}, 60s);
    cell.run(1s);
    CHECK(cell.refused_starts <= 8);
    cell.refuse_tickets = false;
    cell.grant({.job = 1}, {"w0", "w1", "w2", "w3"}, 2500ms);
    cell.run(200ms);
    CHECK(cell.running(1) == 8);
}

TEST_CASE("Slow advice requests go to several nodes, the most urgent first",
          "[advice]")
{
    worker_fleet cell;
    cell.add_workers(4, eight_cores);
    const std::vector<std::string> members{"n1", "n2", "n3", "n4"};
    cell.leader().set_members(members);
    for (std::uint64_t id = 1; id <= 9; ++id) {
        auto job = make_job(id, {{.tasks = 1, .demand = one_core}});
        job.queue.advice = advice_policy{.base_ms = 400, .valid_ms = 2500};
        cell.submit(job);
    }
    cell.run(50ms);
    std::map<std::string, int> requests_by_member;
    for (const auto& assignment : cell.advice_assignments) {
        ++requests_by_member[assignment.member];
    }
    CHECK(requests_by_member ==
          std::map<std::string, int>{{"n1", 2}, {"n2", 2}, {"n3", 2}});
    // A response frees a slot for the next request.
    cell.grant(cell.advice_assignments.front().request.step, {"w0"}, 2500ms);
    cell.run(50ms);
    CHECK(cell.advice_assignments.size() == 7);
}

TEST_CASE("An advice request names the workers with available capacity",
          "[advice]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 60s};
    };
    cell.add_workers(60, eight_cores);
    const std::vector<std::string> members{"n1", "n2"};
    cell.leader().set_members(members);
    cell.submit(make_job(1, {{.tasks = 160, .demand = one_core}}));
    cell.run(300ms);
    std::set<std::string> full;
    for (const auto& [id, it] : cell.workers) {
        if (!it.running.empty()) {
            full.insert(id);
        }
    }
    REQUIRE(full.size() == 20);
    cell.submit(make_advised_job(2, {.tasks = 4, .demand = one_core}));
    cell.run(50ms);
    REQUIRE(cell.advice_assignments.size() == 1);
    const auto& named = cell.advice_assignments.front().request.workers;
    CHECK(named.size() == 30);
    CHECK(std::ranges::none_of(
        named, [&](const auto& id) { return full.contains(id); }));
    CHECK(cell.advice_assignments.front().request.expected == 571ms);
}

TEST_CASE("A step whose granted workers are full requests others", "[advice]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 60s};
    };
    cell.add_workers(80, eight_cores);
    const std::vector<std::string> members{"n1", "n2"};
    cell.leader().set_members(members);
    // All workers have responded before the job is submitted.
    cell.run(100ms);
    cell.submit(make_advised_job(1, {.tasks = 12, .demand = one_core}));
    cell.run(50ms);
    REQUIRE(cell.advice_assignments.size() == 1);
    const auto first = cell.advice_assignments.front().request.workers;
    REQUIRE(first.size() < 80);
    cell.grant({.job = 1}, {first.front()}, 2500ms);
    cell.run(300ms);
    CHECK(cell.running(1) == 8);
    REQUIRE(cell.advice_assignments.size() == 2);
    const auto& second = cell.advice_assignments.back().request.workers;
    // Refused workers are not requested again.
    for (const auto& id : second) {
        CHECK((id == first.front() || std::ranges::count(first, id) == 0));
    }
    cell.grant({.job = 1}, {second.front(), second.back()}, 2500ms);
    cell.run(300ms);
    CHECK(cell.running(1) == 12);
}

TEST_CASE(
    "A step that has reached tasks_per_vm on its granted workers requests "
    "others",
    "[advice]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 60s};
    };
    cell.add_workers(150, eight_cores);
    const std::vector<std::string> members{"n1", "n2"};
    cell.leader().set_members(members);
    cell.run(100ms);
    cell.submit(make_advised_job(
        1, {.tasks = 12, .demand = one_core, .tasks_per_vm = 1}));
    cell.run(50ms);
    REQUIRE(cell.advice_assignments.size() == 1);
    const auto first = cell.advice_assignments.front().request.workers;
    // The granted workers have plenty of capacity left, but none for this step.
    const std::vector<std::string> granted{first.begin(), first.begin() + 4};
    cell.grant({.job = 1}, granted, 2500ms);
    cell.run(300ms);
    CHECK(cell.running(1) == 4);
    REQUIRE(cell.advice_assignments.size() == 2);
    const auto second = cell.advice_assignments.back().request.workers;
    std::vector<std::string> others;
    std::ranges::copy_if(second, std::back_inserter(others),
                         [&](const std::string& id) {
                             return std::ranges::count(first, id) == 0;
                         });
    REQUIRE(others.size() >= 16);
    others.resize(8);
    cell.grant({.job = 1}, others, 2500ms);
    cell.run(300ms);
    CHECK(cell.running(1) == 12);
}

TEST_CASE("An advice request whose response is lost is sent again", "[advice]")
{
    worker_fleet cell;
    cell.add_workers(3, eight_cores);
    const std::vector<std::string> members{"n1", "n2"};
    cell.leader().set_members(members);
    cell.submit(make_advised_job(1, {.tasks = 2, .demand = one_core}));
    cell.run(50ms);
    REQUIRE(cell.advice_assignments.size() == 1);
    cell.run(5s);
    REQUIRE(cell.advice_assignments.size() > 1);
    CHECK(cell.advice_assignments.back().request.workers.size() == 3);
    cell.grant({.job = 1}, {"w0"}, 2500ms);
    cell.run(100ms);
    CHECK(cell.running(1) == 2);
}

TEST_CASE("A burst of fast advice requests is spread over all nodes",
          "[advice]")
{
    worker_fleet cell;
    cell.add_workers(40, eight_cores);
    const std::vector<std::string> members{"n1", "n2", "n3", "n4"};
    cell.leader().set_members(members);
    for (std::uint64_t id = 1; id <= 60; ++id) {
        auto job = make_job(id, {{.tasks = 1, .demand = one_core}});
        job.queue.advice = advice_policy{
            .base_ms = 13, .per_worker_ms = 0.2, .valid_ms = 2500};
        cell.submit(job);
    }
    // The accepting nodes get time to send their own requests first.
    cell.run(60ms);
    CHECK(cell.advice_assignments.empty());
    cell.run(60ms);
    std::map<std::string, int> requests_by_member;
    for (const auto& assignment : cell.advice_assignments) {
        ++requests_by_member[assignment.member];
    }
    REQUIRE(requests_by_member.size() == 4);
    for (const auto& [node, n] : requests_by_member) {
        CHECK(n >= 7);
        CHECK(n <= 9);
    }
}

} // namespace rosemarytrail::fleet
