#include <rosemarytrail/fleet/worker_health.hpp>

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

constexpr resource_amounts eight_cores{8000, 16000, 0};
constexpr resource_amounts one_core{1000, 1000, 0};

/** @brief Eight workers and a steady load of small jobs. */
struct loaded_fleet : worker_fleet
{
    loaded_fleet()
    {
        scripted_outcome = [](const task_key&) {
            return task_outcome{.length = 300ms};
        };
        add_workers(8, eight_cores);
        run(100ms);
    }

    /** @brief Submits a job of 20 tasks every 100 ms, which needs seven or
     * eight workers. */
    void load(duration length, const std::string& image = {})
    {
        for (const auto until = now + length; now < until;) {
            submit(make_job(next_job++, {{.tasks = 20,
                                          .demand = one_core,
                                          .estimate_ms = 400,
                                          .tasks_per_vm = 3,
                                          .image = image}}));
            run(100ms);
        }
    }

    /** @return Number of workers that were set aside since the last call. */
    [[nodiscard]] std::size_t set_aside()
    {
        const auto decisions = leader().take_decisions();
        return static_cast<std::size_t>(
            std::ranges::count(decisions, "worker set aside", &decision::what));
    }

    std::uint64_t next_job{1};
};

} // namespace

TEST_CASE("Quarantines double and end with a probe", "[worker_health]")
{
    const worker_health_options options;
    worker_health it;
    auto now = time_point{1000s};
    CHECK_FALSE(it.record_bad_run(1, false, options, now));
    CHECK_FALSE(it.record_bad_run(1, false, options, now));
    // Failures of a single job don't indicate a faulty worker.
    CHECK_FALSE(it.record_bad_run(1, false, options, now));
    CHECK_FALSE(it.on_probation());
    CHECK(it.record_bad_run(2, false, options, now));
    for (const auto expected : {2s, 4s, 8s, 16s, 30s, 30s}) {
        CHECK(it.quarantine(options, now) == expected);
        now += expected;
        CHECK_FALSE(it.quarantined(now));
        CHECK(it.on_probation());
        CHECK(it.record_bad_run(3, true, options, now));
    }
    it.record_good_run(now, true);
    CHECK_FALSE(it.on_probation());
    CHECK(it.quarantine(options, now + 90s) == 2s);
}

TEST_CASE("Bad runs far apart, or offset by good ones, do not count",
          "[worker_health]")
{
    const worker_health_options options;
    worker_health it;
    auto now = time_point{1000s};
    for (std::uint64_t job = 1; job < 10; ++job) {
        CHECK_FALSE(it.record_bad_run(job, false, options, now));
        now += 6s;
    }
    for (std::uint64_t job = 1; job < 10; ++job) {
        CHECK_FALSE(it.record_bad_run(job, false, options, now));
        it.record_good_run(now + 10ms, false);
        now += 100ms;
    }
}

TEST_CASE("The probe is a small task for some time, then any task or gang",
          "[worker_health]")
{
    const worker_health_options options;
    worker_health it;
    const auto now = time_point{1000s};
    it.quarantine(options, now);
    const step_spec small{.demand = one_core};
    const step_spec large{.demand = eight_cores};
    const step_spec gang{.demand = one_core, .gang = true};
    const step_spec service{.demand = one_core, .long_running = true};
    const auto accepts = [&](const step_spec& step, duration after) {
        return it.accepts_probe(step, eight_cores, options, now + after);
    };
    CHECK_FALSE(accepts(small, 1900ms));
    CHECK(accepts(small, 2s));
    for (const auto& step : {large, gang, service}) {
        CHECK_FALSE(accepts(step, 4999ms));
        CHECK(accepts(step, 5s));
    }
}

// It was used with all its capacity again after each quarantine of 5 s.
TEST_CASE("A worker that fails what it starts gets one task after a quarantine",
          "[worker_health]")
{
    loaded_fleet cell;
    cell.workers["w0"].fails_all = true;
    cell.load(14s);
    // Six at once or so until it is set aside, then a probe each after 2, 4
    // and 8 s.
    CHECK(cell.workers["w0"].next_end - 1 <= 14);
    CHECK(cell.set_aside() >= 3);
    cell.workers["w0"].fails_all = false;
    cell.load(9s);
    CHECK(cell.leader().count(cell.now).probed_workers == 0);
    CHECK(cell.running_on("w0") > 1);
}

