#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_WAIT_EXPLANATION_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_WAIT_EXPLANATION_HPP

#include <rosemarytrail/placement/internal/context.hpp>
#include <rosemarytrail/placement/internal/gang_drain.hpp>

namespace rosemarytrail::placement::internal {

/**
 * @brief Finds the first condition that blocks a job.
 * @param c State of the scheduler.
 * @param drain Gang drain of the partition.
 * @param job Job to explain.
 * @param now Current time.
 * @return Condition and its details; code `ok` if all tasks run.
 */
[[nodiscard]] wait_report explain_wait(const context& c,
                                       const gang_drain& drain, index job,
                                       time_point now);

} // namespace rosemarytrail::placement::internal

#endif
