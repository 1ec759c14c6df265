#include <bench/percentile.hpp>

#include <rosemarytrail/placement/scheduler.hpp>

#include <time.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>
#include <vector>

// Time of decide() in a full cell: some tasks end, then it is called once.
// Processor time of the thread is the measure; wall time stands beside it,
// for on a busy machine it holds the waits for a processor too.

namespace rosemarytrail::bench {

namespace {

using placement::decision;
using placement::decision_kind;
using placement::task_end;

constexpr resources vm_size{64000, 131072, 0};
constexpr std::uint64_t seed = 4;
constexpr duration tick = std::chrono::milliseconds{20};
constexpr std::size_t vms_in_rack = 8;
constexpr std::size_t zones = 4;

struct setting
{
    std::size_t vms{};
    std::size_t teams{};
    std::size_t queued{};
    std::size_t decisions{};
};

struct result
{
    double per_second{};
    double p50_us{};
    double p99_us{};
    double max_us{};
    double wall_p50_us{};
    double wall_p99_us{};
    std::size_t starts{};
};

/** @brief Time that one call took. */
struct call_time
{
    double processor_us{};
    double wall_us{};
};

[[nodiscard]] double read_us(clockid_t clock)
{
    timespec at{};
    ::clock_gettime(clock, &at);
    constexpr double us_in_second = 1e6;
    constexpr double ns_in_us = 1e3;
    return static_cast<double>(at.tv_sec) * us_in_second +
           static_cast<double>(at.tv_nsec) / ns_in_us;
}

class cell
{
public:
    explicit cell(const setting& value)
        : setting_{value}
        , scheduler_{placement::make_scheduler({.seed = seed})}
    {
        add_vms();
        add_teams();
    }

    /** @brief Fills all VMs and the queue. */
    void fill()
    {
        top_up();
        for (std::size_t last = 1; last > 0;) {
            now_ += tick;
            const auto made = scheduler_->decide(now_, 1000);
            last = made.size();
            take(made);
            top_up();
        }
    }

    /** @brief Ends some tasks, decides once and gives the time it took. */
    call_time step(std::size_t ends)
    {
        now_ += tick;
        for (std::size_t it = 0; it < ends && !running_.empty(); ++it) {
            end_one();
        }
        top_up();
        const double wall = read_us(CLOCK_MONOTONIC);
        const double processor = read_us(CLOCK_THREAD_CPUTIME_ID);
        const auto made = scheduler_->decide(now_, setting_.decisions);
        const call_time time{.processor_us =
                                 read_us(CLOCK_THREAD_CPUTIME_ID) - processor,
                             .wall_us = read_us(CLOCK_MONOTONIC) - wall};
        take(made);
        return time;
    }

    [[nodiscard]] std::size_t starts() const noexcept { return starts_; }

private:
    void add_vms()
    {
        for (std::size_t it = 0; it < setting_.vms; ++it) {
            const auto rack = it / vms_in_rack;
            scheduler_->upsert_vm(
                {.vm = vm_id{"vm" + std::to_string(it)},
                 .rack = rack_id{"rack" + std::to_string(rack)},
                 .zone = zone_id{"zone" + std::to_string(rack % zones)},
                 .capacity = vm_size});
        }
        const auto n = static_cast<std::int64_t>(setting_.vms);
        scheduler_->set_fleet({.capacity = vm_size * n, .largest_vm = vm_size});
    }

    void add_teams()
    {
        const auto n = static_cast<std::int64_t>(setting_.vms);
        for (std::size_t it = 0; it < setting_.teams; ++it) {
            scheduler_->upsert_team(
                {.team = team(it),
                 .weight = 1.0 + static_cast<double>(it % 4),
                 .allowance = vm_size * n});
        }
    }

    [[nodiscard]] static team_id team(std::size_t n)
    {
        return team_id{"team" + std::to_string(n)};
    }

    [[nodiscard]] std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>{low, high}(random_);
    }

    void add_job()
    {
        const auto kind = between(0, 99);
        job_spec spec{
            .name = "job" + std::to_string(between(0, 999)),
            .team = team(static_cast<std::size_t>(
                between(0, static_cast<std::int64_t>(setting_.teams) - 1))),
            .tasks = static_cast<std::uint32_t>(between(1, 19)),
            .request = {between(1, 16) * 500, between(1, 16) * 1024, 0},
            .run_time = std::chrono::seconds{between(1, 60)},
            .priority = static_cast<std::uint8_t>(between(3, 7))};
        spec.policy = kind < 5    ? job_class::gang
                      : kind < 10 ? job_class::service
                                  : job_class::batch;
        spec.urgent = kind == 99;
        spec.checkpointable = kind % 2 == 0;
        const job_id id{"j" + std::to_string(jobs_++)};
        queued_ += spec.tasks;
        scheduler_->add_job(id, spec, false, now_);
    }

