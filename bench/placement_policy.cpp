#include <bench/percentile.hpp>
#include <bench/placement_baselines.hpp>
#include <bench/placement_driver.hpp>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

// Waiting time, shares and packing in virtual time, beside two baselines.

namespace rosemarytrail::bench {

namespace {

/** @return Values from the 60th second on, one each second. */
[[nodiscard]] std::vector<double> settled(const std::vector<double>& all)
{
    constexpr std::ptrdiff_t warm_up = 59;
    return {all.begin() + std::min<std::ptrdiff_t>(
                              warm_up, static_cast<std::ptrdiff_t>(all.size())),
            all.end()};
}

[[nodiscard]] double mean(const std::vector<double>& values)
{
    double sum = 0.0;
    for (const double it : values) {
        sum += it;
    }
    return values.empty() ? 0.0 : sum / static_cast<double>(values.size());
}

void print(const scenario& s, const char* name, const report& r, bool csv)
{
    const auto row = [&](const char* what, double value) {
        std::printf(csv ? "%s,%s,%s,%.3f\n" : "%-9s %-12s %-26s %10.3f\n",
                    s.name, name, what, value);
    };
    for (std::size_t it = 0; it < r.by_class.size(); ++it) {
        const auto& waits = r.by_class[it];
        const std::string label = class_names[it];
        row((label + " wait p50 s").c_str(), percentile(waits.seconds, 0.5));
        row((label + " wait p99 s").c_str(), percentile(waits.seconds, 0.99));
        row((label + " started").c_str(),
            static_cast<double>(waits.seconds.size()));
        row((label + " not started").c_str(),
            static_cast<double>(waits.not_started));
    }
    const auto distances = settled(r.distances);
    row("teams with backlog mean", mean(settled(r.wanting)));
    double worst = 0.0;
    double sum = 0.0;
    for (const auto& it : r.ratios) {
        const auto late = settled(it);
        const double off = late.empty() ? 0.0 : std::abs(mean(late) - 1.0);
        worst = std::max(worst, off);
        sum += off;
    }
    row("share distance, mean team", sum / teams);
    row("share distance, worst team", worst);
    row("same, moment p50", percentile(distances, 0.5));
    row("same, moment p99", percentile(distances, 0.99));
    row("VMs over lower bound mean", mean(settled(r.vms_over_bound)));
    row("cell committed mean", mean(settled(r.in_use)));
    row("succeeded", static_cast<double>(r.succeeded));
    row("failed", static_cast<double>(r.failed));
    row("evicted", static_cast<double>(r.evicted));
    row("rejected jobs", static_cast<double>(r.rejected));
}

struct arguments
{
    bool csv{};
    std::uint64_t seed{4};
    /** @brief In place of the VMs of a scenario, unless zero. */
    std::size_t vms{};
    /** @brief Only this scenario and scheduler, if they are not empty. */
    std::string scenario;
    std::string scheduler;
};

void run_one(const scenario& s, const char* name, placement::scheduler& with,
             const arguments& args)
{
    const bool is_wanted = (args.scenario.empty() || args.scenario == s.name) &&
                           (args.scheduler.empty() || args.scheduler == name);
    if (is_wanted) {
        print(s, name, driver{s, with, args.seed}.run(), args.csv);
    }
}

int main_of(const arguments& args)
{
    constexpr std::array<scenario, 2> scenarios{scenario{.name = "full",
                                                         .vms = 96,
                                                         .load = 1.2,
                                                         .backlog_s = 240.0,
                                                         .length = 180s,
                                                         .wave = 120s,
                                                         .failing = 0.05,
                                                         .off = 4.0},
                                                scenario{.name = "low",
                                                         .vms = 196,
                                                         .load = 0.3,
                                                         .length = 180s,
                                                         .failing = 0.05,
                                                         .off = 4.0}};
    std::puts(args.csv ? "scenario,scheduler,what,value"
                       : "scenario  scheduler    what                 "
                         "           value");
    for (auto it : scenarios) {
        it.vms = args.vms > 0 ? args.vms : it.vms;
        const auto ours = placement::make_scheduler({.seed = args.seed});
        run_one(it, "rosemarytrail", *ours, args);
        first_come_scheduler first_come;
        run_one(it, "first-come", first_come, args);
        round_robin_scheduler round_robin;
        run_one(it, "round-robin", round_robin, args);
    }
    return EXIT_SUCCESS;
}

} // namespace

} // namespace rosemarytrail::bench

int main(int argc, char** argv)
{
    rosemarytrail::bench::arguments args;
    for (int it = 1; it < argc; ++it) {
        const std::string_view name{argv[it]};
        const char* value = it + 1 < argc ? argv[it + 1] : "";
        if (name == "--csv") {
            args.csv = true;
        } else if (name == "--seed") {
            args.seed = std::strtoull(value, nullptr, 10);
        } else if (name == "--vms") {
            args.vms = std::strtoull(value, nullptr, 10);
        } else if (name == "--scenario") {
            args.scenario = value;
        } else if (name == "--scheduler") {
            args.scheduler = value;
        }
    }
    return rosemarytrail::bench::main_of(args);
}
