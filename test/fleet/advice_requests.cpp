#include <test/lib/advice_service.hpp>
#include <test/lib/worker_fleet.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace rosemarytrail::fleet {

namespace {

using namespace std::chrono_literals;
using test::advice_service;
using test::make_advised_job;
using test::task_outcome;
using test::worker_fleet;

constexpr resource_amounts eight_cores{8000, 16000, 0};
constexpr resource_amounts one_core{1000, 1000, 0};

/** @return Ids of `n` workers, starting at `first`. */
std::vector<std::string> worker_ids(std::size_t first, std::size_t n)
{
    std::vector<std::string> result;
    for (std::size_t i = first; i < first + n; ++i) {
        result.push_back("w" + std::to_string(i));
    }
    return result;
}

/** @return Nodes that were assigned a request for the job. */
std::vector<std::string> assigned_nodes(const worker_fleet& cell,
                                        std::uint64_t job)
{
    std::vector<std::string> result;
    for (const auto& it : cell.advice_assignments) {
        if (it.request.step.job == job) {
            result.push_back(it.member);
        }
    }
    return result;
}

/** @return Names of `n` nodes in the order of the list of members. */
std::vector<std::string> node_names(std::size_t n)
{
    std::vector<std::string> result;
    for (std::size_t i = 0; i < n; ++i) {
        result.push_back((i < 10 ? "n0" : "n") + std::to_string(i));
    }
    return result;
}

/** @return Step that lasts, with at most one task on a worker. */
step_spec make_lasting_step(std::uint32_t tasks)
{
    return {.tasks = tasks,
            .demand = one_core,
            .long_running = true,
            .tasks_per_vm = 1};
}

/** @brief Cell of ten nodes and 60 workers with an account limited to one
 * task. */
struct limited_cell : worker_fleet
{
    limited_cell()
    {
        scripted_outcome = [](const task_key&) {
            return task_outcome{.length = 600s};
        };
        config.accounts["limited"] = {.name = "limited", .limit = {1000, 0, 0}};
        take_over();
        add_workers(60, eight_cores);
        leader().set_members(node_names(10));
        run(100ms);
    }

    /** @brief Submits job 1, with twelve tasks that last. */
    void submit_lasting(std::int32_t priority)
    {
        auto job = make_advised_job(1, make_lasting_step(12));
        job.queue.priority = priority;
        submit(job);
    }

    /** @brief Submits jobs of which only one task can run. */
    void submit_limited(std::uint64_t first, std::uint64_t n,
                        std::int32_t priority)
    {
        for (std::uint64_t id = first; id < first + n; ++id) {
            auto job = make_advised_job(id, {.tasks = 4, .demand = one_core});
            job.account = "limited";
            job.queue.priority = priority;
            submit(job);
        }
    }

    /** @brief Restarts a worker of the job, so that one task is lost. */
    void lose_task(std::uint64_t job)
    {
        restart(worker_of(job));
        list_workers();
    }
};

} // namespace

// Guards against a schedule whose future times take all slow advice requests.
TEST_CASE("An occurrence takes no advice request before it is nearly due",
          "[advice]")
{
    worker_fleet cell;
    cell.add_workers(8, eight_cores);
    cell.leader().set_members(node_names(4));
    auto job = make_advised_job(1, {.tasks = 2, .demand = one_core});
    job.queue.priority = 0;
    job.spec.occurrences = 6;
    job.spec.first_due_ms = to_milliseconds(cell.now.time_since_epoch()) + 5000;
    job.spec.interval_ms = 60000;
    cell.submit(job);
    cell.run(3s);
    CHECK(assigned_nodes(cell, 1).empty());
    cell.run(1900ms);
    REQUIRE_FALSE(cell.advice_assignments.empty());
    CHECK(std::ranges::all_of(cell.advice_assignments, [](const auto& it) {
        return it.request.step.occurrence == 0;
    }));
}

