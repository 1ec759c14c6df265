#include <test/lib/overload_replay.hpp>
#include <test/lib/worker_fleet.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace rosemarytrail::test {

namespace {

using namespace std::chrono_literals;

/** @brief One kind of job. */
struct job_kind
{
    std::string queue;
    std::int32_t priority{};
    double mean_steps{};
    double mean_tasks{};
    std::int64_t cpu_millis{};
    double min_ms{};
    double max_ms{};
    double slack_factor{};
    std::int64_t target_ms{};
    /** @brief Mean work of a job, in core-seconds. */
    double core_s{};
};

const job_kind short_jobs{.queue = "short",
                          .priority = 0,
                          .mean_steps = 1.6,
                          .mean_tasks = 10,
                          .cpu_millis = 2200,
                          .min_ms = 700,
                          .max_ms = 1000,
                          .slack_factor = 1.5,
                          .target_ms = 275,
                          .core_s = 40};
const job_kind batch_jobs{.queue = "batch",
                          .priority = 2,
                          .mean_steps = 2,
                          .mean_tasks = 21,
                          .cpu_millis = 4500,
                          .min_ms = 3200,
                          .max_ms = 3800,
                          .slack_factor = 2.2,
                          .target_ms = 1200,
                          .core_s = 860};

/** @brief Capacity in cores of usual speed. */
constexpr double total_cores = 980;
constexpr std::size_t images = 4;

class replay
{
public:
    explicit replay(const replay_options& options)
        : options_{options}
        , random_{options.seed}
    {
        cell_.options.order = options.order;
        cell_.options.aging_share = options.aging_share;
        cell_.take_over();
        cell_.scripted_outcome = [this](const fleet::task_key& key) {
            return task_outcome{.length = lengths_.at(key)};
        };
        constexpr std::int64_t cores[] = {16, 32, 64, 16};
        constexpr double slowness[] = {1.0, 0.85, 1.2, 1.0, 0.9, 1.1, 1.0};
        for (std::size_t i = 0; i < 32; ++i) {
            cell_.add_workers(
                1, {.cpu_millis = cores[i % 4] * 1000, .memory_mb = 1000000});
            cell_.workers.at("w" + std::to_string(i)).slowness =
                i == 9 ? 2.0 : slowness[i % 7];
        }
        fleet::client_account limited{.name = "limited"};
        limited.limit.cpu_millis = 100000;
        cell_.config.accounts["limited"] = limited;
        cell_.leader().set_config(
            std::make_shared<const fleet::cell_config>(cell_.config));
    }

    replay_result play()
    {
        const double usual =
            options_.load == overload_case::ordinary ? 0.25 : 0.8;
        // Observed run times are those of a cell that has run for a while.
        run(10s, usual * 0.35, usual * 0.65, {});
        counted_ = true;
        switch (options_.load) {
        case overload_case::ordinary:
            run(6s, usual * 0.35, usual * 0.65, {});
            break;
        case overload_case::burst:
            run(4s, 2.0, usual * 0.65, {});
            break;
        case overload_case::outage:
            cell_.ledger_down = true;
            run(5s, usual * 0.35, usual * 0.65, {});
            cell_.ledger_down = false;
            break;
        case overload_case::limited_account:
            run(8s, usual * 0.35, usual * 0.5, 0.3);
            break;
        }
        run(6s, usual * 0.35, usual * 0.65, {});
        counted_ = false;
        run(40s, usual * 0.35, usual * 0.65, {});
        return result();
    }

private:
    /** @brief Job of which the caller awaits the end. */
    struct call
    {
        std::uint64_t id{};
        std::string queue;
        time_point submitted;
        duration objective{};
        double work{};
        std::optional<duration> took;
        bool counted{false};
    };

    [[nodiscard]] double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>{from, to}(random_);
    }

    void arrive(const job_kind& kind, double load, const std::string& account)
    {
        const auto seconds = std::chrono::duration<double>(step_).count();
        std::poisson_distribution<int> arrivals{load * total_cores * seconds /
                                                kind.core_s};
        for (int n = load > 0 ? arrivals(random_) : 0; n > 0; --n) {
            submit(kind, account);
        }
    }

    void run(duration length, double short_load, double batch_load,
             std::optional<double> limited_load)
    {
        const auto until = cell_.now + length;
        while (cell_.now < until) {
            arrive(short_jobs, short_load, "a");
            arrive(batch_jobs, batch_load, "b");
            arrive(short_jobs, limited_load.value_or(0), "limited");
            cell_.run(step_);
            for (auto& it : calls_) {
                if (!it.took &&
                    cell_.state(it.id) == fleet::job_state::completed) {
                    it.took = cell_.now - it.submitted;
                }
            }
        }
    }

