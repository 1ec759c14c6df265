#ifndef ROSEMARYTRAIL_CLI_JOB_STATUS_HPP
#define ROSEMARYTRAIL_CLI_JOB_STATUS_HPP

#include <rosemarytrail/cli/printer.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::cli {

/** @brief Status of a job as an entry VM answers it. */
struct job_status
{
    std::string job{};
    std::string name{};
    std::string policy{};
    std::string phase{};
    std::uint32_t tasks{};
    std::uint32_t queued{};
    std::uint32_t running{};
    std::uint32_t succeeded{};
    std::uint32_t failed{};
    bool from_holder{};
    /** @brief Code of what holds it back; zero if nothing does. */
    std::uint32_t waits_for{};
    std::string wait_reason{};
    std::string wait_meaning{};
    std::string wait_detail{};
    std::uint64_t waits_since_ms{};
    std::vector<std::string> vms{};
};

/**
 * @brief Reads the answer to `GET /v1/jobs/{id}`.
 * @param body JSON.
 * @return Status, or nothing if the body is no status.
 */
[[nodiscard]] std::optional<job_status> parse_job_status(std::string_view body);

/**
 * @brief Reads the answer to `GET /v1/jobs`.
 * @param body JSON.
 * @return Status of each job, or nothing if the body is no list.
 */
[[nodiscard]] std::optional<std::vector<job_status>>
parse_job_list(std::string_view body);

/**
 * @brief Tells whether a job has ended.
 * @param it Status.
 * @return True if nothing of it runs or waits any more.
 */
[[nodiscard]] bool is_over(const job_status& it) noexcept;

/**
 * @brief Tells whether a job ended with all its tasks done.
 * @param it Status.
 * @return True if it finished and no task failed.
 */
[[nodiscard]] bool has_succeeded(const job_status& it) noexcept;

/** @return Heads of a table of jobs. */
[[nodiscard]] table_row status_heads();

/**
 * @brief Writes a job as a row of a table.
 * @param it Status.
 * @return Cells under `status_heads`.
 */
[[nodiscard]] table_row status_row(const job_status& it);

/**
 * @brief Tells people why the tasks of a job wait.
 * @param it Status.
 * @return Lines of text.
 */
[[nodiscard]] std::string explain(const job_status& it);

/**
 * @brief Tells programs why the tasks of a job wait.
 * @param it Status.
 * @return JSON on one line.
 */
[[nodiscard]] std::string explain_json(const job_status& it);

} // namespace rosemarytrail::cli

#endif
