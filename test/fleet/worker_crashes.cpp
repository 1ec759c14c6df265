#include <test/lib/worker_fleet.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace rosemarytrail::fleet {

namespace {

using namespace std::chrono_literals;
using test::make_job;
using test::task_outcome;
using test::worker_fleet;

constexpr resource_amounts eight_cores{8000, 16000, 0};
constexpr resource_amounts one_core{1000, 1000, 0};

/** @brief The first task of this job crashes each worker that starts it. */
constexpr std::uint64_t crashing_job = 1;

/** @return Cell of eight workers with such a job and `n` others. */
void submit_jobs(worker_fleet& cell, std::size_t n)
{
    cell.crashes_worker = [](const task_key& it) {
        return it.step.job == crashing_job && it.index == 0;
    };
    cell.add_workers(8, eight_cores);
    cell.run(100ms);
    cell.submit(make_job(crashing_job, {{.tasks = 4, .demand = one_core}}));
    for (std::uint64_t id = 2; id < 2 + n; ++id) {
        cell.submit(make_job(id, {{.tasks = 6, .demand = one_core}}));
    }
}

/** @return Worker that runs the task; empty if none does. */
std::string worker_of(const worker_fleet& cell, const task_key& task)
{
    for (const auto& [id, it] : cell.workers) {
        if (it.running.contains(task)) {
            return id;
        }
    }
    return {};
}

/**
 * @brief Runs until a worker runs a task of job 1, or the job has failed.
 * @return The worker; empty if the job has failed.
 */
std::string next_worker_of(worker_fleet& cell, std::uint32_t index = 0)
{
    const task_key task{.step = {.job = 1}, .index = index};
    const auto until = cell.now + 60s;
    while (worker_of(cell, task).empty() && cell.now < until &&
           cell.state(1) != job_state::failed) {
        cell.run(10ms);
    }
    return worker_of(cell, task);
}

} // namespace

TEST_CASE("A task that crashes its workers is given up after two of them",
          "[crashes]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 800ms};
    };
    submit_jobs(cell, 6);
    cell.run(20s);
    CHECK(cell.state(crashing_job) == job_state::failed);
    CHECK(cell.crashes.at({.step = {.job = crashing_job}}) == 2);
    for (std::uint64_t id = 2; id < 8; ++id) {
        CHECK(cell.state(id) == job_state::completed);
    }
    CHECK(cell.violations.empty());
}

TEST_CASE("Crashes under a task count across takeovers", "[crashes]")
{
    worker_fleet cell;
    // The leader is lost between each crash and its proof.
    cell.replacement_delay = GENERATE(3s, 6s);
    submit_jobs(cell, 0);
    for (int i = 0; i < 20; ++i) {
        cell.run(1500ms);
        cell.take_over();
    }
    cell.run(10s);
    CHECK(cell.state(crashing_job) == job_state::failed);
    CHECK(cell.crashes.at({.step = {.job = crashing_job}}) <= 4);
    CHECK(cell.violations.empty());
}

TEST_CASE("A task that crashes its workers before they respond is given up",
          "[crashes]")
{
    worker_fleet cell;
    cell.responds_before_crash = false;
    submit_jobs(cell, 0);
    cell.run(40s);
    CHECK(cell.state(crashing_job) == job_state::failed);
    CHECK(cell.violations.empty());
}

TEST_CASE("A task is given up though its workers return only after its lease",
          "[crashes]")
{
    worker_fleet cell;
    cell.replacement_delay = 8s;
    submit_jobs(cell, 0);
    cell.run(40s);
    CHECK(cell.state(crashing_job) == job_state::failed);
    CHECK(cell.violations.empty());
}

TEST_CASE("A lasting task that crashes its workers is given up", "[crashes]")
{
    worker_fleet cell;
    cell.crashes_worker = [](const task_key& it) {
        return it.index == 0;
    };
    cell.add_workers(8, eight_cores);
    cell.run(100ms);
    cell.submit(
        make_job(crashing_job,
                 {{.tasks = 3, .demand = one_core, .long_running = true}}));
    cell.run(20s);
    CHECK(cell.state(crashing_job) == job_state::failed);
    CHECK(cell.running(crashing_job) == 0);
    CHECK(cell.violations.empty());
}

TEST_CASE(
    "A task that crashes its workers some time after its start is given up",
    "[crashes]")
{
    const auto delay = GENERATE(100ms, 600ms, 1200ms, 2500ms);
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 60s};
    };
    cell.add_workers(12, eight_cores);
    cell.run(100ms);
    cell.submit(make_job(1, {{.tasks = 1, .demand = one_core}}));
    std::size_t crashes = 0;
    while (crashes < 9 && !next_worker_of(cell).empty()) {
        cell.run(delay);
        cell.crash(next_worker_of(cell));
        ++crashes;
    }
    CHECK(crashes <= 5);
}

TEST_CASE("A task is given up in time however late its workers return",
          "[crashes]")
{
    worker_fleet cell;
    cell.responds_before_crash = GENERATE(false, true);
    cell.replacement_delay = GENERATE(1s, 8s, 15s, 20s, 25s);
    cell.crashes_worker = [](const task_key&) {
        return true;
    };
    cell.add_workers(12, eight_cores);
    cell.run(100ms);
    cell.submit(make_job(1, {{.tasks = 1, .demand = one_core}}));
    // Three losses, each noticed once no start can have effect any more, are
    // held against it until they are forgotten.
    const auto longest_loss =
        cell.options.max_start_delay + cell.options.max_lease;
    cell.run(3 * longest_loss + cell.options.crash_memory + 2s);
    CHECK(cell.state(1) == job_state::failed);
    CHECK(cell.violations.empty());
}

