#ifndef ROSEMARYTRAIL_LOGGING_EVENT_LOG_HPP
#define ROSEMARYTRAIL_LOGGING_EVENT_LOG_HPP

#include <rosemarytrail/logging/line_budget.hpp>
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
    /** @brief Bytes that wait for the writer; lines beyond are dropped. Some
     * seconds of the volume that is allowed. */
    std::size_t buffer_bytes{std::size_t{1} << 20U};
    line_budget_options budget;
    /** @brief Time that the end waits for a reader that takes nothing; well
     * below the grace that a process has to end. */
    duration last_words{std::chrono::milliseconds{300}};
};

/** @brief Lines that were not written since the start. */
struct event_log_losses
{
    /** @brief Beyond the rate of their kind or the volume. */
    std::uint64_t left_out{};
    /** @brief The reader did not take them in time. */
    std::uint64_t dropped{};
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
 * Never blocks: a line beyond the budget or that finds the buffer full is not
 * written, and a later line tells how many there were.
 * @param weight Weight of the event.
 * @param name What happened, in snake case.
 * @param fields Values that it was decided on; events of one name whose field
 * `what` differs are budgeted apart.
 */
void event(level weight, std::string_view name,
           std::initializer_list<event_field> fields);

/** @return Lines that were not written since the start. */
[[nodiscard]] event_log_losses lost_events() noexcept;

/** @brief Writes what waits, if it is taken in time, and ends the writer. */
void stop_events();

} // namespace rosemarytrail::logging

#endif