// Guards against advice requests for work that no worker can run.
TEST_CASE("A step that suits no worker takes no advice request", "[advice]")
{
    worker_fleet cell;
    cell.add_workers(8, eight_cores);
    cell.leader().set_members(node_names(4));
    cell.submit(make_advised_job(
        1, {.tasks = 2, .demand = one_core, .required_label = "none"}));
    cell.submit(make_advised_job(2, {.tasks = 2, .demand = {9000, 1000, 0}}));
    cell.run(3s);
    CHECK(cell.advice_assignments.empty());
    cell.workers.at("w3").vm.labels = {"none"};
    cell.list_workers();
    cell.run(100ms);
    CHECK_FALSE(assigned_nodes(cell, 1).empty());
    CHECK(assigned_nodes(cell, 2).empty());
}

// Guards against an account at its limit whose waiting jobs take all advice
// requests from others.
TEST_CASE("Steps that wait for their account's limit are advised after others",
          "[advice]")
{
    limited_cell cell;
    cell.leader().set_members(node_names(2));
    cell.submit_limited(100, 1, 0);
    cell.grant({.job = 100}, worker_ids(0, 60), 600s);
    cell.run(200ms);
    REQUIRE(cell.running(100) == 1);
    cell.advice_assignments.clear();
    cell.submit_limited(101, 14, 0);
    for (std::uint64_t id = 2; id < 12; ++id) {
        auto job = make_advised_job(id, {.tasks = 1, .demand = one_core});
        job.account = "b";
        cell.submit(job);
    }
    cell.run(20ms);
    REQUIRE_FALSE(cell.advice_assignments.empty());
    CHECK(std::ranges::all_of(cell.advice_assignments, [](const auto& it) {
        return it.request.step.job < 12;
    }));
}

TEST_CASE("A lost task of a step at tasks_per_vm is advised behind steps that "
          "wait for their account's limit",
          "[advice]")
{
    const bool slow = GENERATE(true, false);
    const auto make = [slow](std::uint64_t id, const step_spec& step) {
        auto job = make_advised_job(id, step);
        job.queue.advice->base_ms = slow ? 400 : 13;
        return job;
    };
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 60s};
    };
    cell.config.accounts["limited"] = {.name = "limited",
                                       .limit = {1000, 0, 0}};
    cell.take_over();
    cell.add_workers(60, eight_cores);
    std::vector<std::string> members;
    for (char it = 'a'; it <= 'z'; ++it) {
        members.emplace_back(1, it);
    }
    cell.leader().set_members(members);
    cell.run(100ms);
    auto lasting = make(1, {.tasks = 12,
                            .demand = one_core,
                            .long_running = true,
                            .tasks_per_vm = 1});
    lasting.queue.priority = 2;
    cell.submit(lasting);
    cell.run(50ms);
    cell.grant({.job = 1}, worker_ids(0, 11), 2500ms);
    cell.run(200ms);
    cell.grant({.job = 1}, worker_ids(11, 1), 2500ms);
    cell.run(200ms);
    REQUIRE(cell.running(1) == 12);
    for (std::uint64_t id = 2; id <= 11; ++id) {
        auto job = make(id, {.tasks = 4, .demand = one_core});
        job.account = "limited";
        cell.submit(job);
    }
    cell.run(50ms);
    for (std::uint64_t id = 2; id <= 11; ++id) {
        cell.grant({.job = id}, worker_ids(20, 10), 2500ms);
    }
    cell.run(4s);
    cell.advice_assignments.clear();
    // The worker that lost the task has no ticket from the last response.
    cell.restart("w3");
    cell.list_workers();
    cell.run(3s);
    REQUIRE(cell.running(1) == 11);
    CHECK_FALSE(assigned_nodes(cell, 1).empty());
}

