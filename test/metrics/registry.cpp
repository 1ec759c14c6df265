#include <catch2/catch.hpp>

#include <rosemarytrail/metrics/registry.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace rosemarytrail; // NOLINT(google-build-using-namespace)
using metrics::registry;
using metrics::summary;

namespace {

struct distribution
{
    std::string name;
    std::function<std::int64_t(std::mt19937_64&)> draw;
};

std::vector<distribution> distributions()
{
    return {{"constant",
             [](auto&) {
                 return std::int64_t{250};
             }},
            {"uniform",
             [](auto& it) {
                 return std::uniform_int_distribution<std::int64_t>{
                     0, 1'000'000}(it);
             }},
            {"two values",
             [](auto& it) {
                 return std::bernoulli_distribution{0.2}(it) ? 900'000 : 1'000;
             }},
            {"heavy tail",
             [](auto& it) {
                 const double u =
                     std::uniform_real_distribution<double>{1e-6, 1.0}(it);
                 return std::llround(1'000.0 / std::pow(u, 0.5));
             }},
            {"rising",
             [n = std::int64_t{0}](auto&) mutable {
                 return ++n;
             }},
            {"falling", [n = std::int64_t{1'000'000}](auto&) mutable {
                 return --n;
             }}};
}

double rank_of(const std::vector<std::int64_t>& sorted, double value)
{
    const auto it = std::upper_bound(sorted.begin(), sorted.end(), value,
                                     [](double lhs, std::int64_t rhs) {
                                         return lhs < static_cast<double>(rhs);
                                     });
    return static_cast<double>(it - sorted.begin()) /
           static_cast<double>(sorted.size());
}

} // namespace

TEST_CASE("Quantiles stay near the true ones for unlike distributions",
          "[metrics]")
{
    constexpr std::size_t samples = 20'000;
    constexpr double rank_tolerance = 0.03;
    constexpr double value_tolerance = 0.001;
    for (auto& it : distributions()) {
        std::mt19937_64 random{1};
        std::vector<std::int64_t> all;
        summary spans;
        for (std::size_t n = 0; n < samples; ++n) {
            all.push_back(it.draw(random));
            spans.add(duration{all.back()});
        }
        std::sort(all.begin(), all.end());
        double previous = 0;
        for (const double p : {0.5, 0.9, 0.99, 0.999}) {
            const auto q = static_cast<double>(spans.quantile(p).count());
            const auto below = rank_of(all, q * (1.0 - value_tolerance));
            const auto not_above = rank_of(all, q * (1.0 + value_tolerance));
            INFO(it.name << " p=" << p << " q=" << q);
            CHECK(q >= previous);
            CHECK(q >= static_cast<double>(all.front()));
            CHECK(q <= static_cast<double>(all.back()));
            CHECK(below <= p + rank_tolerance);
            CHECK(not_above >= p - rank_tolerance);
            previous = q;
        }
        CHECK(spans.count() == samples);
        CHECK(spans.maximum().count() == all.back());
    }
}

TEST_CASE("Quantiles of few samples are exact", "[metrics]")
{
    summary spans;
    CHECK(spans.quantile(0.5) == duration{0});
    CHECK(spans.maximum() == duration{0});
    for (int n = 10; n >= 1; --n) {
        spans.add(duration{n});
    }
    CHECK(spans.quantile(0.5) == duration{5});
    CHECK(spans.quantile(0.9) == duration{9});
    CHECK(spans.quantile(0.999) == duration{10});
}

TEST_CASE("The text exposition holds each kind of metric", "[metrics]")
{
    registry all;
    all.make_counter("jobs_total", "jobs").add(2);
    all.make_counter("jobs_total", "jobs").add();
    all.make_gauge("queue", "line\nbreak").set(-4);
    all.make_code_counters("refusals_total", "refusals")
        .add(result_code::key_missing, 5);
    all.make_summary("wait_seconds", "wait").add(std::chrono::seconds{2});
    CHECK(all.expose() == "# HELP jobs_total jobs\n"
                          "# TYPE jobs_total counter\n"
                          "jobs_total 3\n"
                          "# HELP queue line\\nbreak\n"
                          "# TYPE queue gauge\n"
                          "queue -4\n"
                          "# HELP refusals_total refusals\n"
                          "# TYPE refusals_total counter\n"
                          "refusals_total{code=\"200\",reason=\"key_missing\"} "
                          "5\n"
                          "# HELP wait_seconds wait\n"
                          "# TYPE wait_seconds summary\n"
                          "wait_seconds{quantile=\"0.5\"} 2\n"
                          "wait_seconds{quantile=\"0.9\"} 2\n"
                          "wait_seconds{quantile=\"0.99\"} 2\n"
                          "wait_seconds{quantile=\"0.999\"} 2\n"
                          "wait_seconds_sum 2\n"
                          "wait_seconds_count 1\n"
                          "# HELP wait_seconds_max greatest value of "
                          "wait_seconds\n"
                          "# TYPE wait_seconds_max gauge\n"
                          "wait_seconds_max 2\n");
    CHECK_THROWS(all.make_gauge("jobs_total", "jobs"));
}
