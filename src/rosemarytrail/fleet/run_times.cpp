#include <rosemarytrail/fleet/run_times.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace rosemarytrail::fleet {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 2> probabilities{0.5, 0.9};
/** @brief Bounds on the ratio of one run; stragglers take 7 times as long as
 * their siblings. */
constexpr double min_ratio = 0.1;
constexpr double max_ratio = 10.0;

using accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

[[nodiscard]] accumulator make_accumulator()
{
    return accumulator{acc::extended_p_square_probabilities = probabilities};
}

[[nodiscard]] bool differs(double a, double b, double min_change)
{
    return std::abs(a - b) > min_change * b;
}

} // namespace

struct run_times::history
{
    run_time_ratio estimate;
    /** @brief The estimate rests on enough samples or on a previous leader. */
    bool known{false};
    /** @brief Samples since the last restart of the accumulator. */
    accumulator samples{make_accumulator()};
    /** @brief Estimate from the samples before; weighted down as new samples
     * arrive. */
    run_time_ratio before;
    bool has_before{false};
    time_point updated;
};

run_times::run_times(const run_times_options& options)
    : options_{options}
{}

run_times::run_times(run_times&&) noexcept = default;
run_times& run_times::operator=(run_times&&) noexcept = default;
run_times::~run_times() = default;

run_times::history& run_times::find_or_add(const std::string& key,
                                           time_point now)
{
    auto it = histories_.find(key);
    if (it == histories_.end()) {
        if (histories_.size() >= options_.max_keys) {
            histories_.erase(
                std::ranges::min_element(histories_, {}, [](const auto& row) {
                    return row.second->updated;
                }));
        }
        it = histories_.emplace(key, std::make_unique<history>()).first;
        it->second->estimate.key = key;
    }
    it->second->updated = now;
    return *it->second;
}

void run_times::add(const run_time_sample& sample, time_point now)
{
    if (sample.declared <= duration{} || sample.observed <= duration{} ||
        sample.slowness <= 0) {
        return;
    }
    const auto ratio = std::clamp(
        static_cast<double>(sample.observed.count()) / sample.slowness /
            static_cast<double>(sample.declared.count()),
        min_ratio, max_ratio);
    if (!sample.source.image.empty()) {
        add_to("i/" + std::string{sample.source.image}, ratio, now);
    }
    add_to("q/" + std::string{sample.source.queue}, ratio, now);
}

void run_times::add_to(const std::string& key, double ratio, time_point now)
{
    auto& it = find_or_add(key, now);
    it.samples(ratio);
    const auto n = acc::count(it.samples);
    if (n < options_.min_samples) {
        return;
    }
    publish(it);
    if (n >= options_.samples_kept) {
        it.before = it.estimate;
        it.has_before = true;
        it.samples = make_accumulator();
    }
}

// The estimator of quantiles cannot forget samples, so it is restarted; its
// last result counts for as many samples as it takes to restart it, less those
// that have arrived since.
void run_times::publish(history& it)
{
    const auto quantiles = acc::extended_p_square(it.samples);
    const auto share =
        it.has_before
            ? std::min(1.0, static_cast<double>(acc::count(it.samples)) /
                                static_cast<double>(options_.samples_kept))
            : 1.0;
    const auto blend = [share](double newer, double older) {
        return share * newer + (1 - share) * older;
    };
    auto next = it.estimate;
    next.median = blend(quantiles[0], it.before.median);
    next.ninth_decile =
        std::max(blend(quantiles[1], it.before.ninth_decile), next.median);
    if (!it.known ||
        differs(next.median, it.estimate.median, options_.min_change) ||
        differs(next.ninth_decile, it.estimate.ninth_decile,
                options_.min_change)) {
        it.estimate = next;
        it.known = true;
        ++version_;
    }
}

const run_times::history* run_times::find(const run_time_source& source) const
{
    const auto known = [this](const std::string& key) -> const history* {
        const auto it = histories_.find(key);
        return it != histories_.end() && it->second->known ? it->second.get()
                                                           : nullptr;
    };
    const auto* image = source.image.empty()
                            ? nullptr
                            : known("i/" + std::string{source.image});
    return image != nullptr ? image : known("q/" + std::string{source.queue});
}

duration run_times::expected(const run_time_source& source, duration declared,
                             std::size_t tasks) const
{
    const auto* it = find(source);
    if (it == nullptr || tasks == 0) {
        return declared;
    }
    // The slowest of n tasks exceeds the quantile 0.5^(1/n) with a probability
    // of one half. Beyond the ninth decile are the rare stragglers.
    const auto quantile = std::min(
        std::pow(0.5, 1.0 / static_cast<double>(tasks)), probabilities[1]);
    const auto part =
        (quantile - probabilities[0]) / (probabilities[1] - probabilities[0]);
    const auto ratio = it->estimate.median +
                       part * (it->estimate.ninth_decile - it->estimate.median);
    return duration{
        std::llround(static_cast<double>(declared.count()) * ratio)};
}

std::uint64_t run_times::version() const noexcept
{
    return version_;
}

std::vector<run_time_ratio> run_times::ratios() const
{
    std::vector<run_time_ratio> result;
    for (const auto& [key, it] : histories_) {
        if (it->known) {
            result.push_back(it->estimate);
        }
    }
    return result;
}

void run_times::restore(const std::vector<run_time_ratio>& ratios,
                        time_point now)
{
    for (const auto& row : ratios) {
        if (row.key.empty() || !(row.median >= min_ratio) ||
            !(row.ninth_decile >= row.median) || row.ninth_decile > max_ratio) {
            continue;
        }
        auto& it = find_or_add(row.key, now);
        it.estimate = row;
        it.before = row;
        it.has_before = true;
        it.known = true;
    }
    ++version_;
}

} // namespace rosemarytrail::fleet
