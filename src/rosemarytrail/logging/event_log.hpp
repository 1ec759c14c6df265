#ifndef ROSEMARYTRAIL_LOGGING_EVENT_LOG_HPP
#define ROSEMARYTRAIL_LOGGING_EVENT_LOG_HPP

#include <rosemarytrail/logging/log.hpp>

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <utility>

namespace rosemarytrail::logging {

/** @brief Name and value of a field of an event. */
using event_field = std::pair<std::string_view, std::string_view>;

/** @brief Where and how much is written. */
struct event_log_options
{
    int descriptor{1};
    /** @brief Bytes that wait for the writer; lines beyond are dropped. */
    std::size_t buffer_bytes{std::size_t{1} << 20U};
};

/**
 * @brief Starts the writer of events; a process has one.
 * @param options Where and how much is written.
 * @param program Name that each line bears.
 * @param node Name of the VM that each line bears.
 */
void start_events(const event_log_options& options, std::string_view program,
                  std::string_view node);

/**
 * @brief Writes one event as a JSON object on one line.
 *
 * Never blocks: a line that finds the buffer full is dropped, and the number of
 * dropped lines is written once there is room.
 * @param weight Weight of the event.
 * @param name What happened, in snake case.
 * @param fields Values that it was decided on.
 */
void event(level weight, std::string_view name,
           std::initializer_list<event_field> fields);

/** @return Lines dropped since the start. */
[[nodiscard]] std::uint64_t dropped_events() noexcept;

/** @brief Writes what waits and ends the writer. */
void stop_events();

} // namespace rosemarytrail::logging

#endif
