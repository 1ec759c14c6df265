#include <test/lib/worker_fleet.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace rosemarytrail::fleet {

namespace {

using namespace std::chrono_literals;
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

} // namespace

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
