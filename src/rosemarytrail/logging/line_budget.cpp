#include <rosemarytrail/logging/line_budget.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::logging {

line_budget::line_budget(const line_budget_options& options)
    : options_{options}
    , bytes_{.filled = options.burst_bytes, .as_of = {}}
{}

void line_budget::bucket::fill(double per_s, double most, time_point now)
{
    const std::chrono::duration<double> span =
        std::max(now - as_of, duration{});
    filled = std::min(filled + span.count() * per_s, most);
    as_of = std::max(as_of, now);
}

bool line_budget::admit(std::string_view kind, std::size_t bytes,
                        time_point now)
{
    auto found = kinds_.find(kind);
    if (found == kinds_.end()) {
        found =
            kinds_
                .emplace(std::string{kind},
                         bucket{.filled = options_.burst_lines, .as_of = now})
                .first;
    }
    auto& lines = found->second;
    lines.fill(options_.lines_per_s, options_.burst_lines, now);
    bytes_.fill(options_.bytes_per_s, options_.burst_bytes, now);
    const auto length = static_cast<double>(bytes);
    if (lines.filled < 1 || bytes_.filled < length) {
        ++lines.left_out;
        unreported_ = true;
        return false;
    }
    lines.filled -= 1;
    bytes_.filled -= length;
    return true;
}

std::vector<left_out_lines> line_budget::take_left_out()
{
    std::vector<left_out_lines> result;
    for (auto& [kind, it] : kinds_) {
        if (it.left_out > 0) {
            result.push_back(
                {.kind = kind, .lines = std::exchange(it.left_out, 0)});
        }
    }
    unreported_ = false;
    return result;
}

} // namespace rosemarytrail::logging
