#ifndef ROSEMARYTRAIL_CLI_LOG_STORY_HPP
#define ROSEMARYTRAIL_CLI_LOG_STORY_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rosemarytrail::cli {

/** @brief Event of a node's log. */
struct logged_event
{
    /** @brief Unix time in milliseconds, by the clock of the node's VM. */
    std::int64_t ts_ms{};
    std::string node;
    std::string name;
    /** @brief Its other fields, in the order in which they were written. */
    std::vector<std::pair<std::string, std::string>> fields;
    /** @brief The event names the job; others tell what happened beside it. */
    bool about_job{false};
};

/** @brief What logs tell about one job. */
struct log_story
{
    /** @brief In time order. */
    std::vector<logged_event> events;
    /** @brief Lines that are no events of a node. */
    std::size_t unread{};
};

/**
 * @brief Finds what logs tell about one job.
 *
 * Beside the events that name the job these are the changes on any node that
 * bear on all jobs: leaders, dependencies lost and regained, configurations,
 * starts and ends of processes, workers given up on, lines not written. They
 * are taken from shortly before its first event to shortly after its last one.
 * @param job Id of the job.
 * @param logs Texts of log files; each line may have other text before the
 * event.
 * @return Its events; none if no line names the job.
 */
[[nodiscard]] log_story read_log_story(std::string_view job,
                                       std::span<const std::string> logs);

/**
 * @brief Writes a story for people.
 * @param story Events.
 * @return One line for each event; those about the job are marked.
 */
[[nodiscard]] std::string to_text(const log_story& story);

/**
 * @brief Writes a story for programs.
 * @param story Events.
 * @return A JSON array.
 */
[[nodiscard]] std::string to_json(const log_story& story);

} // namespace rosemarytrail::cli

#endif