    void top_up()
    {
        while (queued_ < setting_.queued) {
            add_job();
        }
    }

    void end_one()
    {
        const auto last = static_cast<std::int64_t>(running_.size()) - 1;
        const auto n = static_cast<std::size_t>(between(0, last));
        const auto task = running_[n];
        running_[n] = running_.back();
        running_.pop_back();
        scheduler_->task_ended(task, task_end::succeeded, now_);
    }

    void take(const std::vector<decision>& made)
    {
        for (const auto& it : made) {
            if (it.kind == decision_kind::start) {
                --queued_;
                ++starts_;
                running_.push_back(it.task);
                scheduler_->task_started(it.task, now_);
            } else if (it.kind != decision_kind::reject) {
                std::erase(running_, it.task);
                ++queued_;
                scheduler_->task_ended(it.task, task_end::evicted, now_);
            }
        }
    }

    setting setting_;
    std::unique_ptr<placement::scheduler> scheduler_;
    std::mt19937_64 random_{seed};
    time_point now_{std::chrono::hours{1}};
    std::vector<task_ref> running_;
    std::size_t queued_{};
    std::size_t jobs_{};
    std::size_t starts_{};
};

[[nodiscard]] result run(const setting& value)
{
    constexpr std::size_t calls = 2000;
    cell it{value};
    it.fill();
    const auto before = it.starts();
    std::vector<double> times;
    std::vector<double> walls;
    double sum = 0.0;
    for (std::size_t n = 0; n < calls; ++n) {
        const auto time = it.step(value.decisions);
        times.push_back(time.processor_us);
        walls.push_back(time.wall_us);
        sum += time.processor_us;
    }
    const auto starts = it.starts() - before;
    constexpr double us_in_second = 1e6;
    return {.per_second = static_cast<double>(starts) / sum * us_in_second,
            .p50_us = percentile(times, 0.5),
            .p99_us = percentile(times, 0.99),
            .max_us = percentile(times, 1.0),
            .wall_p50_us = percentile(walls, 0.5),
            .wall_p99_us = percentile(walls, 0.99),
            .starts = starts};
}

void print(const setting& s, const result& r, bool csv)
{
    const char* format =
        csv ? "%zu,%zu,%zu,%zu,%zu,%.0f,%.1f,%.1f,%.1f,%.1f,%.1f\n"
            : "%6zu %6zu %7zu %6zu %8zu %10.0f %9.1f %9.1f %9.1f %9.1f %9.1f\n";
    std::printf(format, s.vms, s.teams, s.queued, s.decisions, r.starts,
                r.per_second, r.p50_us, r.p99_us, r.max_us, r.wall_p50_us,
                r.wall_p99_us);
    std::fflush(stdout);
}

int main_of(bool csv)
{
    constexpr std::array<setting, 12> settings{
        setting{48, 12, 10000, 1},    setting{48, 12, 10000, 64},
        setting{196, 170, 10000, 1},  setting{196, 170, 10000, 64},
        setting{980, 170, 10000, 1},  setting{980, 170, 10000, 64},
        setting{980, 12, 10000, 1},   setting{980, 12, 10000, 64},
        setting{980, 170, 1000, 64},  setting{980, 170, 100000, 64},
        setting{980, 680, 10000, 64}, setting{3920, 170, 10000, 64}};
    std::puts(csv ? "vms,teams,queued,most,starts,decisions_per_s,p50_us,"
                    "p99_us,max_us,wall_p50_us,wall_p99_us"
                  : "   vms  teams  queued   most   starts decisions/s"
                    "   p50/us    p99/us    max/us  wall p50  wall p99");
    for (const auto& it : settings) {
        print(it, run(it), csv);
    }
    return EXIT_SUCCESS;
}

} // namespace

} // namespace rosemarytrail::bench

int main(int argc, char** argv)
{
    const bool csv = argc > 1 && std::string_view{argv[1]} == "--csv";
    return rosemarytrail::bench::main_of(csv);
}
