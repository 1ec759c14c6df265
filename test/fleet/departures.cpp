#include <test/lib/worker_fleet.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

namespace rosemarytrail::fleet {

namespace {

using namespace std::chrono_literals;
using test::make_job;
using test::task_outcome;
using test::worker_fleet;

constexpr resource_amounts four_cores{4000, 16000, 0};
constexpr resource_amounts one_core{1000, 1000, 0};

/** @brief Three workers with the time of a stop and the progress reports of the
 * platform. */
struct departing_fleet : worker_fleet
{
    departing_fleet()
    {
        stop_time = 600ms;
        set_length(4s);
        add_workers(3, four_cores);
        run(100ms);
    }

    void set_length(duration length)
    {
        scripted_outcome = [length](const task_key&) {
            return task_outcome{.length = length};
        };
    }

    /** @return Runs of the job's first step that were started in all. */
    [[nodiscard]] std::size_t starts_of(std::uint64_t id) const
    {
        std::size_t n = 0;
        for (const auto& [task, count] : starts) {
            n += task.step.job == id ? count : 0;
        }
        return n;
    }

    /** @brief Occupies what is available, so that nothing can be moved. */
    void fill(std::uint32_t tasks)
    {
        submit(make_job(
            99, {{.tasks = tasks, .demand = one_core, .long_running = true}}));
        run(200ms);
    }

    /** @return Least number of running tasks of the job at any time. */
    [[nodiscard]] std::size_t min_running(std::uint64_t id, duration length)
    {
        auto least = running(id);
        for (const auto until = now + length; now < until;) {
            run(tick);
            least = std::min(least, running(id));
        }
        return least;
    }
};

} // namespace

// Found lost only 4.7 s later before, without the work of the first 2 s.
TEST_CASE("A checkpointing task resumes elsewhere when its worker leaves",
          "[departures]")
{
    departing_fleet cell;
    cell.submit(make_job(1, {{.tasks = 1,
                              .demand = one_core,
                              .estimate_ms = 3000,
                              .checkpoints = true}}));
    cell.run(500ms);
    const auto from = cell.worker_of(1);
    cell.drain(from, 2s);
    cell.run(500ms);
    // It works on until the stop is due.
    CHECK(cell.worker_of(1) == from);
    cell.run(1400ms);
    CHECK(!cell.worker_of(1).empty());
    CHECK(cell.worker_of(1) != from);
    cell.run(2700ms);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.starts_of(1) == 2);
    CHECK(cell.violations.empty());
}

TEST_CASE("A task that ends before its worker leaves is not stopped",
          "[departures]")
{
    departing_fleet cell;
    cell.set_length(2s);
    cell.submit(make_job(1, {{.tasks = 1,
                              .demand = one_core,
                              .estimate_ms = 3000,
                              .checkpoints = true}}));
    cell.run(1200ms);
    cell.drain(cell.worker_of(1), 1700ms);
    cell.run(1500ms);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.starts_of(1) == 1);
}

TEST_CASE("Without capacity elsewhere no task is stopped", "[departures]")
{
    departing_fleet cell;
    cell.submit(make_job(1, {{.tasks = 4,
                              .demand = one_core,
                              .estimate_ms = 4000,
                              .checkpoints = true}}));
    cell.run(200ms);
    cell.fill(8);
    cell.drain(cell.worker_of(1), 2s);
    cell.run(1900ms);
    CHECK(cell.running(1) == 4);
    CHECK(cell.starts_of(1) == 4);
}

TEST_CASE("A task without checkpoints stays", "[departures]")
{
    departing_fleet cell;
    cell.submit(
        make_job(1, {{.tasks = 1, .demand = one_core, .estimate_ms = 4000}}));
    cell.run(200ms);
    cell.drain(cell.worker_of(1), 2s);
    cell.run(1900ms);
    CHECK(cell.running(1) == 1);
    CHECK(cell.starts_of(1) == 1);
}

TEST_CASE("Long-running tasks are replaced within max_unavailable",
          "[departures]")
{
    departing_fleet cell;
    const auto limit = GENERATE(0U, 2U);
    cell.submit(make_job(1, {{.tasks = 4,
                              .demand = one_core,
                              .long_running = true,
                              .max_unavailable = limit}}));
    cell.run(500ms);
    const auto from = cell.worker_of(1);
    REQUIRE(cell.running_on(from) == 4);
    cell.drain(from, 5s);
    const auto least = cell.min_running(1, 4900ms);
    CHECK(least == 4 - std::max(limit, 1U));
    CHECK(cell.running_on(from) == 0);
    CHECK(cell.running(1) == 4);
    CHECK(cell.violations.empty());
}

