#include <rosemarytrail/cli/text.hpp>

#include <algorithm>

namespace rosemarytrail::cli {

std::vector<std::string> split_text(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        if (end > 0) {
            parts.emplace_back(text.substr(0, end));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

std::string join_text(std::span<const std::string> parts,
                      std::string_view separator)
{
    std::string text;
    for (const auto& it : parts) {
        text += text.empty() ? "" : separator;
        text += it;
    }
    return text;
}

} // namespace rosemarytrail::cli
