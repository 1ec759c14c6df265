#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_CONTEXT_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_CONTEXT_HPP

#include <rosemarytrail/placement/internal/hold_table.hpp>
#include <rosemarytrail/placement/internal/ledger.hpp>
#include <rosemarytrail/placement/internal/outbox.hpp>
#include <rosemarytrail/placement/internal/retry_queue.hpp>
#include <rosemarytrail/placement/internal/run_time_history.hpp>
#include <rosemarytrail/placement/internal/vm_health.hpp>

namespace rosemarytrail::placement::internal {

/** @brief All that the steps of one scheduler work on. */
struct context
{
    explicit context(const scheduler_options& value)
        : options{value}
    {}

    scheduler_options options;
    ledger book;
    hold_table holds{book.vms};
    outbox out;
    run_time_history history;
    retry_queue retries{options};
    vm_health health{options};
};

} // namespace rosemarytrail::placement::internal

#endif