// The platform counts a task that was lost in the last 5.5 s as unavailable.
TEST_CASE("A recent loss delays the replacement of a long-running task",
          "[departures]")
{
    departing_fleet cell;
    cell.submit(make_job(1, {{.tasks = 4,
                              .demand = one_core,
                              .long_running = true,
                              .tasks_per_vm = 2,
                              .max_unavailable = 1}}));
    cell.run(500ms);
    const auto from = cell.worker_of(1);
    std::string other;
    for (const auto& [id, it] : cell.workers) {
        if (id != from && !it.running.empty()) {
            other = id;
        }
    }
    auto& runs = cell.workers[other].running;
    runs.erase(runs.begin());
    cell.run(1500ms);
    REQUIRE(cell.running(1) == 4);
    cell.drain(from, 20s);
    cell.run(3500ms);
    CHECK(cell.running_on(from) == 2);
    cell.run(4s);
    CHECK(cell.running_on(from) == 0);
}

TEST_CASE("Long-running tasks move slowly if the time of departure is unknown",
          "[departures]")
{
    departing_fleet cell;
    cell.submit(make_job(1, {{.tasks = 3,
                              .demand = one_core,
                              .long_running = true,
                              .max_unavailable = 3}}));
    cell.run(200ms);
    cell.submit(make_job(2, {{.tasks = 1,
                              .demand = one_core,
                              .estimate_ms = 4000,
                              .checkpoints = true}}));
    cell.run(500ms);
    const auto from = cell.worker_of(1);
    REQUIRE(cell.running_on(from) == 4);
    cell.workers[from].vm.draining = true;
    cell.list_workers();
    cell.run(1500ms);
    CHECK(cell.running_on(from) == 3);
    cell.run(6s);
    CHECK(cell.running_on(from) == 0);
    CHECK(cell.starts_of(2) == 1);
}

TEST_CASE("A gang moves as a whole, and only if it checkpoints", "[departures]")
{
    departing_fleet cell;
    const bool checkpoints = GENERATE(true, false);
    cell.submit(make_job(1, {{.tasks = 6,
                              .demand = one_core,
                              .estimate_ms = 4000,
                              .checkpoints = checkpoints,
                              .gang = true}}));
    cell.run(500ms);
    const auto from = cell.worker_of(1);
    cell.drain(from, 2s);
    cell.run(1900ms);
    CHECK(cell.running(1) == 6);
    CHECK((cell.running_on(from) == 0) == checkpoints);
    CHECK(cell.starts_of(1) == (checkpoints ? 12 : 6));
    CHECK(cell.violations.empty());
}

TEST_CASE("A worker that leaves before the stop is confirmed loses its task",
          "[departures]")
{
    departing_fleet cell;
    cell.stop_time = 3s;
    cell.submit(make_job(1, {{.tasks = 1,
                              .demand = one_core,
                              .estimate_ms = 3000,
                              .checkpoints = true}}));
    cell.run(500ms);
    cell.drain(cell.worker_of(1), 2s);
    cell.run(4s);
    // Its lease has not ended, so it may still run.
    CHECK(cell.starts_of(1) == 1);
    cell.run(8s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.starts_of(1) == 2);
    CHECK(cell.violations.empty());
}

TEST_CASE("A takeover during a move neither loses nor doubles a task",
          "[departures]")
{
    departing_fleet cell;
    const auto at = GENERATE(200ms, 800ms, 1200ms, 1500ms);
    cell.submit(make_job(1, {{.tasks = 3,
                              .demand = one_core,
                              .estimate_ms = 3000,
                              .checkpoints = true}}));
    cell.submit(
        make_job(2, {{.tasks = 1, .demand = one_core, .long_running = true}}));
    cell.run(500ms);
    const auto from = cell.worker_of(1);
    REQUIRE(cell.running_on(from) == 4);
    cell.drain(from, 2s);
    cell.run(at);
    cell.take_over();
    cell.run(6s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.running(2) == 1);
    CHECK(cell.violations.empty());
}

} // namespace rosemarytrail::fleet
