#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_CONTEXT_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_CONTEXT_HPP

#include <rosemarytrail/placement/internal/allocation_state.hpp>
#include <rosemarytrail/placement/internal/decision_queue.hpp>
#include <rosemarytrail/placement/internal/reservation_table.hpp>
#include <rosemarytrail/placement/internal/retry_queue.hpp>
#include <rosemarytrail/placement/internal/run_time_history.hpp>
#include <rosemarytrail/placement/internal/vm_health.hpp>

namespace rosemarytrail::placement::internal {

/** @brief State shared by the components of one scheduler. */
struct context
{
    explicit context(const scheduler_options& value)
        : options{value}
    {}

    scheduler_options options;
    allocation_state tables;
    reservation_table reservations{tables.vms};
    decision_queue decisions;
    run_time_history history;
    retry_queue retries{options};
    vm_health health{options};
};

} // namespace rosemarytrail::placement::internal

#endif
