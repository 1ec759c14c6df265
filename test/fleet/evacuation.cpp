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

} // namespace rosemarytrail::fleet