    void submit(const job_kind& kind, const std::string& account)
    {
        std::lognormal_distribution<double> vary{-0.125, 0.5};
        const auto id = ++last_id_;
        const auto image =
            std::uniform_int_distribution<std::size_t>{0, images - 1}(random_);
        // True relative to declared run time, by image.
        const auto ratio =
            1.2 + 0.3 * static_cast<double>(image) / (images - 1);
        const auto count =
            std::max<long>(1, std::lround(kind.mean_steps * vary(random_)));
        std::vector<fleet::step_spec> steps;
        duration chain{};
        double work = 0;
        for (long n = 0; n < count; ++n) {
            const auto tasks = static_cast<std::uint32_t>(
                std::clamp(kind.mean_tasks * vary(random_), 1.0, 60.0));
            const auto declared = uniform(kind.min_ms, kind.max_ms);
            steps.push_back(
                {.tasks = tasks,
                 .demand = {.cpu_millis = kind.cpu_millis, .memory_mb = 100},
                 .estimate_ms = std::lround(declared),
                 .image = kind.queue + std::to_string(image)});
            duration longest{};
            for (std::uint32_t i = 0; i < tasks; ++i) {
                const bool straggles =
                    options_.stragglers && uniform(0, 1) < 1.0 / 30;
                const std::chrono::duration<double, std::milli> length{
                    declared * ratio * uniform(0.9, 1.1) *
                    (straggles ? 7.0 : 1.0)};
                const auto rounded =
                    std::chrono::duration_cast<duration>(length);
                lengths_[{
                    .step = {.job = id, .step = static_cast<std::uint32_t>(n)},
                    .index = i}] = rounded;
                longest = std::max(longest, rounded);
                work += length.count() * static_cast<double>(kind.cpu_millis);
            }
            chain += longest;
        }
        auto job = make_job(id, std::move(steps));
        job.account = account;
        job.queue.name = kind.queue;
        job.queue.priority = kind.priority;
        job.queue.slack_factor = kind.slack_factor;
        job.queue.target_latency_ms = kind.target_ms;
        cell_.submit(std::move(job));
        calls_.push_back(
            {.id = id,
             .queue = account == "limited" ? account : kind.queue,
             .submitted = cell_.now,
             .objective = std::chrono::duration_cast<duration>(
                              chain * kind.slack_factor) +
                          std::chrono::milliseconds{kind.target_ms},
             .work = work,
             .took = std::nullopt,
             .counted = counted_});
    }

    [[nodiscard]] replay_result result()
    {
        replay_result all;
        all.violations = cell_.violations.size();
        std::map<std::string, std::vector<double>> works;
        for (const auto& it : calls_) {
            works[it.queue].push_back(it.work);
        }
        std::map<std::string, double> large_from;
        std::map<std::string, double> means;
        for (auto& [queue, sizes] : works) {
            std::ranges::sort(sizes);
            large_from[queue] = sizes[sizes.size() * 9 / 10];
            for (const auto size : sizes) {
                means[queue] += size / static_cast<double>(sizes.size());
            }
        }
        for (const auto& it : calls_) {
            if (!it.counted) {
                continue;
            }
            auto& to = all.queues[it.queue];
            const auto value = fleet::value_of(it.work / means[it.queue]);
            const bool in_objective = it.took && *it.took <= it.objective;
            const bool useful = it.took && *it.took <= it.objective * 3;
            const bool large = it.work >= large_from[it.queue];
            ++to.jobs;
            to.in_objective += in_objective ? 1 : 0;
            to.useful += useful ? 1 : 0;
            to.large_jobs += large ? 1 : 0;
            to.large_in_objective += large && in_objective ? 1 : 0;
            to.large_useful += large && useful ? 1 : 0;
            to.possible += value;
            to.value += in_objective ? value : useful ? value / 5 : 0;
        }
        return all;
    }

    replay_options options_;
    std::mt19937 random_;
    worker_fleet cell_;
    duration step_{20ms};
    bool counted_{false};
    std::uint64_t last_id_{};
    std::map<fleet::task_key, duration> lengths_;
    std::vector<call> calls_;
};

} // namespace

double replay_result::value_share() const
{
    double value = 0;
    double possible = 0;
    for (const auto& [name, it] : queues) {
        value += it.value;
        possible += it.possible;
    }
    return possible > 0 ? value / possible : 0;
}

replay_result replay_overload(const replay_options& options)
{
    return replay{options}.play();
}

} // namespace rosemarytrail::test
