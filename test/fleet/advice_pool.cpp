#include <test/lib/advice_service.hpp>
#include <test/lib/worker_fleet.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
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
constexpr std::uint64_t first_slow_job = 1'000'000;

/** @return Names of `n` nodes in the order of the list of members. */
std::vector<std::string> node_names(std::size_t n)
{
    std::vector<std::string> result;
    for (std::size_t i = 0; i < n; ++i) {
        result.push_back((i < 10 ? "n0" : "n") + std::to_string(i));
    }
    return result;
}

/** @brief Cell whose slow advice requests take 1.2 s and are never granted,
 * while short jobs with advice requests of 65 ms arrive. */
struct overloaded_cell : worker_fleet
{
    explicit overloaded_cell(std::span<const std::string> nodes)
    {
        scripted_outcome = [](const task_key&) {
            return task_outcome{.length = 50ms};
        };
        take_over();
        add_workers(30, eight_cores);
        leader().set_members(nodes);
        run(100ms);
        advice.allows = [](const step_key& step, const std::string&) {
            return step.job < first_slow_job;
        };
    }

    void submit_slow(std::uint64_t n)
    {
        for (std::uint64_t i = 0; i < n; ++i) {
            auto job = make_advised_job(first_slow_job + i,
                                        {.tasks = 4, .demand = one_core});
            job.queue.name = "slow";
            job.queue.advice = advice_policy{
                .base_ms = 990, .per_worker_ms = 7, .valid_ms = 2500};
            submit(job);
        }
    }

    /** @brief Submits a short job each 20 ms and notes how long it waits. */
    void run_short_jobs(duration length)
    {
        const auto until = now + length;
        while (now < until) {
            auto job = make_advised_job(++last_short,
                                        {.tasks = 1, .demand = one_core});
            job.acceptor.clear();
            job.queue.priority = 0;
            job.queue.advice = advice_policy{
                .base_ms = 20, .per_worker_ms = 1.5, .valid_ms = 2500};
            submit(job);
            open.emplace(last_short, now);
            advice.run(20ms);
            std::erase_if(open, [this](const auto& it) {
                const bool started =
                    starts.contains({.step = {.job = it.first}});
                if (started) {
                    waits.push_back(now - it.second);
                }
                return started;
            });
        }
    }

    /** @return Nodes with an open slow request now. */
    [[nodiscard]] std::set<std::string> slow_nodes() const
    {
        std::set<std::string> result;
        for (std::size_t i = 0; i < advice_assignments.size(); ++i) {
            const auto& it = advice_assignments[i];
            if (it.request.step.job >= first_slow_job) {
                result.insert(it.member);
            }
        }
        return result;
    }

    [[nodiscard]] duration wait_quantile(double q)
    {
        REQUIRE_FALSE(waits.empty());
        std::ranges::sort(waits);
        return waits[static_cast<std::size_t>(
            q * static_cast<double>(waits.size() - 1))];
    }

    advice_service advice{*this};
    std::uint64_t last_short{};
    std::map<std::uint64_t, time_point> open;
    std::vector<duration> waits;
};

} // namespace

TEST_CASE("Slow advice requests leave nodes to fast ones after nodes were lost",
          "[advice]")
{
    const auto nodes = node_names(40);
    overloaded_cell cell{nodes};
    for (std::size_t i = 0; i < 12; ++i) {
        cell.advice.silent.insert(nodes[i]);
    }
    cell.submit_slow(120);
    // The silent nodes are distrusted once their first requests are overdue.
    cell.advice.run(4s);
    cell.advice_assignments.clear();
    cell.advice.forget_seen();
    cell.run_short_jobs(5s);
    CHECK(cell.wait_quantile(0.5) <= 100ms);
    CHECK(cell.wait_quantile(0.95) <= 200ms);
    CHECK(cell.open.size() <= 10);
    const auto slow = cell.slow_nodes();
    // Of 28 trusted nodes, 7 are kept for fast requests.
    CHECK(slow.size() <= 21);
    CHECK(std::ranges::none_of(slow, [&](const std::string& it) {
        return cell.advice.silent.contains(it);
    }));
}

TEST_CASE("At least a quarter of the trusted nodes gets no slow request",
          "[advice]")
{
    // Without fast requests, whose backlog would withhold further nodes.
    const auto [members, silent, most] =
        GENERATE(table<std::size_t, std::size_t, std::size_t>(
            {{12, 8, 3}, {40, 12, 21}, {6, 4, 1}, {40, 0, 24}}));
    const auto nodes = node_names(members);
    overloaded_cell cell{nodes};
    for (std::size_t i = 0; i < silent; ++i) {
        cell.advice.silent.insert(nodes[i]);
    }
    cell.submit_slow(120);
    cell.advice.run(6s);
    cell.advice_assignments.clear();
    cell.advice.forget_seen();
    cell.advice.run(3s);
    const auto slow = cell.slow_nodes();
    CHECK(slow.size() == most);
}

TEST_CASE("Fast advice requests are spread over idle nodes", "[advice]")
{
    const auto nodes = node_names(40);
    overloaded_cell cell{nodes};
    cell.run_short_jobs(4s);
    std::map<std::string, std::size_t> requests;
    for (const auto& it : cell.advice_assignments) {
        ++requests[it.member];
    }
    std::size_t most = 0;
    for (const auto& [node, n] : requests) {
        most = std::max(most, n);
    }
    // 200 requests, so five for each node.
    CHECK(requests.size() == nodes.size());
    CHECK(most <= 10);
}

} // namespace rosemarytrail::fleet