// Its probation ended only by a single task, which nobody submitted.
TEST_CASE("Gangs are placed on a worker that refused starts for some time",
          "[worker_health]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 1s};
    };
    cell.add_workers(12, eight_cores);
    const std::uint32_t suspects = GENERATE(1U, 2U);
    const std::uint32_t members = GENERATE(1U, 2U, 4U);
    CAPTURE(suspects, members);
    for (std::uint32_t i = 0; i < suspects; ++i) {
        auto& it = cell.workers["w" + std::to_string(i)];
        it.vm.labels = {"b"};
        it.refuses_starts = true;
    }
    cell.list_workers();
    cell.run(200ms);
    for (std::uint64_t id = 1; id <= 2; ++id) {
        cell.submit(make_job(id, {{.tasks = suspects * members,
                                   .demand = one_core,
                                   .estimate_ms = 1000,
                                   .gang = true,
                                   .required_label = "b"}}));
    }
    cell.run(6500ms);
    const auto counts = cell.leader().count(cell.now);
    REQUIRE(counts.quarantined_workers + counts.probed_workers == suspects);
    for (auto& [id, it] : cell.workers) {
        it.refuses_starts = false;
    }
    // The longest quarantine that the refusals caused, the time reserved for
    // small tasks, and both gangs in turn.
    cell.run(8s + 3s + 3s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.state(2) == job_state::completed);
    CHECK(cell.leader().count(cell.now).probed_workers == 0);
    CHECK(cell.violations.empty());
}

// One bad member ends the whole gang.
TEST_CASE("A gang avoids a worker on probation while others have room",
          "[worker_health]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 60s};
    };
    cell.add_workers(6, eight_cores);
    cell.workers["w0"].vm.labels = {"b"};
    cell.workers["w0"].refuses_starts = true;
    cell.list_workers();
    cell.run(200ms);
    for (std::uint64_t id = 1; id <= 2; ++id) {
        cell.submit(make_job(id, {{.tasks = 2,
                                   .demand = one_core,
                                   .gang = true,
                                   .required_label = "b"}}));
    }
    cell.run(500ms);
    cell.cancel(1);
    cell.cancel(2);
    cell.run(6s);
    REQUIRE(cell.leader().count(cell.now).probed_workers == 1);
    cell.workers["w0"].refuses_starts = false;
    cell.submit(make_job(3, {{.tasks = 40, .demand = one_core, .gang = true}}));
    cell.run(200ms);
    CHECK(cell.running(3) == 40);
    CHECK(cell.running_on("w0") == 0);
    cell.submit(make_job(4, {{.tasks = 4, .demand = one_core, .gang = true}}));
    cell.run(200ms);
    CHECK(cell.running_on("w0") == 4);
}

// The worker was kept for its probe alone until that had ended.
TEST_CASE("A worker leaves probation while a long probe makes progress",
          "[worker_health]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 60s};
    };
    cell.add_workers(6, eight_cores);
    auto& worker = cell.workers["w0"];
    worker.vm.labels = {"b"};
    worker.refuses_starts = true;
    cell.list_workers();
    cell.run(200ms);
    const bool gang = GENERATE(false, true);
    CAPTURE(gang);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        cell.submit(make_job(id, {{.tasks = 2,
                                   .demand = one_core,
                                   .estimate_ms = 60000,
                                   .gang = gang,
                                   .required_label = "b"}}));
    }
    cell.run(1s);
    REQUIRE(cell.leader().count(cell.now).quarantined_workers == 1);
    worker.refuses_starts = false;
    SECTION("probe that works")
    {
        // Quarantine, time reserved for small tasks, time of the probe alone.
        cell.run(2s + 3s + 3s + 2s);
        CHECK(cell.running_on("w0") == 6);
        CHECK(cell.leader().count(cell.now).probed_workers == 0);
    }
    SECTION("probe that hangs")
    {
        worker.hangs = true;
        cell.run(2s + 3s + 3s + 2s);
        CHECK(cell.running_on("w0") <= 2);
        CHECK(cell.leader().count(cell.now).probed_workers == 1);
    }
}

// Guards against quarantines that outlast the fault of the only workers that
// can run a task.
TEST_CASE("A task that only fits a worker that refused starts waits for at "
          "most 7 s",
          "[worker_health]")
{
    constexpr resource_amounts room_for_all{32000, 64000, 0};
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 1s};
    };
    cell.add_workers(12, room_for_all);
    cell.workers["w0"].vm.labels = {"b"};
    cell.list_workers();
    cell.run(200ms);
    for (std::uint64_t round = 0; round < 3; ++round) {
        cell.workers["w0"].refuses_starts = true;
        for (std::uint64_t i = 1; i <= 3; ++i) {
            cell.submit(make_job(3 * round + i, {{.tasks = 2,
                                                  .demand = one_core,
                                                  .long_running = true,
                                                  .required_label = "b"}}));
        }
        cell.run(6500ms);
        cell.workers["w0"].refuses_starts = false;
        cell.run(7s);
        CHECK(cell.running_on("w0") == 6 * (round + 1));
    }
}

