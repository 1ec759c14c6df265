#ifndef ROSEMARYTRAIL_FLEET_ADMISSION_HPP
#define ROSEMARYTRAIL_FLEET_ADMISSION_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace rosemarytrail::fleet {

/** @brief What a submission is judged on. */
struct admission_view
{
    /** @brief Its account has sent more than its share. */
    bool beyond_share{false};
    /** @brief Jobs of its queue of which no task has started. */
    std::size_t pending{};
    /** @brief Jobs of its queue that began each second lately. */
    double begun_per_s{};
    /** @brief Time until its answer no longer counts as in time. */
    duration slack{};
    /** @brief Spreads the return of refused callers. */
    std::uint64_t job{};
};

/**
 * @brief Decides whether a submission is turned away.
 *
 * Answers an account that sends many times its share while the queue is long:
 * its excess would wait for longer than it has and hold up the advice service
 * for others. Nobody within the share is turned away.
 * @param view What it is judged on.
 * @return When it is worth coming back, or nothing if it is taken.
 */
[[nodiscard]] std::optional<duration> turned_away(const admission_view& view);

} // namespace rosemarytrail::fleet

#endif
