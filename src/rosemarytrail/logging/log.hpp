#ifndef ROSEMARYTRAIL_LOGGING_LOG_HPP
#define ROSEMARYTRAIL_LOGGING_LOG_HPP

#include <rosemarytrail/core/result_code.hpp>

#include <cstdint>
#include <string_view>

namespace rosemarytrail::logging {

/** @brief Weight of a log line. */
enum class level : std::uint8_t
{
    info,
    warning,
    error
};

/**
 * @brief Starts log4cxx with one line an event on the standard error.
 * @param least Lightest level that is written.
 * @param program Name that each line bears.
 */
void start(level least, std::string_view program);

/**
 * @brief Writes a change of state.
 * @param weight Weight of the line.
 * @param code Numbered code that the line bears.
 * @param text One line for people.
 */
void change(level weight, result_code code, std::string_view text);

} // namespace rosemarytrail::logging

#endif
