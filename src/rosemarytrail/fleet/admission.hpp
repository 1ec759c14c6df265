#ifndef ROSEMARYTRAIL_FLEET_ADMISSION_HPP
#define ROSEMARYTRAIL_FLEET_ADMISSION_HPP

#include <rosemarytrail/core/result_code.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/job.hpp>
#include <rosemarytrail/fleet/load_forecast.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace rosemarytrail::fleet {

/** @brief Inputs of the admission decision for one submission. */
struct admission_view
{
    /** @brief The account has exceeded its share. */
    bool beyond_share{false};
    /** @brief Jobs of the queue with no started task. */
    std::size_t pending{};
    /** @brief Jobs of the queue started per second over a recent window. */
    double starts_per_s{};
    /** @brief Longest acceptable wait before the job starts. */
    duration slack{};
    /** @brief Job id; seeds the spread of the retry delays. */
    std::uint64_t job{};
};

/**
 * @brief Decides whether a submission is rejected.
 *
 * Limits an account that sends many times its share while the queue is long:
 * its excess would wait longer than its slack and delay advice requests of
 * other accounts. Submissions within the share are never rejected.
 * @param view Inputs of the decision.
 * @return Delay after which the caller should retry, or nothing if the
 * submission is admitted.
 */
[[nodiscard]] std::optional<duration>
rejection_retry_after(const admission_view& view);

/** @brief Submission whose start is forecast. */
struct forecast_view
{
    /** @brief Job as it would be recorded. */
    const job_record& job;
    /** @brief Time since the first attempt to submit it. */
    duration age{};
    /** @brief Epoch of the leader that this node knows of. */
    std::uint64_t leader_epoch{};
    /** @brief Returns the number of jobs of the queue with no started task;
     * called only if the submission would be rejected. */
    std::function<std::size_t()> pending;
};

/** @brief Rejection of a submission, with the inputs of the decision. */
struct forecast_rejection
{
    /** @brief Whether the limit of the account or the capacity of the cell is
     * the cause. */
    result_code code{result_code::ok};
    duration retry_after{};
    expected_wait queue;
    duration chain{};
    duration objective{};
};

/**
 * @brief Decides by the forecast whether a submission is rejected.
 *
 * Rejects a job that would end later than three times its latency objective,
 * when its result is worth nothing to the caller: accepting it would only delay
 * other jobs. Long-running, scavenger and scheduled jobs are never rejected.
 * Nothing is rejected on a forecast that is old, of another leader or of one
 * that was just elected, while capacity is free, or from a short queue.
 * @param forecast Forecast.
 * @param view Submission.
 * @param now Current time.
 * @return Rejection, or nothing if the submission is admitted.
 */
[[nodiscard]] std::optional<forecast_rejection>
reject_by_forecast(const load_forecast& forecast, const forecast_view& view,
                   time_point now);

} // namespace rosemarytrail::fleet

#endif
