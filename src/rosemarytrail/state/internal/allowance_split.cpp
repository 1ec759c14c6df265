#include <rosemarytrail/state/internal/allowance_split.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace rosemarytrail::state::internal {

namespace {

__extension__ using wide = unsigned __int128;

/** @brief Part of one dimension that rounding took from a partition. */
struct rounding
{
    std::uint64_t remainder{};
    std::size_t partition{};
};

void add_evenly(std::vector<std::int64_t>& parts, std::int64_t amount)
{
    const auto n = static_cast<std::int64_t>(parts.size());
    for (std::int64_t i = 0; i < n; ++i) {
        parts[static_cast<std::size_t>(i)] +=
            amount / n + (i < amount % n ? 1 : 0);
    }
}

void cut_in_proportion(std::vector<std::int64_t>& parts, std::int64_t from,
                       std::int64_t to)
{
    const auto divisor = static_cast<std::uint64_t>(from);
    std::vector<rounding> lost(parts.size());
    std::int64_t left = to;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const wide product =
            static_cast<wide>(parts[i]) * static_cast<wide>(to);
        parts[i] = static_cast<std::int64_t>(product / divisor);
        lost[i] = {.remainder = static_cast<std::uint64_t>(product % divisor),
                   .partition = i};
        left -= parts[i];
    }
    std::stable_sort(lost.begin(), lost.end(),
                     [](const rounding& lhs, const rounding& rhs) {
                         return lhs.remainder > rhs.remainder;
                     });
    for (std::size_t i = 0; left > 0; ++i, --left) {
        ++parts[lost[i].partition];
    }
}

void fit_dimension(std::vector<resources>& parts, std::int64_t limit,
                   std::int64_t resources::*dimension)
{
    std::vector<std::int64_t> values;
    values.reserve(parts.size());
    for (const resources& it : parts) {
        values.push_back(it.*dimension);
    }
    const std::int64_t sum =
        std::accumulate(values.begin(), values.end(), std::int64_t{0});
    if (limit >= sum) {
        add_evenly(values, limit - sum);
    } else {
        cut_in_proportion(values, sum, limit);
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].*dimension = values[i];
    }
}

} // namespace

void fit_to_limit(std::vector<resources>& parts, const resources& limit)
{
    if (parts.empty()) {
        return;
    }
    fit_dimension(parts, limit.millicores, &resources::millicores);
    fit_dimension(parts, limit.memory_mib, &resources::memory_mib);
    fit_dimension(parts, limit.accelerators, &resources::accelerators);
}

} // namespace rosemarytrail::state::internal
