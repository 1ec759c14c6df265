#ifndef ROSEMARYTRAIL_CLI_COMMAND_HPP
#define ROSEMARYTRAIL_CLI_COMMAND_HPP

#include <rosemarytrail/cli/arguments.hpp>
#include <rosemarytrail/cli/entry_client.hpp>
#include <rosemarytrail/cli/exit_code.hpp>
#include <rosemarytrail/cli/printer.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace rosemarytrail::cli {

/** @brief What a subcommand works with. */
struct context
{
    const arguments& asked;
    entry_client& entries;
    printer& out;
};

/** @brief Row of the table of subcommands. */
struct command
{
    std::string_view name;
    /** @brief Operands, for people. */
    std::string_view operands;
    std::size_t least_operands;
    std::size_t most_operands;
    /** @brief Flags beside the common ones, separated by commas. */
    std::string_view flags;
    std::string_view summary;
    /** @brief Examples, one a line. */
    std::string_view examples;
    exit_code (*run)(const context& it);
};

/** @return All subcommands. */
[[nodiscard]] std::span<const command> commands() noexcept;

/**
 * @brief Finds a subcommand.
 * @param name Name such as `key give`.
 * @return Its row, or null.
 */
[[nodiscard]] const command* find_command(std::string_view name) noexcept;

/** @return Names of all subcommands, separated by commas. */
[[nodiscard]] std::string command_names();

/**
 * @brief Writes how a subcommand is called.
 * @param it Subcommand.
 * @return Its name and operands.
 */
[[nodiscard]] std::string usage_line(const command& it);

/**
 * @brief Writes the help of a subcommand or of the whole program.
 * @param it Subcommand, or null for the program.
 * @return Text for people.
 */
[[nodiscard]] std::string help_text(const command* it);

} // namespace rosemarytrail::cli

#endif
