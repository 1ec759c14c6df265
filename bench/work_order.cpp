// What callers get under overload by each order of waiting work, in virtual
// time. Prints one Markdown row for each load and order, over several seeds.

#include <test/lib/overload_replay.hpp>

#include <array>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <string>
#include <utility>

namespace {

using rosemarytrail::fleet::overload_order;
using rosemarytrail::test::overload_case;
using rosemarytrail::test::queue_result;

void add(queue_result& to, const queue_result& it)
{
    to.jobs += it.jobs;
    to.in_objective += it.in_objective;
    to.useful += it.useful;
    to.large_jobs += it.large_jobs;
    to.large_in_objective += it.large_in_objective;
    to.large_useful += it.large_useful;
    to.value += it.value;
    to.possible += it.possible;
}

[[nodiscard]] double share(std::size_t part, std::size_t all)
{
    return all > 0 ? static_cast<double>(part) / static_cast<double>(all) : 0;
}

} // namespace

int main(int argc, char** argv)
{
    const auto seeds = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 5;
    const auto aging = argc > 2 ? std::strtod(argv[2], nullptr) : 0.1;
    const std::string only = argc > 3 ? argv[3] : "";
    constexpr std::array cases{
        std::pair{overload_case::ordinary, "room"},
        std::pair{overload_case::burst, "burst"},
        std::pair{overload_case::outage, "outage"},
        std::pair{overload_case::limited_account, "limit"}};
    constexpr std::array orders{
        std::pair{overload_order::objective, "objective"},
        std::pair{overload_order::shortest_work, "shortest work"},
        std::pair{overload_order::value, "value"},
        std::pair{overload_order::newest, "newest"}};
    std::size_t violations = 0;
    std::cout
        << "| load | order | value | queue | jobs | in objective | within "
           "3 times | largest tenth: in objective | within 3 times |\n"
        << "| --- | --- | ---: | --- | ---: | ---: | ---: | ---: | ---: "
           "|\n"
        << std::fixed << std::setprecision(3);
    for (const bool stragglers : {false, true}) {
        for (const auto& [load, load_name] : cases) {
            if (!only.empty() && only != load_name) {
                continue;
            }
            for (const auto& [order, order_name] : orders) {
                rosemarytrail::test::replay_result sum;
                for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
                    const auto result = rosemarytrail::test::replay_overload(
                        {.load = load,
                         .order = order,
                         .seed = seed,
                         .stragglers = stragglers,
                         .aging_share = aging});
                    violations += result.violations;
                    for (const auto& [queue, it] : result.queues) {
                        add(sum.queues[queue], it);
                    }
                }
                for (const auto& [queue, it] : sum.queues) {
                    std::cout << "| " << load_name
                              << (stragglers ? ", stragglers" : "") << " | "
                              << order_name << " | " << sum.value_share()
                              << " | " << queue << " | " << it.jobs << " | "
                              << share(it.in_objective, it.jobs) << " | "
                              << share(it.useful, it.jobs) << " | "
                              << share(it.large_in_objective, it.large_jobs)
                              << " | " << share(it.large_useful, it.large_jobs)
                              << " |\n";
                }
            }
        }
    }
    return violations == 0 ? 0 : 1;
}
