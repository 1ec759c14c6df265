#ifndef ROSEMARYTRAIL_CLI_EXIT_CODE_HPP
#define ROSEMARYTRAIL_CLI_EXIT_CODE_HPP

#include <cstdint>

namespace rosemarytrail::cli {

/** @brief What the command line ends with; a number never changes. */
enum class exit_code : std::uint8_t
{
    ok = 0,
    /** @brief Refused, or the job that was waited for did not succeed. */
    refused = 1,
    /** @brief Wrong arguments, settings or document. */
    usage = 2,
    /** @brief No entry VM answered; nothing was changed. */
    unreachable = 3,
    /** @brief Whether it took effect, or how it ends, is not known. */
    outcome_unknown = 4
};

} // namespace rosemarytrail::cli

#endif
