#ifndef ROSEMARYTRAIL_DAEMON_JSON_VIEWS_HPP
#define ROSEMARYTRAIL_DAEMON_JSON_VIEWS_HPP

#include <rosemarytrail/control/controller.hpp>
#include <rosemarytrail/core/reason.hpp>

#include <cstdint>
#include <span>
#include <string>

namespace rosemarytrail::daemon {

/**
 * @brief Writes a job as docs/API.md shows it.
 * @param value Job to write.
 * @return JSON.
 */
[[nodiscard]] std::string to_json(const control::job_status& value);

/**
 * @brief Writes a list of jobs.
 * @param jobs Jobs to write.
 * @return JSON.
 */
[[nodiscard]] std::string to_json(std::span<const control::job_status> jobs);

/**
 * @brief Writes members and partitions.
 * @param value View to write.
 * @return JSON.
 */
[[nodiscard]] std::string to_json(const control::cell_view& value);

/**
 * @brief Writes the documents in force.
 * @param documents Documents to write.
 * @param applied Offset after the last entry applied.
 * @return JSON.
 */
[[nodiscard]] std::string
to_json(std::span<const control::config_entry> documents,
        std::uint64_t applied);

/**
 * @brief Writes what became of a cancellation.
 * @param value Outcome to write.
 * @return JSON.
 */
[[nodiscard]] std::string to_json(const control::cancel_outcome& value);

/**
 * @brief Writes the answer to an accepted job.
 * @param job Job that was accepted.
 * @param record Record that accepted it.
 * @return JSON.
 */
[[nodiscard]] std::string accepted_json(const job_id& job,
                                        record_number record);

/**
 * @brief Writes the answer to a publication in force.
 * @param revision Its revision.
 * @return JSON.
 */
[[nodiscard]] std::string published_json(record_number revision);

} // namespace rosemarytrail::daemon

#endif
