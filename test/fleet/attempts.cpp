#include <test/lib/worker_fleet.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

namespace rosemarytrail::fleet {

namespace {

using namespace std::chrono_literals;
using test::make_job;
using test::task_outcome;
using test::worker_fleet;

constexpr resource_amounts eight_cores{8000, 16000, 0};
constexpr resource_amounts one_core{1000, 1000, 0};

} // namespace

TEST_CASE("A failure that a lost worker reports late counts as an attempt",
          "[attempts]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 2s, .end = run_end::failed};
    };
    cell.add_workers(4, eight_cores);
    cell.run(100ms);
    cell.submit(make_job(1, {{.tasks = 1, .demand = one_core}}));
    cell.run(1s);
    auto& first = cell.workers.at(cell.worker_of(1));
    // It fails the task while it is cut off, and lists that end later.
    first.unreachable = true;
    cell.run(6s);
    first.unreachable = false;
    const bool taken_over = GENERATE(false, true);
    if (taken_over) {
        cell.take_over();
    }
    cell.run(15s);
    CHECK(cell.state(1) == job_state::failed);
    CHECK(cell.starts.at({.step = {.job = 1}}) == 3);
}

TEST_CASE("A failure that is listed again counts once", "[attempts]")
{
    worker_fleet cell;
    bool fails = true;
    cell.scripted_outcome = [&fails](const task_key&) {
        return task_outcome{.length = 300ms,
                            .end = fails ? run_end::failed : run_end::done};
    };
    cell.add_workers(4, eight_cores);
    cell.run(100ms);
    cell.submit(make_job(1, {{.tasks = 1, .demand = one_core}}));
    const auto listed = [&cell] {
        return std::ranges::any_of(cell.workers, [](const auto& it) {
            return !it.second.ended.empty();
        });
    };
    while (!listed()) {
        cell.run(10ms);
    }
    cell.run(20ms);
    fails = false;
    // Each leader reads the end before it is acknowledged.
    for (int i = 0; i < 4; ++i) {
        cell.take_over();
        cell.run(20ms);
    }
    cell.run(5s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.violations.empty());
}

TEST_CASE("Two members of a gang that fail in one run count as one attempt",
          "[attempts]")
{
    worker_fleet cell;
    bool fails = true;
    cell.scripted_outcome = [&fails](const task_key&) {
        return task_outcome{.length = 300ms,
                            .end = fails ? run_end::failed : run_end::done};
    };
    cell.add_workers(4, eight_cores);
    cell.run(100ms);
    cell.submit(make_job(1, {{.tasks = 4, .demand = one_core, .gang = true}}));
    cell.run(500ms);
    fails = false;
    cell.run(5s);
    CHECK(cell.state(1) == job_state::completed);
}

} // namespace rosemarytrail::fleet
