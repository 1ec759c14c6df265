#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <vector>

namespace rosemarytrail::fleet {

// A worker remembers the highest run of a task for as long as it lives, and
// numbers its ends anew after a restart. A start that some later incarnation
// may execute therefore forbids acknowledgements: that of a later run of the
// task would stand when the worker has forgotten the run, and that of any run
// may reach the later incarnation and discard the end of the late one.

void dispatcher::state::add_unsettled(tracked_worker& worker,
                                      const task_key& task, std::uint32_t run,
                                      time_point executed_until)
{
    worker.unsettled_starts.push_back({.task = task,
                                       .run = run,
                                       .executed_until = executed_until,
                                       .settled_by_list = false});
}

void dispatcher::state::inherit_unsettled(tracked_worker& worker,
                                          const task_key& task,
                                          std::uint32_t run)
{
    worker.unsettled_starts.push_back({.task = task,
                                       .run = run,
                                       .executed_until = previous_starts_until,
                                       .settled_by_list = run > 0});
}

// The previous leader had recorded the end and did not acknowledge it, maybe
// because of a start that the ledger no longer names.
void dispatcher::state::on_unacknowledged_end(tracked_worker& worker,
                                              const task_key& task,
                                              time_point now)
{
    const bool known =
        std::ranges::any_of(worker.unsettled_starts, [this](const auto& it) {
            return it.executed_until >= previous_starts_until &&
                   !it.settled_by_list;
        });
    if (now < previous_starts_until && !known) {
        inherit_unsettled(worker, task, 0);
    }
}

void dispatcher::state::settle_by_list(tracked_worker& worker,
                                       const task_key& task, std::uint32_t run)
{
    std::erase_if(worker.unsettled_starts, [&](const auto& it) {
        return it.settled_by_list && it.task == task && it.run == run;
    });
}

// Time alone settles no start: the worker may have restarted and executed it
// in time, and nothing has been heard of it since.
void dispatcher::state::drop_settled_starts(tracked_worker& worker)
{
    std::erase_if(worker.unsettled_starts, [&worker](const auto& it) {
        return it.executed_until < worker.alive_at;
    });
}

bool dispatcher::state::lists_too_many_ends(const tracked_worker& worker) const
{
    return worker.listed_ends > options.max_unacknowledged_ends;
}

} // namespace rosemarytrail::fleet