TEST_CASE("Workers at tasks_per_vm are not requested before others, however "
          "few are granted",
          "[advice]")
{
    worker_fleet cell;
    cell.options.granted_share = 0.1;
    cell.take_over();
    cell.add_workers(150, eight_cores);
    const std::vector<std::string> members{"n1", "n2"};
    cell.leader().set_members(members);
    cell.run(100ms);
    cell.submit(make_advised_job(1, {.tasks = 41,
                                     .demand = one_core,
                                     .long_running = true,
                                     .tasks_per_vm = 1}));
    cell.run(50ms);
    REQUIRE(cell.advice_assignments.size() == 1);
    const auto first = cell.advice_assignments.front().request.workers;
    REQUIRE(first.size() == 100);
    const std::vector<std::string> granted{first.begin(), first.begin() + 40};
    cell.grant({.job = 1}, granted, 2500ms);
    cell.run(300ms);
    REQUIRE(cell.running(1) == 40);
    REQUIRE(cell.advice_assignments.size() == 2);
    const auto& second = cell.advice_assignments.back().request.workers;
    CHECK(std::ranges::none_of(second, [&](const std::string& id) {
        return std::ranges::count(granted, id) > 0;
    }));
}

TEST_CASE("A node that does not answer advice requests is not chosen again at "
          "once",
          "[advice]")
{
    worker_fleet cell;
    cell.add_workers(8, eight_cores);
    const std::vector<std::string> members{"n1", "n2", "n3", "n4"};
    cell.leader().set_members(members);
    cell.run(100ms);
    cell.submit(make_advised_job(1, {.tasks = 2, .demand = one_core}));
    cell.run(5s);
    const auto nodes = assigned_nodes(cell, 1);
    REQUIRE(nodes.size() >= 2);
    CHECK(nodes[0] != nodes[1]);
}

TEST_CASE("Several nodes that do not answer advice requests are passed over",
          "[advice]")
{
    limited_cell cell;
    const auto nodes = node_names(10);
    advice_service advice{cell};
    SECTION("of a pool of six")
    {
        advice.silent = {nodes[0], nodes[1], nodes[2]};
    }
    SECTION("the whole pool of slow requests")
    {
        cell.leader().set_members(std::span{nodes}.first(2));
        advice.silent = {nodes[0]};
    }
    cell.submit(make_advised_job(1, make_lasting_step(4)));
    CHECK(advice.run_until_placed(1, 4, 30s) <= 6s);
}

TEST_CASE("A node that refuses an advice request is not chosen again at once",
          "[advice]")
{
    worker_fleet cell;
    cell.add_workers(8, eight_cores);
    const std::vector<std::string> members{"n1", "n2", "n3", "n4"};
    cell.leader().set_members(members);
    cell.run(100ms);
    cell.submit(make_advised_job(1, {.tasks = 2, .demand = one_core}));
    cell.run(50ms);
    REQUIRE(cell.advice_assignments.size() == 1);
    cell.leader().on_assignment_lost(cell.advice_assignments.front(), cell.now);
    cell.run(50ms);
    const auto nodes = assigned_nodes(cell, 1);
    REQUIRE(nodes.size() == 2);
    CHECK(nodes[0] != nodes[1]);
}

TEST_CASE("Steps that wait for their account's limit do not use up the nodes "
          "for advice",
          "[advice]")
{
    limited_cell cell;
    advice_service advice{cell};
    cell.submit_lasting(2);
    advice.run(5s);
    REQUIRE(cell.running(1) == 12);
    cell.submit_limited(2, 40, 1);
    advice.run(10s);
    cell.lose_task(1);
    CHECK(advice.run_until_placed(1, 12, 30s) <= 6s);
}

TEST_CASE("A worker that was missing in an answer is requested again",
          "[advice]")
{
    worker_fleet cell;
    cell.add_workers(20, eight_cores);
    cell.leader().set_members(node_names(4));
    cell.run(100ms);
    advice_service advice{cell};
    bool away = true;
    advice.allows = [&away](const step_key&, const std::string& id) {
        const auto n = std::stoi(id.substr(1));
        return n < 4 || (n == 4 && !away);
    };
    cell.submit(make_advised_job(1, make_lasting_step(4)));
    advice.run(3s);
    REQUIRE(cell.running(1) == 4);
    away = false;
    cell.workers.at("w0").vm.draining = true;
    cell.restart("w0");
    cell.list_workers();
    CHECK(advice.run_until_placed(1, 4, 30s) <= 6s);
}

