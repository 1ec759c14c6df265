#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_STRAGGLER_SEARCH_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_STRAGGLER_SEARCH_HPP

#include <rosemarytrail/placement/internal/context.hpp>

#include <cstddef>

namespace rosemarytrail::placement::internal {

/**
 * @brief Stops tasks that run much longer than their finished siblings.
 *
 * A stopped task restarts on another VM only after its end was reported, so
 * two copies never run at the same time.
 */
class straggler_search
{
public:
    /** @brief Checks a bounded number of committed tasks per call. */
    void run(context& c, time_point now);

private:
    std::size_t next_{};
};

} // namespace rosemarytrail::placement::internal

#endif
