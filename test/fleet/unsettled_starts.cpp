#include <test/lib/worker_fleet.hpp>

#include <catch2/catch.hpp>

namespace rosemarytrail::fleet {

namespace {

using namespace std::chrono_literals;
using test::make_job;
using test::task_outcome;
using test::worker_fleet;

constexpr resource_amounts eight_cores{8000, 16000, 0};
constexpr resource_amounts one_core{1000, 1000, 0};

/** @brief Worker w0, whose tasks take a second and whose ends are
 * acknowledged. */
struct late_start_fleet : worker_fleet
{
    late_start_fleet()
    {
        scripted_outcome = [](const task_key&) {
            return task_outcome{.length = 1s};
        };
        add_workers(1, eight_cores);
        submit(make_job(9, {{.tasks = 4, .demand = one_core}}));
        run(3s);
        REQUIRE(last_polls["w0"].acknowledged == 4);
    }

    /** @brief Submits a job whose starts on w0 are not answered and take effect
     * later. */
    void submit_unanswered(const job_record& job, duration delay)
    {
        auto& w0 = workers["w0"];
        w0.start_delay = delay;
        submit(job);
        while (w0.delayed.empty()) {
            run(tick);
        }
        w0.start_delay = {};
    }

    /** @brief Restarts w0, which no call reaches from then on. */
    void restart_behind_cut()
    {
        restart("w0");
        workers["w0"].unreachable = true;
        workers["w0"].listed_late = true;
    }

    /** @brief Ends the cut. */
    void heal()
    {
        workers["w0"].unreachable = false;
        workers["w0"].listed_late = false;
        list_workers();
    }
};

} // namespace

// Guards against a start that is executed after the end of a later run was
// acknowledged and the worker has forgotten that run.
TEST_CASE("The end of a later run is acknowledged only once an earlier start "
          "cannot be executed",
          "[unsettled_starts]")
{
    const bool taken_over = GENERATE(false, true);
    const duration delay = GENERATE(6000ms, 11900ms);
    const int restarts = GENERATE(1, 3);
    const bool gang = GENERATE(false, true);
    CAPTURE(taken_over, delay.count(), restarts, gang);
    late_start_fleet cell;
    cell.submit_unanswered(
        make_job(1, {{.tasks = 2, .demand = one_core, .gang = gang}}), delay);
    cell.run(3s);
    REQUIRE(cell.state(1) == job_state::completed);
    if (taken_over) {
        cell.take_over();
        cell.run(1s);
    }
    for (int i = 0; i < restarts; ++i) {
        cell.restart_behind_cut();
        cell.run(500ms);
        if (i + 1 < restarts) {
            cell.heal();
            cell.run(200ms);
        }
    }
    cell.run(delay);
    cell.heal();
    cell.run(30s);
    CHECK(cell.workers["w0"].ended.empty());
    CHECK(cell.last_polls["w0"].acknowledged > 0);
    CHECK(cell.violations.empty());
}

// Guards against a task that is started again after its end was acknowledged
// unread, by a poll for the previous incarnation that is carried out late.
TEST_CASE("No poll acknowledges ends from the sending of a start until the "
          "start cannot be executed",
          "[unsettled_starts]")
{
    const bool taken_over = GENERATE(false, true);
    const bool under_way = GENERATE(false, true);
    const bool soon = GENERATE(false, true);
    const duration start_late = soon ? 2500ms : 11000ms;
    const duration poll_late = soon ? 5000ms : 11900ms;
    CAPTURE(taken_over, under_way, soon);
    late_start_fleet cell;
    auto& w0 = cell.workers["w0"];
    w0.withholds_start_results = under_way;
    cell.submit_unanswered(make_job(1, {{.demand = one_core}}), start_late);
    w0.withholds_start_results = false;
    // The worker answers another call after the start.
    cell.submit(make_job(2, {{.demand = one_core}}));
    cell.run(200ms);
    if (taken_over) {
        cell.take_over();
        cell.run(300ms);
    }
    w0.poll_delay = poll_late;
    while (w0.delayed_polls.empty()) {
        cell.run(cell.tick);
    }
    w0.poll_delay = {};
    if (under_way && !taken_over) {
        cell.leader().on_start_result(cell.unanswered_starts.at(0), {},
                                      cell.now);
    }
    cell.restart_behind_cut();
    cell.run(start_late + poll_late);
    cell.heal();
    cell.run(40s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.state(2) == job_state::completed);
    CHECK(cell.violations.empty());
}

// Guards against a run that goes on beyond the bound on its lease, as a poll
// that was sent while its start had no response renews the lease late.
TEST_CASE("A late run is given up only once no late poll can have renewed it",
          "[unsettled_starts]")
{
    const bool taken_over = GENERATE(false, true);
    CAPTURE(taken_over);
    late_start_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 60s};
    };
    auto& w0 = cell.workers["w0"];
    cell.submit_unanswered(make_job(1, {{.demand = one_core}}), 11900ms);
    cell.run(9s);
    REQUIRE(cell.running_on("w0") == 1);
    w0.poll_delay = 11900ms;
    while (w0.delayed_polls.empty()) {
        cell.run(cell.tick);
    }
    w0.poll_delay = {};
    REQUIRE(w0.delayed_polls.at(0).second.lease_end_ms);
    cell.restart_behind_cut();
    cell.add_workers(1, eight_cores);
    if (taken_over) {
        cell.take_over();
    }
    cell.run(60s);
    CHECK(cell.running_on("w1") == 1);
    CHECK(cell.violations.empty());
}

