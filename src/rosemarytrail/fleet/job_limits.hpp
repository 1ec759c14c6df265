#ifndef ROSEMARYTRAIL_FLEET_JOB_LIMITS_HPP
#define ROSEMARYTRAIL_FLEET_JOB_LIMITS_HPP

#include <rosemarytrail/core/result_code.hpp>
#include <rosemarytrail/fleet/job.hpp>

#include <cstddef>
#include <cstdint>

namespace rosemarytrail::fleet {

/** @brief Limits of a job; a leader tracks each task of the occurrences that
 * are due. */
struct job_limits
{
    std::size_t max_steps{1000};
    /** @brief Maximum number of tasks of all steps together. */
    std::uint64_t max_tasks{20'000};
    std::uint32_t max_occurrences{100'000};
    /** @brief Latest time of an occurrence, in Unix milliseconds: the year
     * 2200. */
    std::int64_t max_due_ms{7'258'118'400'000};
};

/**
 * @brief Counts the tasks of one occurrence of a job.
 * @param job Job.
 * @return Number of tasks of all steps together.
 */
[[nodiscard]] std::uint64_t count_tasks(const job_spec& job) noexcept;

/**
 * @brief Checks a job against the limits.
 * @param job Job.
 * @param limits Limits.
 * @return `ok`, or why the job cannot be accepted.
 */
[[nodiscard]] result_code check_limits(const job_spec& job,
                                       const job_limits& limits) noexcept;

} // namespace rosemarytrail::fleet

#endif
