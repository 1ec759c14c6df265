#ifndef ROSEMARYTRAIL_BENCH_PERCENTILE_HPP
#define ROSEMARYTRAIL_BENCH_PERCENTILE_HPP

#include <algorithm>
#include <cstddef>
#include <span>
#include <vector>

namespace rosemarytrail::bench {

/**
 * @brief Value below which a fraction of the values lies.
 * @param values Values in any order.
 * @param fraction Fraction from 0 to 1.
 * @return The value; zero if there are none.
 */
[[nodiscard]] inline double percentile(std::span<const double> values,
                                       double fraction)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto last = static_cast<double>(values.size() - 1);
    const auto n = static_cast<std::ptrdiff_t>(last * fraction);
    std::vector<double> partly_sorted{values.begin(), values.end()};
    const auto nth = partly_sorted.begin() + n;
    std::nth_element(partly_sorted.begin(), nth, partly_sorted.end());
    return *nth;
}

} // namespace rosemarytrail::bench

#endif
