#include <test/lib/advice_service.hpp>
#include <test/lib/worker_fleet.hpp>

#include <rosemarytrail/fleet/advice_reserve.hpp>

#include <catch2/catch.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
constexpr resource_amounts four_cores{4000, 1000, 0};
constexpr resource_amounts two_cores{2000, 1000, 0};

/** @brief Cell of 60 workers with more work than capacity. A third of them is
 * granted to each step. Slow requests take 0.5 s and 12 ms a worker. */
struct full_cell : worker_fleet
{
    explicit full_cell(std::size_t node_count)
    {
        scripted_outcome = [](const task_key& it) {
            return task_outcome{.length =
                                    it.step.job % 4 == 0 ? 800ms : 3500ms};
        };
        for (const auto* name : {"l1", "l2", "l3"}) {
            config.accounts[name] = {.name = name, .limit = {40'000, 0, 0}};
        }
        take_over();
        add_workers(60, eight_cores);
        std::vector<std::string> nodes;
        for (std::size_t i = 0; i < node_count; ++i) {
            nodes.emplace_back(1, static_cast<char>('a' + i));
        }
        leader().set_members(nodes);
        run(100ms);
        advice.allows = [](const step_key& step, const std::string& id) {
            return std::hash<std::string>{}(std::to_string(step.job) + id) %
                       3 ==
                   0;
        };
    }

    /** @brief Kinds of jobs; the kind is the id modulo 4. */
    enum kind : std::uint64_t
    {
        short_job,
        batch,
        limited
    };

    void submit_job(kind what, const std::string& account)
    {
        const auto id = 4 * ++jobs + what;
        auto job = make_advised_job(
            id, what == short_job ? step_spec{.tasks = 4, .demand = two_cores}
                : what == batch   ? step_spec{.tasks = 21, .demand = four_cores}
                                : step_spec{.tasks = 6, .demand = four_cores});
        job.account = account;
        job.acceptor.clear();
        job.queue.name = std::to_string(what);
        job.queue.priority = what == short_job ? 0 : what == batch ? 2 : 1;
        job.queue.target_latency_ms = what == short_job ? 1500 : 9000;
        job.queue.advice = what == short_job
                               ? advice_policy{.base_ms = 20,
                                               .per_worker_ms = 1.5,
                                               .valid_ms = 2500}
                               : advice_policy{.base_ms = 500,
                                               .per_worker_ms = 12,
                                               .valid_ms = 2500};
        submit(job);
        submitted[id] = now;
    }

    /** @brief Submits jobs of all kinds for some time. */
    void run_load(duration length)
    {
        const auto begin = now;
        std::map<std::string, duration> next;
        const auto due = [&](const std::string& name, duration interval) {
            if (now - begin < next[name]) {
                return false;
            }
            next[name] += interval;
            return true;
        };
        while (now - begin < length) {
            if (due("short", 200ms)) {
                submit_job(short_job, "s");
            }
            if (due("batch", 800ms)) {
                submit_job(batch, "b");
            }
            for (const auto* name : {"l1", "l2", "l3"}) {
                if (due(name, 1s)) {
                    submit_job(limited, name);
                }
            }
            advice.run(20ms);
            measure(now - begin > 10s);
            std::erase_if(submitted, [this](const auto& it) {
                const auto& entry = this->entry(it.first);
                if (!entry.outcome) {
                    return false;
                }
                latencies[it.first % 4].push_back(now - it.second);
                return true;
            });
        }
    }

    /** @brief Adds the cores in use to the means, after the first 10 s. */
    void measure(bool counts)
    {
        if (!counts) {
            return;
        }
        ++samples;
        for (const auto& [id, worker] : workers) {
            for (const auto& [task, run] : worker.running) {
                core_sum[task.step.job % 4] +=
                    static_cast<double>(run.demand.cpu_millis) / 1000;
            }
        }
    }

    [[nodiscard]] double mean_limited_cores() const
    {
        return core_sum.at(limited) / samples;
    }

    [[nodiscard]] double mean_cores() const
    {
        double sum = 0;
        for (const auto& [what, it] : core_sum) {
            sum += it;
        }
        return sum / samples;
    }

    std::uint64_t jobs{};
    advice_service advice{*this};
    std::map<std::uint64_t, time_point> submitted;
    std::map<std::uint64_t, std::vector<duration>> latencies;
    /** @brief Sums over the samples, by kind of job. */
    std::map<std::uint64_t, double> core_sum;
    double samples{};
};

} // namespace

TEST_CASE("Steps at the limit of their account do not take the nodes for "
          "advice from steps that can start tasks",
          "[advice]")
{
    // Nodes, cores in use and finished batch jobs.
    const auto [nodes, cores, batch_jobs] =
        GENERATE(table<std::size_t, double, std::size_t>(
            {{3, 220, 12}, {6, 330, 20}, {12, 440, 28}}));
    full_cell cell{nodes};
    cell.run_load(40s);
    CAPTURE(nodes);
    CHECK(cell.mean_cores() >= cores);
    CHECK(cell.latencies[full_cell::batch].size() >= batch_jobs);
    // Three accounts with 40 cores each.
    CHECK(cell.mean_limited_cores() >= 84);
    CHECK(cell.latencies[full_cell::short_job].size() >= 190);
}

TEST_CASE("Fast advice is not renewed for steps at the limit of their account "
          "before others that can start tasks",
          "[advice]")
{
    full_cell cell{1};
    cell.config.accounts["l1"].limit = {1, 0, 0};
    cell.leader().set_config(std::make_shared<const cell_config>(cell.config));
    constexpr std::uint64_t limited_jobs = 8;
    for (std::uint64_t i = 1; i <= limited_jobs; ++i) {
        cell.submit_job(full_cell::short_job, "l1");
        cell.grant({.job = 4 * i}, {"w1"}, 2500ms);
    }
    // Their tickets are renewed 2,330 ms after the grant.
    cell.run(2320ms);
    cell.advice_assignments.clear();
    constexpr std::uint64_t other = 4 * (limited_jobs + 1);
    auto job = make_advised_job(other, {.tasks = 4, .demand = two_cores});
    job.acceptor.clear();
    job.queue.priority = 2;
    job.queue.advice->base_ms = 20;
    job.queue.advice->per_worker_ms = 1.5;
    cell.submit(job);
    cell.run(10ms);
    REQUIRE(cell.advice_assignments.size() >= 2);
    CHECK(cell.advice_assignments[0].request.step.job == other);
    CHECK(cell.advice_assignments[1].request.step.job < other);
}

TEST_CASE("No more steps hold tickets than can use the released capacity",
          "[advice]")
{
    const resource_amounts unlimited;
    advice_reserve reserve{{.cpu_millis = 100'000, .memory_mb = 100'000}};
    CHECK(reserve.add("a", {.cpu_millis = 40'000}, four_cores, 6));
    CHECK(reserve.add("a", {.cpu_millis = 40'000}, four_cores, 6));
    CHECK_FALSE(reserve.add("a", {.cpu_millis = 40'000}, four_cores, 6));
    CHECK(reserve.add("b", unlimited, four_cores, 12));
    CHECK(reserve.add("b", unlimited, four_cores, 12));
    CHECK_FALSE(reserve.add("c", unlimited, four_cores, 1));
}

} // namespace rosemarytrail::fleet
