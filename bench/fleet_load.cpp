// Processor time of the dispatcher's decisions in a full cell, in virtual time:
// short urgent jobs, wide batch jobs and services on workers of unlike size.

#include <test/lib/worker_fleet.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
namespace fleet = rosemarytrail::fleet;
using rosemarytrail::duration;

/** @brief One kind of job in the load. */
struct job_kind
{
    double per_second{};
    int priority{};
    double mean_steps{};
    double mean_tasks{};
    double mean_cpu_millis{};
    double mean_length_ms{};
    /** @brief Fraction of the requested workers that may run a step. */
    double granted{};
    bool long_running{false};
};

/** @brief Maximum number of workers in one advice request. */
constexpr std::size_t workers_per_request = 100;

class load
{
public:
    load(std::size_t workers, std::uint32_t seed)
        : random_{seed}
        , scale_{static_cast<double>(workers) / 350.0}
    {
        cell_.tick = 5ms;
        cell_.scripted_outcome = [this](const fleet::task_key& key) {
            return lengths_.at(key.step.job);
        };
        constexpr std::int64_t cores[] = {64000, 32000, 64000, 128000};
        for (std::size_t i = 0; i < workers; ++i) {
            cell_.add_workers(
                1, {.cpu_millis = cores[i % 4], .memory_mb = cores[i % 4] * 2});
        }
        for (const auto& [id, it] : cell_.workers) {
            ids_.push_back(id);
        }
    }

    /**
     * @brief Plays a span of the load.
     * @param length Its length.
     * @param kinds What comes.
     */
    void play(duration length, const std::vector<job_kind>& kinds)
    {
        const auto until = cell_.now + length;
        while (cell_.now < until) {
            for (const auto& it : kinds) {
                const auto seconds =
                    std::chrono::duration<double>(cell_.tick).count();
                std::poisson_distribution<int> arrivals{it.per_second * scale_ *
                                                        seconds};
                for (int n = arrivals(random_); n > 0; --n) {
                    submit(it);
                }
            }
            cell_.run(cell_.tick);
        }
    }

    [[nodiscard]] const rosemarytrail::test::worker_fleet& cell() const
    {
        return cell_;
    }

    [[nodiscard]] std::size_t waiting()
    {
        return cell_.leader().count(cell_.now).waiting;
    }
    [[nodiscard]] std::size_t placed()
    {
        return cell_.leader().count(cell_.now).placed;
    }

private:
    void submit(const job_kind& kind)
    {
        std::lognormal_distribution<double> vary{-0.125, 0.5};
        const auto id = ++last_id_;
        std::vector<fleet::step_spec> steps;
        const auto n = std::max<std::int64_t>(
            1, std::lround(kind.mean_steps * vary(random_)));
        steps.reserve(static_cast<std::size_t>(n));
        const auto cpu =
            static_cast<std::int64_t>(kind.mean_cpu_millis * vary(random_));
        for (std::int64_t i = 0; i < n; ++i) {
            steps.push_back(
                {.tasks = static_cast<std::uint32_t>(
                     std::clamp(kind.mean_tasks * vary(random_), 1.0, 100.0)),
                 .demand = {.cpu_millis = std::min<std::int64_t>(cpu, 30000),
                            .memory_mb =
                                std::min<std::int64_t>(cpu * 2, 60000)},
                 .estimate_ms = static_cast<std::int64_t>(kind.mean_length_ms),
                 .long_running = kind.long_running});
        }
        lengths_[id] = {.length = std::chrono::milliseconds{static_cast<int>(
                            kind.mean_length_ms * vary(random_))}};
        auto job = rosemarytrail::test::make_job(id, std::move(steps));
        job.queue.priority = kind.priority;
        job.queue.advice = fleet::advice_policy{
            .base_ms = 17, .per_worker_ms = 0.24, .valid_ms = 60000};
        const auto count = static_cast<std::uint32_t>(job.spec.steps.size());
        cell_.submit(std::move(job));
        for (std::uint32_t i = 0; i < count; ++i) {
            std::vector<std::string> granted;
            std::shuffle(ids_.begin(), ids_.end(), random_);
            const auto requested = std::min(workers_per_request, ids_.size());
            granted.assign(ids_.begin(),
                           ids_.begin() + static_cast<std::ptrdiff_t>(
                                              kind.granted *
                                              static_cast<double>(requested)));
            cell_.grant({.job = id, .step = i}, granted, 60s);
        }
    }

    rosemarytrail::test::worker_fleet cell_;
    std::mt19937 random_;
    double scale_;
    std::uint64_t last_id_{};
    std::vector<std::string> ids_;
    std::unordered_map<std::uint64_t, rosemarytrail::test::task_outcome>
        lengths_;
};

[[nodiscard]] double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace

int main(int argc, char** argv)
{
    const auto argument = [&](int n, unsigned long other) {
        return argc > n ? std::strtoul(argv[n], nullptr, 10) : other;
    };
    const auto workers = argument(1, 350);
    const auto seconds = argument(2, 10);
    load it{workers, static_cast<std::uint32_t>(argument(3, 1))};
    const std::vector<job_kind> kinds{{.per_second = 47,
                                       .mean_steps = 1.6,
                                       .mean_tasks = 9.5,
                                       .mean_cpu_millis = 8900,
                                       .mean_length_ms = 640,
                                       .granted = 0.7},
                                      {.per_second = 8.2,
                                       .priority = 2,
                                       .mean_steps = 2,
                                       .mean_tasks = 21,
                                       .mean_cpu_millis = 18000,
                                       .mean_length_ms = 3800,
                                       .granted = 0.35},
                                      {.per_second = 0.3,
                                       .priority = 1,
                                       .mean_steps = 1,
                                       .mean_tasks = 20,
                                       .mean_cpu_millis = 18000,
                                       .mean_length_ms = 500,
                                       .granted = 0.35,
                                       .long_running = true}};
    it.play(2s, kinds);
    for (unsigned long n = 0; n < seconds; ++n) {
        const auto before = processor_seconds();
        const auto starts = it.cell().starts.size();
        it.play(1s, kinds);
        std::cout << "second " << n << ": processor s "
                  << processor_seconds() - before << ", starts "
                  << it.cell().starts.size() - starts << ", waiting "
                  << it.waiting() << ", placed " << it.placed() << "\n";
    }
    return it.cell().violations.empty() ? 0 : 1;
}
