#include <rosemarytrail/state/internal/allowance_split.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace rosemarytrail::state::internal {

namespace {

__extension__ using uint128 = unsigned __int128;

/** @brief Remainder that was rounded off the share of a partition. */
struct rounding_remainder
{
    std::uint64_t remainder{};
    std::size_t partition{};
};

void add_evenly(std::vector<std::int64_t>& shares, std::int64_t amount)
{
    const auto n = static_cast<std::int64_t>(shares.size());
    for (std::int64_t i = 0; i < n; ++i) {
        shares[static_cast<std::size_t>(i)] +=
            amount / n + (i < amount % n ? 1 : 0);
    }
}

void reduce_proportionally(std::vector<std::int64_t>& shares, std::int64_t from,
                           std::int64_t to)
{
    const auto divisor = static_cast<std::uint64_t>(from);
    std::vector<rounding_remainder> remainders(shares.size());
    std::int64_t remaining = to;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const uint128 product =
            static_cast<uint128>(shares[i]) * static_cast<uint128>(to);
        shares[i] = static_cast<std::int64_t>(product / divisor);
        remainders[i] = {.remainder =
                             static_cast<std::uint64_t>(product % divisor),
                         .partition = i};
        remaining -= shares[i];
    }
    std::stable_sort(
        remainders.begin(), remainders.end(),
        [](const rounding_remainder& lhs, const rounding_remainder& rhs) {
            return lhs.remainder > rhs.remainder;
        });
    for (std::size_t i = 0; remaining > 0; ++i, --remaining) {
        ++shares[remainders[i].partition];
    }
}

void fit_dimension(std::vector<resources>& shares, std::int64_t limit,
                   std::int64_t resources::*dimension)
{
    std::vector<std::int64_t> values;
    values.reserve(shares.size());
    for (const resources& it : shares) {
        values.push_back(it.*dimension);
    }
    const std::int64_t sum =
        std::accumulate(values.begin(), values.end(), std::int64_t{0});
    if (limit >= sum) {
        add_evenly(values, limit - sum);
    } else {
        reduce_proportionally(values, sum, limit);
    }
    for (std::size_t i = 0; i < shares.size(); ++i) {
        shares[i].*dimension = values[i];
    }
}

} // namespace

void fit_to_limit(std::vector<resources>& shares, const resources& limit)
{
    if (shares.empty()) {
        return;
    }
    fit_dimension(shares, limit.millicores, &resources::millicores);
    fit_dimension(shares, limit.memory_mib, &resources::memory_mib);
    fit_dimension(shares, limit.accelerators, &resources::accelerators);
}

} // namespace rosemarytrail::state::internal