// Guards against the same for tasks that end, whose attempts are limited.
TEST_CASE("A job that only a quarantined worker can run is tried after 4 s",
          "[worker_health]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 300ms};
    };
    cell.add_workers(12, eight_cores);
    cell.workers["w0"].vm.labels = {"b"};
    cell.list_workers();
    cell.run(200ms);
    const auto submit = [&cell](std::uint64_t first) {
        for (std::uint64_t id = first; id < first + 3; ++id) {
            auto job =
                make_job(id, {{.demand = one_core, .required_label = "b"}});
            job.queue.max_attempts = 100;
            cell.submit(job);
        }
    };
    // Each failed probe doubles the quarantine.
    cell.workers["w0"].fails_all = true;
    submit(1);
    cell.run(25s);
    cell.workers["w0"].fails_all = false;
    cell.run(5s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.state(2) == job_state::completed);
    CHECK(cell.state(3) == job_state::completed);
    // A failed run each 4 s or so, beside those before the quarantine.
    CHECK(cell.workers["w0"].next_end - 1 <= 3 + 6 + 3 + 3);
}

// Guards against work on a worker that fails it while others have room.
TEST_CASE("A task that others can run does not go to a quarantined worker",
          "[worker_health]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 300ms};
    };
    cell.add_workers(12, eight_cores);
    for (const auto* id : {"w0", "w1"}) {
        cell.workers[id].vm.labels = {"b"};
    }
    cell.workers["w0"].refuses_starts = true;
    cell.list_workers();
    cell.run(200ms);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        cell.submit(make_job(id, {{.tasks = 6,
                                   .demand = one_core,
                                   .long_running = true,
                                   .required_label = "b"}}));
    }
    cell.run(1s);
    REQUIRE(cell.leader().count(cell.now).quarantined_workers == 1);
    const auto refused = cell.refused_starts;
    cell.cancel(2);
    cell.cancel(3);
    cell.run(1s);
    cell.submit(make_job(4, {{.demand = one_core, .required_label = "b"}}));
    cell.run(500ms);
    CHECK(cell.state(4) == job_state::completed);
    CHECK(cell.refused_starts == refused);
}

TEST_CASE("A worker whose runs stand still is set aside", "[worker_health]")
{
    loaded_fleet cell;
    cell.load(1s);
    cell.workers["w0"].hangs = true;
    cell.load(4s);
    CHECK(cell.set_aside() == 1);
    // Tasks that take long everywhere are no reason.
    cell.workers["w0"].hangs = false;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 3s};
    };
    cell.load(2s);
    CHECK(cell.set_aside() == 0);
}

TEST_CASE("A worker that does not answer starts is set aside",
          "[worker_health]")
{
    loaded_fleet cell;
    cell.workers["w0"].start_delay = 1h;
    cell.load(1s);
    CHECK(cell.set_aside() == 1);
}

TEST_CASE("An image that fails everywhere sets no further worker aside",
          "[worker_health]")
{
    loaded_fleet cell;
    cell.scripted_outcome = [](const task_key& task) {
        return task_outcome{.length = 300ms,
                            .end = task.step.job < 100 ? run_end::done
                                                       : run_end::failed};
    };
    cell.load(1s, "good");
    cell.next_job = 100;
    cell.load(1s, "bad");
    [[maybe_unused]] const auto until_known = cell.set_aside();
    cell.load(2s, "bad");
    CHECK(cell.set_aside() == 0);
    CHECK(cell.leader().count(cell.now).usable_workers == 8);
}

TEST_CASE("A worker that has just started is used when others are full",
          "[worker_health]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 10s};
    };
    cell.add_workers(2, eight_cores);
    cell.workers["w0"].vm.cold_left_ms = 5000;
    cell.list_workers();
    cell.run(100ms);
    cell.submit(make_job(1, {{.tasks = 12, .demand = one_core}}));
    cell.run(200ms);
    CHECK(cell.running_on("w1") == 8);
    CHECK(cell.running_on("w0") == 4);
}

} // namespace rosemarytrail::fleet
