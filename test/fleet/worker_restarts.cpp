#include <test/lib/worker_fleet.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace rosemarytrail::fleet {

namespace {

using namespace std::chrono_literals;
using test::make_advised_job;
using test::make_job;
using test::task_outcome;
using test::worker_fleet;

constexpr resource_amounts eight_cores{8000, 16000, 0};
constexpr resource_amounts one_core{1000, 1000, 0};

/** @brief Worker w0, to which w1 is added once w0 is cut off. */
struct restarting_fleet : worker_fleet
{
    restarting_fleet()
    {
        scripted_outcome = [](const task_key&) {
            return task_outcome{.length = 60s};
        };
        add_workers(1, eight_cores);
        run(3s);
    }

    /** @brief Restarts w0 while a poll is on its way, which the new incarnation
     * takes. */
    void restart_during_poll()
    {
        workers["w0"].delay_poll_responses = true;
        run(2s);
        restart("w0");
        workers["w0"].delay_poll_responses = false;
        run(100ms);
    }

    /** @brief Submits job 1, whose start on w0 is not answered and takes effect
     * later. */
    void submit_unanswered(duration delay)
    {
        auto& w0 = workers["w0"];
        w0.start_delay = delay;
        submit(make_job(1, {{.demand = one_core}}));
        while (w0.delayed.empty()) {
            run(tick);
        }
        w0.start_delay = {};
    }

    /** @brief Cuts w0 off, and adds w1 for its tasks. */
    void cut()
    {
        workers["w0"].unreachable = true;
        add_workers(1, eight_cores);
    }

    /** @brief Starts job 1 on w0, whose lease a poll for its previous
     * incarnation has extended, and cuts w0 off. */
    void cut_with_long_lease()
    {
        restart_during_poll();
        submit(make_job(1, {{.demand = one_core}}));
        run(200ms);
        REQUIRE(running_on("w0") == 1);
        cut();
    }
};

/** @brief Worker w0 has restarted while a poll of it is open. */
struct unnoticed_restart : restarting_fleet
{
    explicit unnoticed_restart(duration clock = {})
    {
        workers["w0"].delay_poll_responses = true;
        run(20ms);
        restart("w0", clock);
        workers["w0"].listed_late = true;
    }

    /** @brief Sends a start to w0 that takes effect later, and cuts it off. */
    void cut_before_start(duration delay)
    {
        auto& w0 = workers["w0"];
        w0.start_delay = delay;
        while (w0.delayed.empty()) {
            run(tick);
        }
        cut_unnoticed();
    }

    /** @brief Cuts w0 off, so that its open poll fails. */
    void cut_unnoticed()
    {
        workers["w0"].delay_poll_responses = false;
        cut();
    }
};

/** @return Job 1 with one task that does not need advice. */
[[nodiscard]] job_record one_task()
{
    return make_job(1, {{.demand = one_core}});
}

/** @return Time that the fleet takes until w1 runs a task. */
[[nodiscard]] duration time_until_w1_runs(worker_fleet& cell)
{
    const auto begun = cell.now;
    while (cell.running_on("w1") == 0 && cell.now - begun < 60s) {
        cell.run(100ms);
    }
    return cell.now - begun;
}

} // namespace

// Guards against a task that runs twice, as the incarnation that answers its
// start is not the one that the leader knows and grants a longer lease.
TEST_CASE("A start that a later incarnation answers tells of the restart",
          "[worker_restarts]")
{
    const bool taken_over = GENERATE(false, true);
    // That of the previous incarnation shows 1003 s.
    const duration clock = GENERATE(0s, 500s, 1005s);
    CAPTURE(taken_over, clock.count());
    unnoticed_restart cell{clock};
    cell.submit(one_task());
    cell.run(50ms);
    REQUIRE(cell.running_on("w0") == 1);
    CHECK(cell.leader().take_restart_counts().from_start == 1);
    cell.cut_unnoticed();
    if (taken_over) {
        cell.take_over();
    }
    cell.run(40s);
    CHECK(cell.running_on("w1") == 1);
    CHECK(cell.violations.empty());
}

