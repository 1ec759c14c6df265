#ifndef ROSEMARYTRAIL_CLI_EXPOSITION_HPP
#define ROSEMARYTRAIL_CLI_EXPOSITION_HPP

#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::cli {

/** @brief One sample of the text exposition format. */
struct sample
{
    /** @brief Name of the metric. */
    std::string name;
    /** @brief Labels as written, without the braces. */
    std::string labels;
    /** @brief Value as written. */
    std::string value;
};

/**
 * @brief Reads the text exposition format.
 * @param text Text; lines of comments and those without a value are left out.
 * @param filter Only samples whose name or labels contain it.
 * @return Samples in their order.
 */
[[nodiscard]] std::vector<sample> parse_exposition(std::string_view text,
                                                   std::string_view filter);

} // namespace rosemarytrail::cli

#endif
