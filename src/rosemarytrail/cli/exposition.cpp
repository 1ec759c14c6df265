#include <rosemarytrail/cli/exposition.hpp>

#include <rosemarytrail/cli/text.hpp>

namespace rosemarytrail::cli {

namespace {

sample read_sample(std::string_view line, std::size_t space)
{
    const auto series = line.substr(0, space);
    sample it{.name = std::string{series},
              .labels = {},
              .value = std::string{line.substr(space + 1)}};
    const auto brace = series.find('{');
    if (brace != std::string_view::npos && series.ends_with('}')) {
        it.name = std::string{series.substr(0, brace)};
        it.labels =
            std::string{series.substr(brace + 1, series.size() - brace - 2)};
    }
    return it;
}

} // namespace

std::vector<sample> parse_exposition(std::string_view text,
                                     std::string_view filter)
{
    std::vector<sample> samples;
    for (const auto& it : split_text(text, '\n')) {
        const std::string_view line{it};
        const auto space = line.rfind(' ');
        if (line.starts_with('#') || space == std::string_view::npos ||
            line.substr(0, space).find(filter) == std::string_view::npos) {
            continue;
        }
        samples.push_back(read_sample(line, space));
    }
    return samples;
}

} // namespace rosemarytrail::cli