// Guards against a task that runs twice, as its start, which was not answered,
// takes effect in an incarnation that nothing tells of.
TEST_CASE("A start without an answer may take effect in a later incarnation",
          "[worker_restarts]")
{
    const bool taken_over = GENERATE(false, true);
    CAPTURE(taken_over);
    unnoticed_restart cell;
    cell.submit(one_task());
    cell.cut_before_start(4s);
    if (taken_over) {
        cell.take_over();
    }
    cell.run(45s);
    CHECK(cell.starts.begin()->second == 2);
    CHECK(cell.running_on("w1") == 1);
    CHECK(cell.violations.empty());
}

// Guards against the same for a ticket that was granted to the incarnation
// which nothing tells of.
TEST_CASE("A start with a ticket of an incarnation that nothing tells of",
          "[worker_restarts]")
{
    unnoticed_restart cell;
    cell.submit(make_advised_job(1, {.demand = one_core}));
    cell.grant({.job = 1}, {"w0"}, 2500ms);
    cell.cut_before_start(2s);
    cell.run(8s);
    cell.grant({.job = 1}, {"w0", "w1"}, 60s);
    cell.run(30s);
    CHECK(cell.starts.begin()->second == 2);
    CHECK(cell.running_on("w1") == 1);
    CHECK(cell.violations.empty());
}

// Guards against a task that runs twice, as its start without an answer was
// given up by a stop that a restart makes the worker forget.
TEST_CASE("A start without an answer or ticket ties its task to the worker",
          "[worker_restarts]")
{
    // The start is given up by this leader, or by the next one.
    const bool taken_over_early = GENERATE(false, true);
    const bool taken_over_late = GENERATE(false, true);
    const duration delay = GENERATE(2000ms, 8500ms);
    CAPTURE(taken_over_early, taken_over_late, delay.count());
    restarting_fleet cell;
    cell.add_workers(1, {});
    auto& w0 = cell.workers["w0"];
    cell.submit_unanswered(delay);
    // It forgets the stop when it restarts, and accepts no other task.
    w0.vm.draining = true;
    cell.workers["w1"].vm.capacity = eight_cores;
    if (taken_over_early) {
        cell.take_over();
    }
    cell.list_workers();
    cell.run(1s);
    if (taken_over_late) {
        cell.take_over();
    }
    cell.restart("w0");
    w0.unreachable = true;
    w0.listed_late = true;
    cell.run(40s);
    CHECK(cell.running_on("w1") == 1);
    CHECK(cell.violations.empty());
}

// Guards against a task that waits for a worker that is gone for good.
TEST_CASE("A replaced worker ties no task", "[worker_restarts]")
{
    restarting_fleet cell;
    cell.submit_unanswered(30s);
    cell.workers["w0"].delayed.clear();
    cell.run(500ms);
    REQUIRE(cell.running_on("w0") == 1);
    cell.crash("w0");
    cell.run(cell.replacement_delay + 2s);
    CHECK(cell.running_on("w1") == 1);
    CHECK(cell.violations.empty());
}

// Guards against a task that is tied anew by each leader.
TEST_CASE("A tie that is over does not bind a successor", "[worker_restarts]")
{
    const bool taken_over = GENERATE(false, true);
    CAPTURE(taken_over);
    restarting_fleet cell;
    cell.add_workers(1, {});
    cell.submit_unanswered(300s);
    cell.workers["w0"].delayed.clear();
    cell.workers["w0"].vm.draining = true;
    cell.list_workers();
    cell.run(1s);
    const auto away = cell.workers.extract("w0");
    cell.list_workers();
    cell.run(30s);
    cell.list_workers();
    if (taken_over) {
        cell.take_over();
    }
    cell.workers["w1"].vm.capacity = eight_cores;
    cell.list_workers();
    CHECK(time_until_w1_runs(cell) < 2s);
}

// Guards against a task that waits for longer than its worker's lease, as a
// start of it was not answered long before.
TEST_CASE("A confirmed run after a tie is given up with the usual lease",
          "[worker_restarts]")
{
    restarting_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 600s};
    };
    cell.submit_unanswered(300s);
    cell.workers["w0"].delayed.clear();
    cell.run(120s);
    REQUIRE(cell.running_on("w0") == 1);
    // Another start extends the bound of its worker.
    cell.submit(make_job(2, {{.demand = one_core}}));
    cell.run(1s);
    cell.cut();
    cell.run(5500ms);
    CHECK(cell.running_on("w1") == 2);
    CHECK(cell.violations.empty());
}

