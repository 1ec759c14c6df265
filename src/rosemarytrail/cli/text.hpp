#ifndef ROSEMARYTRAIL_CLI_TEXT_HPP
#define ROSEMARYTRAIL_CLI_TEXT_HPP

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::cli {

/**
 * @brief Splits text; Abseil's own needs Abseil's string view.
 * @param text Text to split.
 * @param separator Character between parts.
 * @return Parts that are not empty.
 */
[[nodiscard]] std::vector<std::string> split_text(std::string_view text,
                                                  char separator);

/**
 * @brief Joins parts.
 * @param parts Parts to join.
 * @param separator Text between parts.
 * @return One text.
 */
[[nodiscard]] std::string join_text(std::span<const std::string> parts,
                                    std::string_view separator);

} // namespace rosemarytrail::cli

#endif
