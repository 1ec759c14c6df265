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

/** @brief Four workers, of which `w0` and `w1` are in the zone `a` and the
 * others in the zone `b`. */
struct two_zones : worker_fleet
{
    two_zones()
    {
        add_workers(4, eight_cores);
        for (auto& [id, it] : workers) {
            it.vm.zone = id < "w2" ? "a" : "b";
        }
        list_workers();
        run(100ms);
    }

    [[nodiscard]] std::size_t running_in_a() const
    {
        return running_on("w0") + running_on("w1");
    }
};

} // namespace

TEST_CASE("Nothing starts in an evacuated zone until the request is withdrawn",
          "[evacuation]")
{
    two_zones cell;
    cell.leader().set_evacuated_zones({"a"});
    cell.submit(make_job(1, {{.tasks = 32, .demand = one_core}}));
    cell.run(300ms);
    CHECK(cell.running_in_a() == 0);
    CHECK(cell.running(1) == 16);
    cell.leader().set_evacuated_zones({});
    cell.run(200ms);
    CHECK(cell.running_in_a() == 16);
    CHECK(cell.violations.empty());
}

TEST_CASE("A placement recorded after its zone was evacuated is not started",
          "[evacuation]")
{
    two_zones cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 2s};
    };
    cell.ledger_delay = 500ms;
    cell.submit(make_job(1, {{.tasks = 32, .demand = one_core}}));
    // Placed in both zones, and not recorded yet.
    cell.run(100ms);
    cell.leader().set_evacuated_zones({"a"});
    cell.run(1s);
    CHECK(cell.running_in_a() == 0);
    CHECK(cell.running(1) == 16);
    cell.ledger_delay = {};
    cell.run(5s);
    CHECK(cell.state(1) == job_state::completed);
    CHECK(cell.violations.empty());
}

TEST_CASE("A worker listed after the request is in the evacuated zone too",
          "[evacuation]")
{
    two_zones cell;
    cell.leader().set_evacuated_zones({"c"});
    cell.add_workers(1, eight_cores);
    for (auto& [id, it] : cell.workers) {
        it.vm.zone = id == "w4" ? "c" : it.vm.zone;
    }
    cell.list_workers();
    cell.run(100ms);
    cell.submit(make_job(1, {{.tasks = 40, .demand = one_core}}));
    cell.run(300ms);
    CHECK(cell.running_on("w4") == 0);
    CHECK(cell.running(1) == 32);
}

namespace {

/** @brief Evacuated zone `a` of ten workers that run 80 tasks, and a zone `b`
 * of the same size. */
struct evacuated_cell : worker_fleet
{
    explicit evacuated_cell(const step_spec& step)
    {
        stop_time = 300ms;
        scripted_outcome = [](const task_key&) {
            return task_outcome{.length = 60s};
        };
        add_workers(10, eight_cores);
        for (auto& [id, it] : workers) {
            it.vm.zone = "a";
        }
        list_workers();
        run(100ms);
        for (std::uint64_t id = 1; id <= 8; ++id) {
            submit(make_job(id, {step}));
        }
        run(500ms);
        add_workers(10, eight_cores);
        run(100ms);
        leader().set_evacuated_zones({"a"});
    }

    [[nodiscard]] std::size_t left() const
    {
        std::size_t n = 0;
        for (const auto& [id, it] : workers) {
            n += it.vm.zone == "a" ? it.running.size() : 0;
        }
        return n;
    }
};

} // namespace

TEST_CASE("Tasks that can be moved leave an evacuated zone at a limited rate",
          "[evacuation]")
{
    const bool long_running = GENERATE(true, false);
    evacuated_cell cell{{.tasks = 10,
                         .demand = one_core,
                         .estimate_ms = 40000,
                         .checkpoints = !long_running,
                         .long_running = long_running,
                         .max_unavailable = 3}};
    REQUIRE(cell.left() == 80);
    // Four tasks a second; with two zones, all of the other's capacity is
    // available at first and a tenth of it in the end.
    for (std::size_t second = 1; second <= 10; ++second) {
        cell.run(1s);
        CHECK(cell.left() + 4 * second + 1 >= 80);
    }
    CHECK(cell.left() <= 80 - 36);
    CHECK(cell.leader().count(cell.now).evacuation_left.rate > 0);
    cell.run(15s);
    CHECK(cell.left() <= 8);
    CHECK(cell.leader().count(cell.now).evacuation_left.no_capacity ==
          cell.left());
    CHECK(cell.leader().take_relocation_counts().evacuations ==
          80 - cell.left());
    CHECK(cell.violations.empty());
}

TEST_CASE(
    "Only one task of a step is away during an evacuation if the step does"
    " not say",
    "[evacuation]")
{
    evacuated_cell cell{
        {.tasks = 10, .demand = one_core, .long_running = true}};
    for (int i = 0; i < 200; ++i) {
        cell.run(50ms);
        for (std::uint64_t id = 1; id <= 8; ++id) {
            CHECK(cell.running(id) >= 9);
        }
    }
    CHECK(cell.left() < 80);
}

TEST_CASE("Tasks without checkpoints stay in an evacuated zone", "[evacuation]")
{
    evacuated_cell cell{
        {.tasks = 10, .demand = one_core, .estimate_ms = 40000}};
    cell.run(2s);
    CHECK(cell.left() == 80);
    CHECK(cell.leader().count(cell.now).evacuation_left.staying == 80);
}

TEST_CASE("Advice is requested for no worker of an evacuated zone",
          "[evacuation]")
{
    two_zones cell;
    const std::vector<std::string> nodes{"n"};
    cell.leader().set_members(nodes);
    cell.leader().set_evacuated_zones({"a"});
    cell.submit(test::make_advised_job(1, {.tasks = 4, .demand = one_core}));
    cell.run(100ms);
    REQUIRE(cell.advice_assignments.size() == 1);
    CHECK(cell.advice_assignments[0].request.workers.size() == 2);
    for (const auto& it : cell.advice_assignments[0].request.workers) {
        CHECK(it >= "w2");
    }
}

// Its replacement is running long before it serves its users.
TEST_CASE("A moved long-running task is unavailable until its startup is done",
          "[evacuation]")
{
    two_zones cell;
    cell.startup = 9s;
    const step_spec lasting{.tasks = 8,
                            .demand = one_core,
                            .long_running = true,
                            .max_unavailable = 1};
    // The rate of moves would allow several tasks of each job.
    cell.submit(make_job(1, {lasting}));
    cell.submit(make_job(2, {lasting}));
    cell.run(12s);
    const auto before = cell.running_in_a();
    REQUIRE(before > 8);
    cell.leader().set_evacuated_zones({"a"});
    cell.run(8s);
    CHECK(cell.running_in_a() < before);
    CHECK(cell.running_in_a() + 2 >= before);
    CHECK(cell.violations.empty());
}

} // namespace rosemarytrail::fleet
