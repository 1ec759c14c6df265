#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_STRAGGLER_SEARCH_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_STRAGGLER_SEARCH_HPP

#include <rosemarytrail/placement/internal/context.hpp>

#include <cstddef>

namespace rosemarytrail::placement::internal {

/**
 * @brief Stops tasks that run much longer than their finished siblings.
 *
 * A stopped task starts again on another VM once its end was reported, so
 * there is never a second copy.
 */
class straggler_search
{
public:
    /** @brief Looks at a bounded number of committed tasks. */
    void run(context& c, time_point now);

private:
    std::size_t next_{};
};

} // namespace rosemarytrail::placement::internal

#endif
