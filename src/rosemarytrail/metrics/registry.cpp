#include <rosemarytrail/metrics/registry.hpp>

#include <array>
#include <map>
#include <mutex>
#include <ostream>
#include <sstream>
#include <stdexcept>
#include <variant>

namespace rosemarytrail::metrics {

namespace {

/** @brief Metric of one of the kinds, with its line of help. */
struct family
{
    std::string help;
    std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>,
                 std::unique_ptr<summary>, std::unique_ptr<code_counters>>
        metric;
};

struct labelled_quantile
{
    double probability;
    std::string_view label;
};

constexpr std::array quantiles{
    labelled_quantile{0.5, "0.5"}, labelled_quantile{0.9, "0.9"},
    labelled_quantile{0.99, "0.99"}, labelled_quantile{0.999, "0.999"}};

double to_seconds(duration value) noexcept
{
    return std::chrono::duration<double>(value).count();
}

void write_head(std::ostream& out, std::string_view name, std::string_view help,
                std::string_view type)
{
    out << "# HELP " << name << ' ';
    for (const char c : help) {
        if (c == '\\') {
            out << "\\\\";
        } else if (c == '\n') {
            out << "\\n";
        } else {
            out << c;
        }
    }
    out << "\n# TYPE " << name << ' ' << type << '\n';
}

void write_metric(std::ostream& out, const std::string& name,
                  std::string_view help, const counter& it)
{
    write_head(out, name, help, "counter");
    out << name << ' ' << it.value() << '\n';
}

void write_metric(std::ostream& out, const std::string& name,
                  std::string_view help, const gauge& it)
{
    write_head(out, name, help, "gauge");
    out << name << ' ' << it.value() << '\n';
}

void write_metric(std::ostream& out, const std::string& name,
                  std::string_view help, const summary& it)
{
    write_head(out, name, help, "summary");
    for (const auto& q : quantiles) {
        out << name << "{quantile=\"" << q.label << "\"} "
            << to_seconds(it.quantile(q.probability)) << '\n';
    }
    const auto n = it.count();
    out << name << "_sum " << to_seconds(it.mean()) * static_cast<double>(n)
        << '\n';
    out << name << "_count " << n << '\n';
    write_head(out, name + "_max", "greatest value of " + name, "gauge");
    out << name << "_max " << to_seconds(it.maximum()) << '\n';
}

void write_metric(std::ostream& out, const std::string& name,
                  std::string_view help, const code_counters& it)
{
    write_head(out, name, help, "counter");
    for (const auto& row : result_code_table()) {
        const auto n = it.value(row.code);
        if (n != 0) {
            out << name << "{code=\"" << static_cast<int>(row.code)
                << "\",reason=\"" << row.name << "\"} " << n << '\n';
        }
    }
}

} // namespace

struct registry::internal_state
{
    /** @return Metric of the name, made if there is none. */
    template <typename Metric>
    Metric& find_or_make(std::string_view name, std::string_view help)
    {
        const std::lock_guard lock{mutex};
        auto it = families.find(name);
        if (it == families.end()) {
            family fresh{.help = std::string{help},
                         .metric = std::make_unique<Metric>()};
            it = families.emplace(name, std::move(fresh)).first;
        }
        auto* found = std::get_if<std::unique_ptr<Metric>>(&it->second.metric);
        if (found == nullptr) {
            throw std::logic_error{"metric " + std::string{name} +
                                   " is of another kind"};
        }
        return **found;
    }

    mutable std::mutex mutex;
    std::map<std::string, family, std::less<>> families;
};

void code_counters::add(result_code code, std::uint64_t n) noexcept
{
    const auto index = static_cast<std::size_t>(code);
    if (index < code_limit) {
        values_[index].fetch_add(n, std::memory_order_relaxed);
    }
}

std::uint64_t code_counters::value(result_code code) const noexcept
{
    const auto index = static_cast<std::size_t>(code);
    return index < code_limit ? values_[index].load(std::memory_order_relaxed)
                              : 0;
}

registry::registry()
    : state_{std::make_unique<internal_state>()}
{}

registry::~registry() = default;

counter& registry::make_counter(std::string_view name, std::string_view help)
{
    return state_->find_or_make<counter>(name, help);
}

gauge& registry::make_gauge(std::string_view name, std::string_view help)
{
    return state_->find_or_make<gauge>(name, help);
}

summary& registry::make_summary(std::string_view name, std::string_view help)
{
    return state_->find_or_make<summary>(name, help);
}

code_counters& registry::make_code_counters(std::string_view name,
                                            std::string_view help)
{
    return state_->find_or_make<code_counters>(name, help);
}

std::string registry::expose() const
{
    const std::lock_guard lock{state_->mutex};
    std::ostringstream out;
    for (const auto& it : state_->families) {
        std::visit(
            [&out, &it](const auto& metric) {
                write_metric(out, it.first, it.second.help, *metric);
            },
            it.second.metric);
    }
    return out.str();
}

} // namespace rosemarytrail::metrics
