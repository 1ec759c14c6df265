#include <rosemarytrail/fleet/advice_pool.hpp>

#include <rosemarytrail/fleet/advice_plan.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace rosemarytrail::fleet {

std::vector<std::string>
slow_advice_pool(std::span<const std::string> members,
                 const std::function<bool(const std::string&)>& is_trusted,
                 const advice_pool_limits& limits)
{
    std::vector<std::string> pool;
    std::ranges::copy_if(members, std::back_inserter(pool), is_trusted);
    if (pool.empty()) {
        pool.assign(members.begin(), members.end());
    }
    const auto trusted = pool.size();
    if (trusted < 2) {
        return pool;
    }
    const auto kept = std::max<std::size_t>(
        static_cast<std::size_t>(
            std::ceil(limits.fast_share * static_cast<double>(trusted))),
        1);
    const auto withheld = std::max(kept, limits.needed_for_fast);
    const auto left = trusted > withheld ? trusted - withheld : 1;
    pool.resize(
        std::min(slow_advice_nodes(members, limits.slow_share).size(), left));
    return pool;
}

} // namespace rosemarytrail::fleet
