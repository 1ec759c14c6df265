#include <rosemarytrail/load/result.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace rosemarytrail::load {

namespace {

double milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>{value}.count();
}

double a_second(std::uint64_t n, duration span)
{
    return static_cast<double>(n) / std::chrono::duration<double>{span}.count();
}

nlohmann::json quantiles(const latency_recorder& it)
{
    return {{"count", it.count()},
            {"p50_ms", milliseconds(it.quantile(0.5))},
            {"p90_ms", milliseconds(it.quantile(0.9))},
            {"p99_ms", milliseconds(it.quantile(0.99))},
            {"p999_ms", milliseconds(it.quantile(0.999))},
            {"max_ms", milliseconds(it.quantile(1.0))}};
}

nlohmann::json to_json(const target_result& it, duration span)
{
    nlohmann::json codes = nlohmann::json::object();
    for (const auto& [code, n] : it.codes) {
        codes[std::to_string(code)] = n;
    }
    return {{"name", it.name},
            {"planned", it.planned},
            {"not_sent", it.not_sent},
            {"good", it.good},
            {"refused", it.refused},
            {"not_run", it.not_run},
            {"crossed", it.crossed},
            {"failed", it.failed},
            {"goodput", a_second(it.good, span)},
            {"codes", codes},
            {"latency", quantiles(it.good_latency)},
            {"refusal_latency", quantiles(it.refusal_latency)}};
}

} // namespace

void latency_recorder::add(duration value)
{
    values_.push_back(value);
    sorted_ = false;
}

duration latency_recorder::quantile(double probability) const
{
    if (values_.empty()) {
        return {};
    }
    if (!sorted_) {
        std::ranges::sort(values_);
        sorted_ = true;
    }
    const auto rank =
        std::ceil(probability * static_cast<double>(values_.size()));
    const auto n = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return values_[std::min(n, values_.size() - 1)];
}

std::string format_json(const std::vector<phase_result>& results)
{
    nlohmann::json phases = nlohmann::json::array();
    for (const auto& phase : results) {
        nlohmann::json targets = nlohmann::json::array();
        for (const auto& target : phase.targets) {
            targets.push_back(to_json(target, phase.span));
        }
        phases.push_back({{"name", phase.name},
                          {"seconds", milliseconds(phase.span) / 1000.0},
                          {"targets", std::move(targets)}});
    }
    return nlohmann::json{{"phases", std::move(phases)}}.dump(2);
}

std::string format_table(const std::vector<phase_result>& results)
{
    std::ostringstream text;
    text << std::left << std::setw(14) << "phase" << std::setw(10) << "target"
         << std::right << std::setw(9) << "planned" << std::setw(9) << "good/s"
         << std::setw(9) << "refused" << std::setw(8) << "failed"
         << std::setw(8) << "crossed" << std::setw(9) << "p50 ms"
         << std::setw(9) << "p99 ms" << std::setw(10) << "p99.9 ms"
         << std::setw(13) << "refusal p99" << std::setw(13) << "refusal max"
         << '\n';
    text << std::fixed;
    for (const auto& phase : results) {
        for (const auto& it : phase.targets) {
            text << std::left << std::setw(14) << phase.name << std::setw(10)
                 << it.name << std::right << std::setw(9) << it.planned
                 << std::setw(9) << std::setprecision(0)
                 << a_second(it.good, phase.span) << std::setw(9) << it.refused
                 << std::setw(8) << it.failed + it.not_sent << std::setw(8)
                 << it.crossed << std::setprecision(3) << std::setw(9)
                 << milliseconds(it.good_latency.quantile(0.5)) << std::setw(9)
                 << milliseconds(it.good_latency.quantile(0.99))
                 << std::setw(10)
                 << milliseconds(it.good_latency.quantile(0.999))
                 << std::setw(13)
                 << milliseconds(it.refusal_latency.quantile(0.99))
                 << std::setw(13)
                 << milliseconds(it.refusal_latency.quantile(1.0)) << '\n';
        }
    }
    return text.str();
}

} // namespace rosemarytrail::load
