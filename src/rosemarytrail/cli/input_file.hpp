#ifndef ROSEMARYTRAIL_CLI_INPUT_FILE_HPP
#define ROSEMARYTRAIL_CLI_INPUT_FILE_HPP

#include <rosemarytrail/cli/command.hpp>

#include <optional>
#include <string>

namespace rosemarytrail::cli {

/**
 * @brief Reads a file that an operand names.
 * @param it What the subcommand works with; is told if that fails.
 * @param path Path of the file.
 * @return Its bytes, or nothing if it cannot be read.
 */
[[nodiscard]] std::optional<std::string> read_input(const context& it,
                                                    const std::string& path);

} // namespace rosemarytrail::cli

#endif
