#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_ENDING_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_ENDING_HPP

#include <rosemarytrail/placement/internal/context.hpp>

#include <vector>

namespace rosemarytrail::placement::internal {

/**
 * @brief Stops a committed task, with its whole gang if it is of one.
 *
 * A start that the caller has not seen yet is taken back instead.
 *
 * @param c State of the scheduler.
 * @param task Task that may be running.
 * @param code Why.
 */
void stop_task(context& c, task_key task, result_code code);

/** @brief Stops all committed tasks of a job; they may start again. */
void stop_job(context& c, index job, result_code code);

/** @brief Ends a job that can never run. */
void reject_job(context& c, index job, result_code code);

/**
 * @brief Ends a job that was cancelled.
 * @return Stop decisions for its tasks that may be running.
 */
[[nodiscard]] std::vector<decision> cancel_job(context& c, index job);

/** @brief Takes in how a committed task ended. */
void end_task(context& c, task_key task, task_end end, time_point now);

} // namespace rosemarytrail::placement::internal

#endif
