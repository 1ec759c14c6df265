#include <rosemarytrail/metrics/registry.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <mutex>
#include <vector>

namespace rosemarytrail::metrics {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> probabilities{0.5, 0.9, 0.99, 0.999};
/** @brief Samples kept whole; the estimator needs more than its markers. */
constexpr std::size_t exact_samples = 64;

using accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::min,
                       acc::tag::max, acc::tag::extended_p_square>>;

duration to_duration(double microseconds) noexcept
{
    return duration{std::llround(microseconds)};
}

std::size_t index_of(double probability) noexcept
{
    const auto it = std::lower_bound(probabilities.begin(), probabilities.end(),
                                     probability);
    const auto n = static_cast<std::size_t>(it - probabilities.begin());
    return std::min(n, probabilities.size() - 1);
}

/** @return Smallest sample that at least the fraction does not exceed. */
double exact_quantile(std::vector<double> samples, double probability)
{
    const auto rank =
        std::ceil(static_cast<double>(samples.size()) * probability);
    const auto n = std::max<std::size_t>(static_cast<std::size_t>(rank), 1) - 1;
    const auto it = samples.begin() + static_cast<std::ptrdiff_t>(n);
    std::nth_element(samples.begin(), it, samples.end());
    return *it;
}

} // namespace

struct summary::internal_state
{
    mutable std::mutex mutex;
    accumulator values{acc::extended_p_square_probabilities = probabilities};
    std::vector<double> first;
};

summary::summary()
    : state_{std::make_unique<internal_state>()}
{}

summary::~summary() = default;

void summary::add(duration value)
{
    const auto n = static_cast<double>(value.count());
    const std::lock_guard lock{state_->mutex};
    state_->values(n);
    if (state_->first.size() < exact_samples) {
        state_->first.push_back(n);
    }
}

std::uint64_t summary::count() const
{
    const std::lock_guard lock{state_->mutex};
    return acc::count(state_->values);
}

duration summary::quantile(double probability) const
{
    const std::lock_guard lock{state_->mutex};
    const auto& values = state_->values;
    const auto n = acc::count(values);
    if (n == 0) {
        return duration{};
    }
    const auto index = index_of(probability);
    if (n <= exact_samples) {
        return to_duration(
            exact_quantile(state_->first, probabilities.at(index)));
    }
    const auto estimate =
        acc::extended_p_square(values)[static_cast<std::ptrdiff_t>(index)];
    return to_duration(
        std::clamp(estimate, (acc::min)(values), (acc::max)(values)));
}

duration summary::mean() const
{
    const std::lock_guard lock{state_->mutex};
    return acc::count(state_->values) == 0
               ? duration{}
               : to_duration(acc::mean(state_->values));
}

duration summary::maximum() const
{
    const std::lock_guard lock{state_->mutex};
    return acc::count(state_->values) == 0
               ? duration{}
               : to_duration((acc::max)(state_->values));
}

} // namespace rosemarytrail::metrics
