#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <algorithm>
#include <vector>

namespace rosemarytrail::fleet {

// A worker remembers the highest run of a task for as long as it lives, and
// numbers its ends anew after a restart. A start that some later incarnation
// may execute therefore forbids acknowledgements: that of a later run of the
// task would stand when the worker has forgotten the run, and that of any run
// may reach the later incarnation and discard the end of the late one.

void dispatcher::state::erase_unsettled(tracked_worker& worker,
                                        const start_request& request)
{
    std::erase_if(worker.unsettled_starts, [&request](const auto& it) {
        return it.task == request.task && it.run == request.run;
    });
}

// A start is executed once, unless a lost relay has left a copy of it: then the
// response has no clock. An incarnation other than the known one may have
// responded; the known one has not ended before if it answers a later call.
void dispatcher::state::settle_by_response(const start_request& request,
                                           const start_response& response,
                                           internal::responder by,
                                           time_point now)
{
    const auto worker = workers.find(request.worker.id);
    if (worker == workers.end()) {
        return;
    }
    if (response.result == start_result::not_sent ||
        by == internal::responder::known) {
        erase_unsettled(worker->second, request);
    } else if (response.clock_ms) {
        for (auto& it : worker->second.unsettled_starts) {
            if (it.task == request.task && it.run == request.run) {
                it.executed_until = std::min(it.executed_until, now);
            }
        }
    }
}

// The poll may reach the incarnation that executes such a start, and renew the
// lease of its run.
void dispatcher::state::allow_for_late_renewal(tracked_worker& worker,
                                               time_point now) const
{
    worker.late_renewals_until =
        now + options.max_start_delay + worst_case_previous_lease();
    worker.unconfirmed_until =
        std::max(worker.unconfirmed_until, worker.late_renewals_until);
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
