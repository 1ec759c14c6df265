#ifndef ROSEMARYTRAIL_FLEET_ADMISSION_HPP
#define ROSEMARYTRAIL_FLEET_ADMISSION_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <cstdint>
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

} // namespace rosemarytrail::fleet

#endif