// Guards against a job that fails for good and is started once more, as the
// last of its failed ends was acknowledged before.
TEST_CASE("The end of a last attempt is acknowledged only once an earlier "
          "start cannot be executed",
          "[unsettled_starts]")
{
    late_start_fleet cell;
    cell.submit_unanswered(make_job(1, {{.demand = one_core}}), 11900ms);
    cell.workers["w0"].fails_all = true;
    cell.run(6s);
    REQUIRE(cell.state(1) == job_state::failed);
    CHECK(cell.last_polls["w0"].acknowledged == 0);
    cell.run(9s);
    CHECK(cell.last_polls["w0"].acknowledged > 0);
}

// Guards against ends that are never read, as a worker lists only so many that
// are not acknowledged.
TEST_CASE("A worker with many unacknowledged ends gets no start that may hold "
          "them back",
          "[unsettled_starts]")
{
    late_start_fleet cell;
    cell.options.max_unacknowledged_ends = 20;
    cell.take_over();
    cell.run(2s);
    auto& w0 = cell.workers["w0"];
    w0.max_ended_rows = 40;
    std::size_t longest = 0;
    for (std::uint64_t id = 10; id < 60; ++id) {
        cell.submit_unanswered(make_job(id, {{.demand = one_core}}), 300s);
        cell.submit(make_job(100 + id, {{.tasks = 4, .demand = one_core}}));
        cell.run(1s);
        longest = std::max(longest, w0.ended.size());
    }
    w0.delayed.clear();
    CHECK(longest > 20);
    CHECK(longest < 40);
    cell.run(120s);
    CHECK(w0.ended.empty());
    CHECK(cell.state(159) == job_state::completed);
    CHECK(cell.violations.empty());
}

// Guards against a leader that reads the same unacknowledged ends without a
// pause.
TEST_CASE("A list of unacknowledged ends is polled at intervals",
          "[unsettled_starts]")
{
    late_start_fleet cell;
    cell.submit_unanswered(make_job(1, {{.demand = one_core}}), 300s);
    cell.run(3s);
    REQUIRE_FALSE(cell.workers["w0"].ended.empty());
    std::ignore = cell.leader().take_restart_counts();
    cell.run(2s);
    const auto polls =
        cell.leader().take_restart_counts().withheld_acknowledgements;
    CHECK(polls > 10);
    CHECK(polls < 45);
}

} // namespace rosemarytrail::fleet