// Guards against a task that runs twice, as a start that was requested before a
// restart was noticed gets the token of after it.
TEST_CASE("A start that was requested before a restart is not sent after it",
          "[worker_restarts]")
{
    restarting_fleet cell;
    auto& w0 = cell.workers["w0"];
    cell.run(cell.tick);
    const auto unix_ms = to_milliseconds(cell.now.time_since_epoch());
    cell.submit(one_task());
    cell.leader().plan(cell.now, unix_ms);
    const auto batch = cell.leader().take_batch(unix_ms);
    w0.start_delay = 1500ms;
    cell.leader().on_recorded(batch.number, cell.now);
    cell.restart("w0");
    cell.list_workers();
    cell.run(cell.tick);
    CHECK(w0.delayed.empty());
    w0.start_delay = {};
    cell.run(1s);
    CHECK(cell.running_on("w0") == 1);
}

// Guards against a leader that gives up leadership, as a worker that is listed
// again refuses the tokens that begin anew.
TEST_CASE("A worker that is listed again gets calls of the same generation",
          "[worker_restarts]")
{
    restarting_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 200ms};
    };
    cell.submit(make_job(1, {{.tasks = 4, .demand = one_core}}));
    cell.run(1s);
    // Its record is written only after it is removed.
    cell.workers["w0"].unreachable = true;
    cell.ledger_down = true;
    cell.run(1s);
    const auto away = cell.workers.extract("w0");
    cell.list_workers();
    cell.run(8s);
    cell.list_workers();
    REQUIRE(cell.leader().count(cell.now).workers == 0);
    cell.ledger_down = false;
    cell.run(100ms);
    cell.list_workers();
    cell.workers["w0"] = away.mapped();
    cell.workers["w0"].unreachable = false;
    cell.list_workers();
    cell.run(1s);
    CHECK_FALSE(cell.leader().superseded());
}

// Guards against a task that runs again though it is done, as a poll for the
// previous incarnation acknowledges the end before it is read.
TEST_CASE("A poll sent before a start acknowledges none of its ends",
          "[worker_restarts]")
{
    restarting_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 200ms};
    };
    cell.submit(make_job(1, {{.tasks = 4, .demand = one_core}}));
    cell.run(1s);
    REQUIRE(cell.state(1) == job_state::completed);
    auto& w0 = cell.workers["w0"];
    w0.delay_poll_responses = true;
    cell.run(20ms);
    REQUIRE(cell.last_polls["w0"].acknowledged == 4);
    cell.restart("w0");
    cell.submit(make_job(2, {{.demand = one_core}}));
    cell.run(300ms);
    REQUIRE(w0.ended.size() == 1);
    w0.delay_poll_responses = false;
    cell.run(3s);
    CHECK(cell.state(2) == job_state::completed);
    CHECK(cell.violations.empty());
}

// Guards against a lease that is longer than the leader allows for, as a poll
// for the previous incarnation renews it late.
TEST_CASE("A poll sent before a start does not renew its lease",
          "[worker_restarts]")
{
    restarting_fleet cell;
    auto& w0 = cell.workers["w0"];
    w0.delay_poll_responses = true;
    w0.poll_delay = 5s;
    cell.run(20ms);
    REQUIRE(w0.delayed_polls.size() == 1);
    w0.poll_delay = {};
    cell.restart("w0");
    w0.listed_late = true;
    cell.submit(make_advised_job(1, {.demand = one_core}));
    cell.grant({.job = 1}, {"w0"}, 2500ms);
    cell.run(200ms);
    REQUIRE(cell.running_on("w0") == 1);
    w0.delay_poll_responses = false;
    cell.cut();
    cell.run(8s);
    cell.grant({.job = 1}, {"w0", "w1"}, 60s);
    cell.run(25s);
    CHECK(cell.running_on("w1") == 1);
    CHECK(cell.violations.empty());
}

