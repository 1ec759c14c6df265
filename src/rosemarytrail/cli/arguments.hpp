#ifndef ROSEMARYTRAIL_CLI_ARGUMENTS_HPP
#define ROSEMARYTRAIL_CLI_ARGUMENTS_HPP

#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::cli {

/** @brief What was asked for, from flags, environment and defaults. */
struct arguments
{
    /** @brief Name of the subcommand, such as `submit` or `key give`. */
    std::string command;
    std::vector<std::string> operands;
    bool help{false};
    bool json{false};
    /** @brief Addresses of entry VMs, `ip:port`, in the order to try. */
    std::vector<std::string> entries;
    std::string key;
    std::string operator_key;
    duration timeout{};
    std::string team;
    std::string account;
    /** @brief Revision that a publication replaces, if it was given. */
    std::optional<std::uint64_t> replaces;
    std::string submission_id;
    /** @brief Phase to wait for: empty, `over` or `running`. */
    std::string wait;
    std::optional<std::uint64_t> read_offset;
    std::string method;
    std::string data;
    std::string idempotency_key;
    std::string filter;
};

/** @brief Flags that every subcommand takes. */
inline constexpr std::string_view common_flags =
    "entry,json,key,operator_key,timeout";

/**
 * @brief Reads a command line by the Abseil flags of this module.
 *
 * It reports faults in place of ending the process, and sets the flags to their
 * defaults first, so that it can be called again.
 * @param words Words after the name of the program.
 * @param why Set if nothing is returned.
 * @return What was asked for.
 */
[[nodiscard]] std::optional<arguments>
parse_arguments(std::span<const char* const> words, reason& why);

/**
 * @brief Describes flags for people.
 * @param names Names of flags, separated by commas.
 * @return One line a flag.
 */
[[nodiscard]] std::string describe_flags(std::string_view names);

} // namespace rosemarytrail::cli

#endif
