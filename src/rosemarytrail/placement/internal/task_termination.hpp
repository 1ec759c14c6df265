#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_TASK_TERMINATION_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_TASK_TERMINATION_HPP

#include <rosemarytrail/placement/internal/context.hpp>

#include <vector>

namespace rosemarytrail::placement::internal {

/**
 * @brief Stops a committed task, or its whole gang.
 *
 * A start that was not returned to the caller yet is withdrawn instead.
 *
 * @param c State of the scheduler.
 * @param task Committed task.
 * @param code Reason for the stop.
 */
void stop_task(context& c, task_key task, result_code code);

/** @brief Stops all committed tasks of a job; they are queued again. */
void stop_job(context& c, index job, result_code code);

/** @brief Rejects a job that can never run and stops its tasks. */
void reject_job(context& c, index job, result_code code);

/**
 * @brief Cancels a job.
 * @return Stop decisions for the tasks that may be running.
 */
[[nodiscard]] std::vector<decision> cancel_job(context& c, index job);

/** @brief Handles the end of a committed task. */
void end_task(context& c, task_key task, task_end end, time_point now);

} // namespace rosemarytrail::placement::internal

#endif