TEST_CASE("Restarts under the same id count across takeovers", "[crashes]")
{
    const auto downtime = GENERATE(2000ms, 5500ms);
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 60s};
    };
    cell.add_workers(12, eight_cores);
    cell.run(100ms);
    cell.submit(make_job(1, {{.tasks = 1, .demand = one_core}}));
    std::size_t crashes = 0;
    for (; crashes < 9 && !next_worker_of(cell).empty(); ++crashes) {
        cell.run(50ms);
        auto& worker = cell.workers.at(next_worker_of(cell));
        cell.restart(worker.vm.id);
        worker.unreachable = true;
        cell.run(downtime);
        worker.unreachable = false;
        cell.take_over();
        cell.run(1s);
    }
    CHECK(crashes <= 5);
}

TEST_CASE("A crash that is proven after its task is done fails no job",
          "[crashes]")
{
    worker_fleet cell;
    duration gang_length = 30s;
    cell.scripted_outcome = [&gang_length](const task_key& it) {
        return task_outcome{.length = it.step.step == 0 ? gang_length : 60s};
    };
    cell.add_workers(12, eight_cores);
    cell.run(100ms);
    cell.submit(
        make_job(1, {{.tasks = 2, .demand = {5000, 1000, 0}, .gang = true},
                     {.tasks = 1, .demand = one_core}}));
    for (const auto delay : {duration{1s}, duration{15s}}) {
        REQUIRE_FALSE(next_worker_of(cell, 1).empty());
        cell.run(20ms);
        cell.replacement_delay = delay;
        cell.crash(next_worker_of(cell, 1));
        cell.run(500ms);
    }
    gang_length = 300ms;
    cell.run(21s);
    CHECK(cell.state(1) == job_state::running);
    CHECK(cell.running(1) == 1);
}

TEST_CASE("Workers that crash after a run had lapsed there fail no job",
          "[crashes]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 60s};
    };
    cell.add_workers(12, eight_cores);
    cell.run(100ms);
    cell.submit(make_job(1, {{.tasks = 1, .demand = one_core}}));
    std::vector<std::string> cut;
    for (int i = 0; i < 2; ++i) {
        REQUIRE_FALSE(next_worker_of(cell).empty());
        cell.run(20ms);
        cut.push_back(next_worker_of(cell));
        cell.workers.at(cut.back()).unreachable = true;
        while (worker_of(cell, {.step = {.job = 1}}) == cut.back()) {
            cell.run(10ms);
        }
    }
    REQUIRE_FALSE(next_worker_of(cell).empty());
    cell.replacement_delay = 50ms;
    for (const auto& id : cut) {
        cell.crash(id);
    }
    cell.run(3s);
    CHECK(cell.state(1) == job_state::running);
    CHECK(cell.running(1) == 1);
}

TEST_CASE("Tasks on workers that are cut off are not counted as crashing them",
          "[crashes]")
{
    worker_fleet cell;
    cell.add_workers(6, eight_cores);
    cell.run(100ms);
    cell.submit(
        make_job(1, {{.tasks = 6, .demand = one_core, .long_running = true}}));
    for (int i = 0; i < 5; ++i) {
        cell.run(150ms);
        for (auto& [id, it] : cell.workers) {
            it.unreachable = !it.running.empty();
        }
        cell.run(7s);
        for (auto& [id, it] : cell.workers) {
            it.unreachable = false;
        }
    }
    cell.run(3s);
    CHECK(cell.state(1) == job_state::running);
    CHECK(cell.running(1) == 6);
    CHECK(cell.violations.empty());
}

TEST_CASE("A lasting task outlives any number of crashes that it survived",
          "[crashes]")
{
    worker_fleet cell;
    cell.add_workers(6, eight_cores);
    cell.run(100ms);
    cell.submit(
        make_job(1, {{.tasks = 4, .demand = one_core, .long_running = true}}));
    for (int i = 0; i < 5; ++i) {
        cell.run(5s);
        std::vector<std::string> loaded;
        for (const auto& [id, it] : cell.workers) {
            if (!it.running.empty()) {
                loaded.push_back(id);
            }
        }
        for (const auto& id : loaded) {
            cell.crash(id);
        }
        cell.run(5s);
    }
    CHECK(cell.state(1) == job_state::running);
    CHECK(cell.running(1) == 4);
    CHECK(cell.violations.empty());
}

TEST_CASE("The tasks of a replaced worker run elsewhere at once", "[crashes]")
{
    worker_fleet cell;
    cell.replacement_delay = 1s;
    cell.add_workers(3, eight_cores);
    cell.run(100ms);
    cell.submit(
        make_job(1, {{.tasks = 8, .demand = one_core, .long_running = true}}));
    cell.run(2s);
    cell.crash(cell.worker_of(1));
    cell.run(1800ms);
    CHECK(cell.running(1) == 8);
    CHECK(cell.violations.empty());
}

} // namespace rosemarytrail::fleet