TEST_CASE("Steps that are granted no worker do not use up the nodes for advice",
          "[advice]")
{
    limited_cell cell;
    advice_service advice{cell};
    advice.allows = [](const step_key& step, const std::string&) {
        return step.job == 1;
    };
    cell.submit_lasting(2);
    advice.run(5s);
    REQUIRE(cell.running(1) == 12);
    for (std::uint64_t id = 2; id < 42; ++id) {
        cell.submit(make_advised_job(id, {.tasks = 4, .demand = one_core}));
    }
    advice.run(10s);
    cell.lose_task(1);
    CHECK(advice.run_until_placed(1, 12, 30s) <= 6s);
}

TEST_CASE("Advice for one step leaves the request of another open", "[advice]")
{
    worker_fleet cell;
    cell.add_workers(5, eight_cores);
    cell.leader().set_members(node_names(4));
    cell.run(100ms);
    auto job = make_advised_job(1, make_lasting_step(6));
    job.spec.steps.push_back(make_lasting_step(2));
    cell.submit(job);
    cell.run(50ms);
    cell.grant({.job = 1, .step = 0}, worker_ids(0, 5), 2500ms);
    cell.run(200ms);
    REQUIRE(cell.running(1) == 5);
    cell.add_workers(3, eight_cores);
    cell.run(300ms);
    const auto workers_requested = [&cell] {
        std::vector<std::vector<std::string>> result;
        for (const auto& it : cell.advice_assignments) {
            if (it.request.step.step == 0) {
                result.push_back(it.request.workers);
            }
        }
        return result;
    };
    REQUIRE(workers_requested().size() == 2);
    // The second request is lost and has to be sent again.
    cell.grant({.job = 1, .step = 1}, worker_ids(0, 2), 2500ms);
    cell.run(3s);
    const auto requested = workers_requested();
    REQUIRE(requested.size() >= 3);
    CHECK(std::ranges::count(requested.back(), "w5") == 1);
}

TEST_CASE("A lost task is advised before steps that rank after it", "[advice]")
{
    const auto phase = GENERATE(range(0, 10)) * 340ms;
    limited_cell cell;
    advice_service advice{cell};
    // Of the first 60 workers, only those that run the step may. The jobs from
    // 10 on are granted no worker and request again and again.
    advice.allows = [](const step_key& step, const std::string& id) {
        const auto n = std::stoi(id.substr(1));
        return step.job < 10 && (step.job != 1 || n < 12 || n >= 60);
    };
    cell.submit_lasting(1);
    advice.run(5s);
    REQUIRE(cell.running(1) == 12);
    cell.add_workers(60, eight_cores);
    cell.submit_limited(2, 8, 0);
    for (std::uint64_t id = 10; id < 50; ++id) {
        auto job = make_advised_job(id, {.tasks = 4, .demand = one_core});
        job.queue.priority = 2;
        cell.submit(job);
    }
    advice.run(10s + phase);
    const auto lost_on = cell.worker_of(1);
    cell.workers.at(lost_on).vm.draining = true;
    cell.lose_task(1);
    CHECK(advice.run_until_placed(1, 12, 30s) <= 6s);
}

// Guards against tasks that are placed again and again and never started.
TEST_CASE("A step is not placed with tickets that expire before the record",
          "[advice][!shouldfail]")
{
    worker_fleet cell;
    cell.scripted_outcome = [](const task_key&) {
        return task_outcome{.length = 600s};
    };
    cell.ledger_delay = 400ms;
    cell.take_over();
    cell.add_workers(4, eight_cores);
    cell.leader().set_members(node_names(2));
    cell.run(2s);
    cell.submit(make_advised_job(1, {.tasks = 1, .demand = one_core}));
    cell.grant({.job = 1}, worker_ids(0, 4), 300ms);
    cell.run(2s);
    CHECK(cell.leader().take_withheld_starts().ticket == 0);
    CHECK(cell.running(1) == 0);
    cell.grant({.job = 1}, worker_ids(0, 4), 2500ms);
    cell.run(2s);
    CHECK(cell.running(1) == 1);
    CHECK(cell.leader().take_withheld_starts().ticket == 0);
    CHECK(cell.violations.empty());
}

} // namespace rosemarytrail::fleet
