#ifndef ROSEMARYTRAIL_BENCH_PLACEMENT_DRIVER_HPP
#define ROSEMARYTRAIL_BENCH_PLACEMENT_DRIVER_HPP

#include <rosemarytrail/placement/scheduler.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rosemarytrail::bench {

using namespace std::chrono_literals;
using placement::decision;
using placement::decision_kind;
using placement::task_end;

inline constexpr resources vm_size{64000, 131072, 0};
inline constexpr duration tick = 20ms;
inline constexpr duration start_delay = 50ms;
inline constexpr duration stop_delay = 200ms;
inline constexpr duration failure_delay = 300ms;
inline constexpr time_point start_of_time{1h};
inline constexpr std::size_t teams = 12;
inline constexpr std::size_t vms_in_rack = 8;
inline constexpr std::size_t zones = 4;
inline constexpr std::size_t decisions_in_tick = 64;
inline constexpr std::size_t names = 600;
/** @brief A team with fewer queued tasks may want less than its share. */
inline constexpr std::size_t least_backlog = 100;

/** @brief Load, faults and size of one run. */
struct scenario
{
    const char* name{};
    std::size_t vms{};
    /** @brief Cores asked for, as a multiple of the capacity. */
    double load{};
    /** @brief Work that is queued at the start, as seconds of the cell. */
    double backlog_s{};
    duration length{};
    /** @brief When half of the queue is cancelled; zero for never. */
    duration wave{};
    double failing{};
    /** @brief Declared values are off by up to this factor. */
    double off{};
};

enum class wait_class : std::uint8_t
{
    service,
    batch,
    gang,
    urgent
};

inline constexpr std::array<const char*, 4> class_names{"service", "batch",
                                                        "gang", "urgent"};

/** @brief What one run showed. */
struct report
{
    struct waits
    {
        std::vector<double> seconds;
        std::size_t not_started{};
    };
    std::array<waits, 4> by_class;
    /** @brief Largest distance of a team from its weighted share. */
    std::vector<double> distances;
    /** @brief Share over entitled share by team, while it has a backlog. */
    std::array<std::vector<double>, teams> ratios;
    /** @brief Teams with a backlog, which those distances are over. */
    std::vector<double> wanting;
    std::vector<double> vms_over_bound;
    std::vector<double> in_use;
    std::size_t succeeded{};
    std::size_t failed{};
    std::size_t evicted{};
    std::size_t rejected{};
};

struct event
{
    time_point at{};
    task_ref task{};
    std::uint32_t attempt{};
    task_end end{};

    [[nodiscard]] bool operator>(const event& other) const
    {
        return at > other.at;
    }
};

/** @brief Runs one scenario against one scheduler in virtual time. */
class driver
{
public:
    driver(const scenario& value, placement::scheduler& scheduler,
           std::uint64_t seed)
        : scenario_{value}
        , scheduler_{scheduler}
        , random_{seed}
    {
        add_vms();
        add_teams();
        for (std::size_t it = 0; it < names; ++it) {
            run_times_.push_back(log_between(2.0, 40.0));
            declared_off_.push_back(error());
        }
    }

    report run()
    {
        add_services();
        const double cores_per_s =
            static_cast<double>(scenario_.vms) * scenario_.load;
        double owed = cores_per_s * scenario_.backlog_s;
        const auto end = start_of_time + scenario_.length;
        bool is_wave_due = scenario_.wave > 0s;
        time_point next_sample = start_of_time + 1s;
        for (now_ = start_of_time; now_ < end; now_ += tick) {
            owed += cores_per_s * seconds(tick);
            owed -= submit(owed);
            if (is_wave_due && now_ >= start_of_time + scenario_.wave) {
                cancel_half();
                is_wave_due = false;
            }
            end_due();
            decide();
            if (now_ >= next_sample) {
                sample();
                next_sample += 1s;
            }
        }
        for (const auto& [id, job] : jobs_) {
            const auto n = job.spec.tasks - job.first_started.size();
            const bool counts = !job.is_over;
            waits_of(job).not_started += counts ? n : 0;
        }
        return std::move(report_);
    }

private:
    struct job_record
    {
        job_spec spec{};
        /** @brief True run time of each task. */
        duration run_time{};
        time_point added{};
        bool is_over{};
        std::set<std::uint32_t> first_started;
        std::map<std::uint32_t, duration> done;
    };
    struct run_record
    {
        std::uint32_t attempt{};
        vm_id vm{};
        time_point since{};
    };

