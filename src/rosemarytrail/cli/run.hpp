#ifndef ROSEMARYTRAIL_CLI_RUN_HPP
#define ROSEMARYTRAIL_CLI_RUN_HPP

#include <rosemarytrail/cli/exit_code.hpp>
#include <rosemarytrail/http/client.hpp>

#include <iosfwd>
#include <span>

namespace rosemarytrail::cli {

/** @brief Where the command line reads from and writes to. */
struct run_ports
{
    /** @brief Sends the requests. */
    http::client& client;
    std::ostream& out;
    std::ostream& err;
};

/**
 * @brief Runs the command line.
 * @param words Words after the name of the program.
 * @param ports What it works with.
 * @return What the program ends with.
 */
[[nodiscard]] exit_code run(std::span<const char* const> words,
                            const run_ports& ports);

} // namespace rosemarytrail::cli

#endif