// Guards against the same for polls sent after a start that was not answered.
TEST_CASE("Polls neither renew nor acknowledge while a start is unanswered",
          "[worker_restarts]")
{
    restarting_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 200ms};
    };
    cell.submit(make_job(1, {{.tasks = 4, .demand = one_core}}));
    cell.run(1s);
    auto& w0 = cell.workers["w0"];
    REQUIRE(cell.last_polls["w0"].acknowledged == 4);
    REQUIRE(cell.last_polls["w0"].lease_end_ms);
    w0.start_delay = 2s;
    cell.submit(make_job(2, {{.demand = one_core}}));
    cell.run(cell.options.max_poll_hold + 1s);
    w0.delay_poll_responses = true;
    cell.submit(make_job(3, {{.demand = one_core}}));
    cell.run(cell.options.max_poll_hold + 1s);
    CHECK(cell.last_polls["w0"].acknowledged == 0);
    CHECK_FALSE(cell.last_polls["w0"].lease_end_ms);
    w0.delay_poll_responses = false;
    w0.start_delay = {};
    cell.run(5s);
    CHECK(cell.last_polls["w0"].acknowledged == 0);
    CHECK(cell.last_polls["w0"].lease_end_ms);
    cell.run(cell.options.max_start_delay - 5s);
    CHECK(cell.last_polls["w0"].acknowledged > 0);
    CHECK(cell.last_polls["w0"].lease_end_ms);
    CHECK(cell.violations.empty());
}

// Guards against a task that waits for longer than its worker's lease, though
// only an incarnation that has answered can run it.
TEST_CASE("A confirmed run is given up with the usual lease",
          "[worker_restarts]")
{
    const bool taken_over = GENERATE(false, true);
    CAPTURE(taken_over);
    restarting_fleet cell;
    cell.submit(one_task());
    cell.run(3s);
    REQUIRE(cell.running_on("w0") == 1);
    cell.cut();
    if (taken_over) {
        cell.take_over();
    }
    CHECK(time_until_w1_runs(cell) < (taken_over ? 8s : 5500ms));
    CHECK(cell.violations.empty());
}

// Guards against starts that wait for a long time, as each of them was sent to
// a worker that does not respond.
TEST_CASE("A worker that left a start unanswered gets no other one before it "
          "answers",
          "[worker_restarts]")
{
    restarting_fleet cell;
    auto& w0 = cell.workers["w0"];
    w0.delay_poll_responses = true;
    w0.start_delay = 20s;
    cell.submit(one_task());
    cell.run(50ms);
    REQUIRE(w0.delayed.size() == 1);
    cell.submit(make_job(2, {{.tasks = 3, .demand = one_core}}));
    cell.run(500ms);
    CHECK(w0.delayed.size() == 1);
    w0.delay_poll_responses = false;
    w0.start_delay = {};
    cell.run(1s);
    CHECK(cell.running(2) == 3);
}

// Guards against a lease that is longer than the leader allows for, as it has
// forgotten which incarnation it knew.
TEST_CASE("A worker that is listed again after a restart counts as restarted",
          "[worker_restarts]")
{
    restarting_fleet cell;
    const auto away = cell.workers.extract("w0");
    cell.list_workers();
    cell.run(6s);
    cell.list_workers();
    REQUIRE(cell.leader().count(cell.now).workers == 0);
    cell.workers["w0"] = away.mapped();
    cell.restart("w0");
    cell.list_workers();
    cell.run(500ms);
    CHECK(cell.recorded("w0").restarted);
}

// Guards against a task that runs twice, as the lease of a worker that restarts
// is longer than its leader allows for.
TEST_CASE(
    "A renewal that reaches the next incarnation of an idle worker counts",
    "[worker_restarts]")
{
    restarting_fleet cell;
    cell.cut_with_long_lease();
    cell.run(20s);
    CHECK(cell.running_on("w1") == 1);
    CHECK(cell.violations.empty());
}

