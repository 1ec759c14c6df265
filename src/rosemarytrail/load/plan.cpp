#include <rosemarytrail/load/plan.hpp>

#include <algorithm>
#include <random>

namespace rosemarytrail::load {

std::vector<planned_request> plan(const phase& it, std::size_t targets,
                                  std::uint64_t seed)
{
    std::vector<planned_request> requests;
    for (std::size_t n = 0; n < targets; ++n) {
        std::mt19937_64 random{seed + n};
        std::exponential_distribution<double> gap{it.rate};
        std::bernoulli_distribution post{it.post_fraction};
        std::chrono::duration<double> at{gap(random)};
        while (at < it.span) {
            requests.push_back({.at = std::chrono::duration_cast<duration>(at),
                                .target = n,
                                .post = post(random)});
            at += std::chrono::duration<double>{gap(random)};
        }
    }
    std::ranges::stable_sort(requests, {}, &planned_request::at);
    return requests;
}

} // namespace rosemarytrail::load
