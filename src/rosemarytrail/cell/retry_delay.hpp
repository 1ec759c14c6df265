#ifndef ROSEMARYTRAIL_CELL_RETRY_DELAY_HPP
#define ROSEMARYTRAIL_CELL_RETRY_DELAY_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstdint>

namespace rosemarytrail::cell {

/** @brief Call that is rejected because the store does not serve it. */
struct rejected_call
{
    /** @brief Time at which the store last served a call of this node. */
    time_point store_served;
    /** @brief Priority of the job; zero is the highest. */
    std::int32_t priority{};
    std::uint64_t job{};
};

/**
 * @brief Decides when the caller of a rejected call should retry.
 *
 * An outage is likely to last as long again as it has lasted. Callers make few
 * attempts, so a delay that does not grow uses them up within one outage.
 * @param call Rejected call.
 * @param now Current time.
 * @return One second while the store is only slow; during an outage its age in
 * whole seconds, as callers are told, of at most five. Jobs of priority zero
 * return up to a second before the others, and the id of the job decides
 * whether a fraction of a second is rounded up or down.
 */
[[nodiscard]] duration retry_delay(const rejected_call& call, time_point now);

} // namespace rosemarytrail::cell

#endif