    [[nodiscard]] static double seconds(duration value)
    {
        return std::chrono::duration<double>(value).count();
    }
    [[nodiscard]] static duration from_seconds(double value)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(value));
    }
    [[nodiscard]] double between(double low, double high)
    {
        return std::uniform_real_distribution<double>{low, high}(random_);
    }
    [[nodiscard]] double log_between(double low, double high)
    {
        return std::exp(between(std::log(low), std::log(high)));
    }
    [[nodiscard]] double error()
    {
        return log_between(1.0 / scenario_.off, scenario_.off);
    }
    [[nodiscard]] static team_id team(std::size_t n)
    {
        return team_id{"team" + std::to_string(n)};
    }
    [[nodiscard]] static double weight(std::size_t n)
    {
        return 1.0 + static_cast<double>(n % 4);
    }
    [[nodiscard]] resources capacity() const
    {
        return vm_size * static_cast<std::int64_t>(scenario_.vms);
    }

    void add_vms()
    {
        for (std::size_t it = 0; it < scenario_.vms; ++it) {
            const auto rack = it / vms_in_rack;
            const vm_id vm{"vm" + std::to_string(it)};
            scheduler_.upsert_vm(
                {.vm = vm,
                 .rack = rack_id{"rack" + std::to_string(rack)},
                 .zone = zone_id{"zone" + std::to_string(rack % zones)},
                 .capacity = vm_size});
            vms_.push_back(vm);
            if (between(0.0, 1.0) < scenario_.failing) {
                failing_.insert(vm);
            }
        }
        scheduler_.set_fleet({.capacity = capacity(), .largest_vm = vm_size});
    }

    void add_teams()
    {
        for (std::size_t it = 0; it < teams; ++it) {
            scheduler_.upsert_team({.team = team(it),
                                    .weight = weight(it),
                                    .allowance = capacity()});
            weighted_teams_.insert(weighted_teams_.end(),
                                   static_cast<std::size_t>(weight(it)), it);
        }
    }

    /** @brief Adds long-running services on a tenth of the cell. */
    void add_services()
    {
        const auto n = std::max<std::size_t>(scenario_.vms / 20, 1);
        for (std::size_t it = 0; it < n; ++it) {
            add_job({.team = team(it % teams),
                     .policy = job_class::service,
                     .tasks = 8,
                     .request = {1000, 2048, 0},
                     .run_time = 0s},
                    scenario_.length * 2);
        }
    }

    /** @return Cores times seconds that were submitted. */
    double submit(double owed)
    {
        double sum = 0.0;
        while (sum < owed) {
            sum += add_random_job();
        }
        return sum;
    }

    double add_random_job()
    {
        const auto name = static_cast<std::size_t>(between(0.0, names));
        // Runs of one name are alike; what is declared for them is off.
        const double run_time = run_times_[name] * log_between(0.8, 1.25);
        const double cores = log_between(0.5, 8.0);
        const double memory = cores * log_between(512.0, 4096.0);
        const double kind = between(0.0, 1.0);
        const std::size_t owner = name % weighted_teams_.size();
        job_spec spec{.name = "name" + std::to_string(name),
                      .team = team(weighted_teams_[owner]),
                      .policy =
                          kind < 0.02 ? job_class::gang : job_class::batch};
        spec.urgent = kind > 0.95;
        spec.tasks = static_cast<std::uint32_t>(spec.urgent ? 1
                                                : spec.policy == job_class::gang
                                                    ? between(4.0, 17.0)
                                                    : between(1.0, 20.0));
        spec.checkpointable = between(0.0, 1.0) < 0.5;
        // What is declared is off; what is declared is what is committed.
        spec.request = {clamp(cores * error() * 1000.0, 100, 16000),
                        clamp(memory * error(), 128, 32768), 0};
        spec.run_time = from_seconds(run_times_[name] * declared_off_[name]);
        add_job(spec, from_seconds(run_time));
        const double share = dominant_share(spec.request, vm_size);
        return share * run_time * spec.tasks;
    }

    [[nodiscard]] static std::int64_t clamp(double value, std::int64_t low,
                                            std::int64_t high)
    {
        return std::clamp(static_cast<std::int64_t>(value), low, high);
    }

    void add_job(const job_spec& spec, duration run_time)
    {
        const job_id id{"j" + std::to_string(serial_)};
        ++serial_;
        queued_by_team_[spec.team] += spec.tasks;
        jobs_[id] = {.spec = spec, .run_time = run_time, .added = now_};
        scheduler_.add_job(id, spec, false, now_);
    }

    void cancel_half()
    {
        bool is_odd = false;
        for (auto& [id, job] : jobs_) {
            const bool is_queued =
                !job.is_over && job.first_started.size() < job.spec.tasks;
            is_odd = is_queued ? !is_odd : is_odd;
            if (is_queued && is_odd) {
                job.is_over = true;
                queued_by_team_[job.spec.team] -=
                    job.spec.tasks - job.first_started.size();
                take(scheduler_.cancel_job(id, now_));
            }
        }
    }

    void decide() { take(scheduler_.decide(now_, decisions_in_tick)); }

    void take(const std::vector<decision>& made)
    {
        for (const auto& it : made) {
            switch (it.kind) {
            case decision_kind::start:
                start(it);
                break;
            case decision_kind::reject:
                jobs_[it.task.job].is_over = true;
                ++report_.rejected;
                break;
            case decision_kind::stop:
            case decision_kind::checkpoint:
                stop(it);
                break;
            }
        }
    }

    void start(const decision& it)
    {
        auto& job = jobs_[it.task.job];
        const auto begin = now_ + start_delay;
        if (job.first_started.insert(it.task.index).second) {
            waits_of(job).seconds.push_back(seconds(begin - job.added));
            --queued_by_team_[job.spec.team];
        }
        running_[it.task] = {
            .attempt = it.attempt, .vm = it.vm, .since = begin};
        scheduler_.task_started(it.task, now_);
        const bool fails = failing_.count(it.vm) == 1;
        const auto left = job.run_time - job.done[it.task.index];
        events_.push({.at = begin + (fails ? failure_delay : left),
                      .task = it.task,
                      .attempt = it.attempt,
                      .end = fails ? task_end::failed : task_end::succeeded});
    }

    void stop(const decision& it)
    {
        const auto found = running_.find(it.task);
        if (found == running_.end()) {
            return;
        }
        if (it.kind == decision_kind::checkpoint) {
            jobs_[it.task.job].done[it.task.index] +=
                std::max(now_ - found->second.since, duration::zero());
        }
        events_.push({.at = now_ + stop_delay,
                      .task = it.task,
                      .attempt = found->second.attempt,
                      .end = task_end::evicted});
    }

    void end_due()
    {
        while (!events_.empty() && events_.top().at <= now_) {
            const auto it = events_.top();
            events_.pop();
            const auto found = running_.find(it.task);
            const bool is_past =
                found == running_.end() || found->second.attempt != it.attempt;
            if (is_past) {
                continue;
            }
            running_.erase(found);
            report_.succeeded += it.end == task_end::succeeded;
            report_.failed += it.end == task_end::failed;
            report_.evicted += it.end == task_end::evicted;
            scheduler_.task_ended(it.task, it.end, now_);
        }
    }

    report::waits& waits_of(const job_record& job)
    {
        const auto kind =
            job.spec.urgent                         ? wait_class::urgent
            : job.spec.policy == job_class::service ? wait_class::service
            : job.spec.policy == job_class::gang    ? wait_class::gang
                                                    : wait_class::batch;
        return report_.by_class[static_cast<std::size_t>(kind)];
    }

    void sample()
    {
        double sum = 0.0;
        double weights = 0.0;
        std::vector<std::size_t> wanting;
        for (std::size_t it = 0; it < teams; ++it) {
            if (queued_by_team_[team(it)] >= least_backlog) {
                wanting.push_back(it);
                sum += share(it);
                weights += weight(it);
            }
        }
        double worst = 0.0;
        for (const auto it : wanting) {
            const double entitled = sum * weight(it) / weights;
            const double ratio = share(it) / entitled;
            worst = std::max(worst, std::abs(ratio - 1.0));
            report_.ratios[it].push_back(ratio);
        }
        report_.distances.push_back(worst);
        report_.wanting.push_back(static_cast<double>(wanting.size()));
        resources used;
        std::size_t in_use = 0;
        for (const auto& it : vms_) {
            const auto on_vm = scheduler_.committed_on(it);
            used += on_vm;
            in_use += on_vm.is_zero() ? 0 : 1;
        }
        const double bound = std::ceil(dominant_share(used, vm_size));
        report_.vms_over_bound.push_back(static_cast<double>(in_use) /
                                         std::max(bound, 1.0));
        report_.in_use.push_back(dominant_share(used, capacity()));
    }

    [[nodiscard]] double share(std::size_t n) const
    {
        return dominant_share(scheduler_.used_by(team(n)), capacity());
    }

    scenario scenario_;
    placement::scheduler& scheduler_;
    std::mt19937_64 random_;
    time_point now_{start_of_time};
    std::uint64_t serial_{};
    /** @brief Tasks that never started yet. */
    std::map<team_id, std::size_t> queued_by_team_;
    /** @brief Each team as often as its weight says. */
    std::vector<std::size_t> weighted_teams_;
    std::vector<double> run_times_;
    std::vector<double> declared_off_;
    std::vector<vm_id> vms_;
    std::set<vm_id> failing_;
    std::map<job_id, job_record> jobs_;
    std::unordered_map<task_ref, run_record> running_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    report report_;
};

} // namespace rosemarytrail::bench

#endif