// Guards against the same under a successor of that leader.
TEST_CASE("A new leader allows for the lease of a worker that has restarted",
          "[worker_restarts]")
{
    restarting_fleet cell;
    cell.cut_with_long_lease();
    cell.take_over();
    cell.run(20s);
    CHECK(cell.running_on("w1") == 1);
    CHECK(cell.violations.empty());
}

// Guards against a record that makes each later leader wait.
TEST_CASE("The record of a restart is taken back once the lease is over",
          "[worker_restarts]")
{
    restarting_fleet cell;
    cell.restart_during_poll();
    CHECK(cell.recorded("w0").restarted);
    cell.run(12s);
    CHECK_FALSE(cell.recorded("w0").restarted);
}

// Guards against a renewal that extends the lease of the next incarnation after
// its leader has allowed for all that were sent before.
TEST_CASE("A renewal that was sent to a previous incarnation is refused",
          "[worker_restarts]")
{
    restarting_fleet cell;
    auto& w0 = cell.workers["w0"];
    w0.poll_delay = 3s;
    cell.run(50ms);
    w0.poll_delay = {};
    cell.restart("w0");
    cell.list_workers();
    cell.run(500ms);
    cell.submit(make_job(1, {{.demand = one_core}}));
    cell.run(3s);
    REQUIRE(w0.delayed_polls.empty());
    REQUIRE(cell.running_on("w0") == 1);
    CHECK_FALSE(cell.leader().superseded());
    cell.cut();
    cell.run(20s);
    CHECK(cell.running_on("w1") == 1);
    CHECK(cell.violations.empty());
}

// Guards against a leader that gives up leadership, as a worker refuses calls
// with a token that it has seen surpassed.
TEST_CASE("A restarted worker that is listed again after a while accepts calls",
          "[worker_restarts]")
{
    restarting_fleet cell;
    cell.restart("w0");
    cell.list_workers();
    cell.run(12s);
    const auto away = cell.workers.extract("w0");
    cell.list_workers();
    // It is forgotten once its lease is over.
    cell.run(6s);
    cell.list_workers();
    REQUIRE(cell.leader().count(cell.now).workers == 0);
    cell.workers["w0"] = away.mapped();
    cell.list_workers();
    cell.submit(make_job(1, {{.demand = one_core}}));
    cell.run(1s);
    CHECK_FALSE(cell.leader().superseded());
    CHECK(cell.running_on("w0") == 1);
}

// Guards against a task that runs twice, as a repeat of its start is refused
// after the restart that the first one has reached.
TEST_CASE("A start that is refused for its token may have been executed before",
          "[worker_restarts]")
{
    restarting_fleet cell;
    auto& w0 = cell.workers["w0"];
    w0.delay_poll_responses = true;
    cell.run(20ms);
    cell.restart("w0");
    w0.withholds_start_results = true;
    cell.submit(make_job(1, {{.demand = one_core}}));
    cell.run(100ms);
    REQUIRE(cell.running_on("w0") == 1);
    REQUIRE(cell.unanswered_starts.size() == 1);
    cell.add_workers(1, eight_cores);
    cell.leader().on_start_result(
        cell.unanswered_starts.front(),
        {.result = start_result::fenced, .clock_ms = std::nullopt}, cell.now);
    cell.run(200ms);
    w0.delay_poll_responses = false;
    cell.run(2s);
    CHECK(cell.running(1) == 1);
    CHECK_FALSE(cell.leader().superseded());
    CHECK(cell.violations.empty());
}

// Guards against a start that takes effect in the next incarnation of a worker,
// after its task was started again.
TEST_CASE("A start that was sent to a previous incarnation has no effect",
          "[worker_restarts]")
{
    restarting_fleet cell;
    cell.workers["w0"].start_delay = 800ms;
    cell.submit(make_job(1, {{.demand = one_core}}));
    cell.run(100ms);
    cell.restart("w0");
    cell.workers["w0"].start_delay = {};
    cell.list_workers();
    cell.run(200ms);
    CHECK(cell.running_on("w0") == 1);
    cell.run(2s);
    CHECK(cell.starts.begin()->second == 1);
    CHECK(cell.running_on("w0") == 1);
    CHECK_FALSE(cell.leader().superseded());
    CHECK(cell.violations.empty());
}

} // namespace rosemarytrail::fleet
