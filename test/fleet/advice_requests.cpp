#include <test/lib/worker_fleet.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <string>
#include <vector>

namespace rosemarytrail::fleet {

namespace {

using namespace std::chrono_literals;
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

} // namespace

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

} // namespace rosemarytrail::fleet
