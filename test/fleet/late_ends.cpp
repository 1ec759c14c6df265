#include <test/lib/worker_fleet.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace rosemarytrail::fleet {

namespace {

using namespace std::chrono_literals;
using test::make_job;
using test::task_outcome;
using test::worker_fleet;

constexpr resource_amounts eight_cores{8000, 16000, 0};
constexpr resource_amounts one_core{1000, 1000, 0};
constexpr task_key first_task{.step = {.job = 1}};

/** @brief Worker w0 completes the first runs of job 1 while it is cut off, and
 * their tasks start again elsewhere. */
struct given_up_fleet : worker_fleet
{
    /** @brief Outcome of all runs but the first of each task. */
    task_outcome later_runs{.length = 60s};

    given_up_fleet()
    {
        scripted_outcome = [this](const task_key& it) {
            return starts[it] > 1 ? later_runs : task_outcome{.length = 2s};
        };
        stop_time = 800ms;
        add_workers(1, eight_cores);
        run(100ms);
    }

    /** @brief Submits the job and cuts w0 off as it runs there. */
    void cut_first_run(job_record job)
    {
        submit(std::move(job));
        run(1s);
        REQUIRE(running_on("w0") > 0);
        cut("w0");
    }

    /** @brief Adds workers and waits until the tasks start there. */
    void start_again(std::size_t n = 1,
                     const resource_amounts& capacity = eight_cores)
    {
        add_workers(n, capacity);
        const auto until = now + 20s;
        while (starts[first_task] < 2 && now < until) {
            run(10ms);
        }
        REQUIRE(starts[first_task] == 2);
        REQUIRE(running(1) > 0);
    }

    void cut(const std::string& worker) { workers[worker].unreachable = true; }

    void reach(const std::string& worker)
    {
        workers[worker].unreachable = false;
    }

    /** @return True if each task of the job was started at most twice. */
    [[nodiscard]] bool started_twice_at_most() const
    {
        return std::ranges::all_of(
            starts, [](const auto& it) { return it.second <= 2; });
    }
};

/** @return Job 1 with one task of one core. */
[[nodiscard]] job_record make_small_job()
{
    return make_job(1, {{.demand = one_core}});
}

} // namespace

// Guards against callers that wait for a second run though the first has
// completed.
TEST_CASE("The result of a given-up run is taken though its task runs again",
          "[late_ends]")
{
    given_up_fleet cell;
    cell.cut_first_run(
        make_job(1, {{.demand = one_core}, {.demand = one_core}}));
    cell.start_again();
    cell.reach("w0");
    cell.run(500ms);
    CHECK(cell.state(1) == job_state::running);
    cell.run(4s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.running(1) == 0);
    CHECK(cell.started_twice_at_most());
    CHECK(cell.violations.empty());
}

// Guards against a start beyond the capacity of a worker, beside a run that is
// being stopped as its task has a result.
TEST_CASE("A run that a late result has stopped keeps its worker's capacity",
          "[late_ends]")
{
    given_up_fleet cell;
    cell.cut_first_run(make_small_job());
    cell.start_again(1, one_core);
    cell.workers["w1"].vm.labels.emplace_back("b");
    cell.list_workers();
    cell.submit(make_job(2, {{.demand = one_core, .required_label = "b"}}));
    cell.reach("w0");
    cell.run(600ms);
    REQUIRE(cell.workers["w1"].running.contains(first_task));
    CHECK(cell.workers["w1"].running.at(first_task).stopping);
    CHECK(cell.running(2) == 0);
    cell.run(1s);
    CHECK(cell.running(2) == 1);
    CHECK(cell.violations.empty());
}

// Guards against an account that exceeds its limit while a run is being stopped
// as its task has a result.
TEST_CASE("A run that a late result has stopped counts for its account",
          "[late_ends]")
{
    given_up_fleet cell;
    cell.config.accounts["a"] = {.name = "a", .limit = one_core};
    cell.take_over();
    cell.cut_first_run(make_small_job());
    cell.start_again();
    cell.submit(make_job(2, {{.demand = one_core}}));
    cell.reach("w0");
    cell.run(600ms);
    REQUIRE(cell.running(1) == 1);
    CHECK(cell.running(2) == 0);
    cell.run(1s);
    CHECK(cell.running(2) == 1);
    CHECK(cell.violations.empty());
}

// Guards against a third start of a task that has a result, as the worker of
// its second run is lost.
TEST_CASE("A task with a late result does not start again as its run is lost",
          "[late_ends]")
{
    given_up_fleet cell;
    cell.cut_first_run(make_small_job());
    cell.start_again();
    cell.cut("w1");
    cell.run(100ms);
    cell.reach("w0");
    cell.run(1s);
    CHECK(cell.state(1) == job_state::running);
    cell.run(10s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.started_twice_at_most());
    CHECK(cell.violations.empty());
}

// Guards against a successor that knows only of the second run and starts the
// task a third time, or waits for that run.
TEST_CASE("A successor does not start a task with a late result", "[late_ends]")
{
    given_up_fleet cell;
    cell.cut_first_run(make_small_job());
    cell.start_again();
    cell.reach("w0");
    cell.run(600ms);
    REQUIRE(cell.workers["w0"].ended.empty());
    REQUIRE(cell.running_on("w1") == 1);
    const bool lost = GENERATE(false, true);
    CAPTURE(lost);
    cell.workers["w1"].unreachable = lost;
    cell.take_over();
    cell.run(15s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.running(1) == 0);
    CHECK(cell.started_twice_at_most());
    CHECK(cell.violations.empty());
}

