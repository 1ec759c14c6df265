#ifndef ROSEMARYTRAIL_DAEMON_JSON_VIEWS_HPP
#define ROSEMARYTRAIL_DAEMON_JSON_VIEWS_HPP

#include <rosemarytrail/control/controller.hpp>
#include <rosemarytrail/core/reason.hpp>

#include <cstdint>
#include <span>
#include <string>

namespace rosemarytrail::daemon {

/**
 * @brief Formats a job as specified in docs/API.md.
 * @param value Job to format.
 * @return JSON.
 */
[[nodiscard]] std::string to_json(const control::job_status& value);

/**
 * @brief Formats a list of jobs.
 * @param jobs Jobs to format.
 * @return JSON.
 */
[[nodiscard]] std::string to_json(std::span<const control::job_status> jobs);

/**
 * @brief Formats members and partitions.
 * @param value View to format.
 * @return JSON.
 */
[[nodiscard]] std::string to_json(const control::cell_view& value);

/**
 * @brief Formats the documents that are in effect.
 * @param documents Documents to format.
 * @param applied Offset after the last applied entry.
 * @return JSON.
 */
[[nodiscard]] std::string
to_json(std::span<const control::config_entry> documents,
        std::uint64_t applied);

/**
 * @brief Formats the outcome of a cancellation.
 * @param value Outcome to format.
 * @return JSON.
 */
[[nodiscard]] std::string to_json(const control::cancel_outcome& value);

/**
 * @brief Formats the response to an accepted job.
 * @param job Job that was accepted.
 * @param record Record that accepted it.
 * @return JSON.
 */
[[nodiscard]] std::string accepted_json(const job_id& job,
                                        record_number record);

/**
 * @brief Formats the response to a successful publication.
 * @param revision Published revision.
 * @return JSON.
 */
[[nodiscard]] std::string published_json(record_number revision);

} // namespace rosemarytrail::daemon

#endif