// Guards against a worker that stays unused once a run that its leader does not
// track is over.
TEST_CASE("A successor uses the worker of a run that a late result has stopped",
          "[late_ends]")
{
    given_up_fleet cell;
    cell.cut_first_run(make_small_job());
    cell.start_again(1, one_core);
    cell.reach("w0");
    cell.run(600ms);
    REQUIRE(cell.running_on("w1") == 1);
    cell.cut("w0");
    cell.take_over();
    cell.submit(make_job(2, {{.demand = one_core}}));
    cell.run(2s);
    CHECK(cell.running(2) == 1);
    CHECK(cell.violations.empty());
}

// Guards against a gang that runs again though the ends of some members tell
// that it has completed.
TEST_CASE("The result of a given-up gang is taken though it runs again",
          "[late_ends]")
{
    given_up_fleet cell;
    cell.add_workers(1, eight_cores);
    cell.run(100ms);
    cell.cut_first_run(
        make_job(1, {{.tasks = 12, .demand = one_core, .gang = true}}));
    REQUIRE(cell.running_on("w1") > 0);
    cell.cut("w1");
    cell.start_again(2);
    REQUIRE(cell.running(1) == 12);
    const bool lost = GENERATE(false, true);
    CAPTURE(lost);
    cell.workers["w3"].unreachable = lost;
    cell.reach("w0");
    cell.run(600ms);
    CHECK(cell.running(1) == 12);
    CHECK(cell.state(1) == job_state::running);
    cell.run(10s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.running(1) == 0);
    CHECK(cell.started_twice_at_most());
    CHECK(cell.violations.empty());
}

// Guards against a job that fails as the second run of a task fails whose first
// run has completed.
TEST_CASE("A failed run of a task with a late result is no attempt",
          "[late_ends]")
{
    given_up_fleet cell;
    cell.later_runs = {.length = 1500ms, .end = run_end::failed};
    auto job = make_small_job();
    job.queue.max_attempts = 1;
    cell.cut_first_run(std::move(job));
    cell.start_again();
    cell.cut("w1");
    cell.reach("w0");
    cell.run(3s);
    cell.reach("w1");
    cell.run(1s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.started_twice_at_most());
    CHECK(cell.violations.empty());
}

// Guards against the same by an end that a third run has overtaken.
TEST_CASE("A failure that is listed after a late result is no attempt",
          "[late_ends]")
{
    given_up_fleet cell;
    cell.later_runs = {.length = 1500ms, .end = run_end::failed};
    auto job = make_small_job();
    job.queue.max_attempts = 1;
    cell.cut_first_run(std::move(job));
    cell.start_again();
    cell.cut("w1");
    cell.add_workers(1, eight_cores);
    cell.run(5500ms);
    REQUIRE(cell.running_on("w2") == 1);
    cell.cut("w2");
    cell.reach("w0");
    cell.run(600ms);
    cell.reach("w1");
    cell.run(600ms);
    CHECK(cell.state(1) == job_state::running);
    cell.reach("w2");
    cell.run(1s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.violations.empty());
}

// Guards against a job that fails as a worker crashes under the second run of a
// task whose first run has completed.
TEST_CASE("A crash under a run of a task with a late result does not count",
          "[late_ends]")
{
    given_up_fleet cell;
    cell.options.max_confirmed_crashes = 1;
    cell.take_over();
    cell.cut_first_run(make_small_job());
    cell.start_again();
    cell.reach("w0");
    cell.run(600ms);
    REQUIRE(cell.running_on("w1") == 1);
    const bool same_id = GENERATE(false, true);
    CAPTURE(same_id);
    if (same_id) {
        cell.restart("w1");
        cell.list_workers();
    } else {
        cell.crash("w1");
    }
    cell.run(6s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.started_twice_at_most());
    CHECK(cell.violations.empty());
}

// Guards against the same where the crash is proven after the late end.
TEST_CASE("A crash before a late result does not count", "[late_ends]")
{
    given_up_fleet cell;
    cell.options.max_confirmed_crashes = 1;
    cell.take_over();
    cell.cut_first_run(make_small_job());
    cell.start_again();
    cell.run(100ms);
    auto& w1 = cell.workers["w1"];
    w1.delay_poll_responses = true;
    cell.restart("w1");
    cell.list_workers();
    cell.reach("w0");
    cell.run(600ms);
    w1.delay_poll_responses = false;
    cell.run(6s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.started_twice_at_most());
    CHECK(cell.violations.empty());
}

// Guards against a cancelled job that never ends, as a task has a result and a
// run that is being stopped.
TEST_CASE("A job that is cancelled after a late result ends", "[late_ends]")
{
    given_up_fleet cell;
    cell.cut_first_run(
        make_job(1, {{.demand = one_core}, {.demand = one_core}}));
    cell.start_again();
    cell.reach("w0");
    cell.run(600ms);
    REQUIRE(cell.running(1) == 1);
    cell.cancel(1);
    cell.run(2s);
    CHECK(cell.state(1) == job_state::cancelled);
    CHECK(cell.running(1) == 0);
    CHECK(cell.leader().count(cell.now).jobs == 0);
    CHECK(cell.violations.empty());
}

} // namespace rosemarytrail::fleet
