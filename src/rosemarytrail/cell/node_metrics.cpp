#include <rosemarytrail/cell/node_metrics.hpp>

#include <rosemarytrail/logging/event_log.hpp>

namespace rosemarytrail::cell {

node_metrics::node_metrics(metrics::registry& all)
    : refusals{all.make_code_counters(
          "rosemarytrail_call_refusals_total",
          "calls of clients that were not served, by code")}
    , unreadable{all.make_counter(
          "rosemarytrail_ledger_records_unreadable_total",
          "entries of the ledger that cannot be read")}
    , evacuations_unreadable{all.make_counter(
          "rosemarytrail_evacuations_unreadable_total",
          "evacuation requests that cannot be read")}
    , evacuations_unknown_zone{all.make_counter(
          "rosemarytrail_evacuations_unknown_zone_total",
          "changes of evacuation requests for a zone that is not known")}
    , worker_entries_ignored{all.make_counter(
          "rosemarytrail_worker_entries_ignored_total",
          "entries of the worker directory that name no worker to use")}
    , ignored_reports{all.make_counter(
          "rosemarytrail_advice_node_reports_ignored_total",
          "reports of nodes whose name is malformed or that are too many")}
    , departure_moves{all.make_counter(
          "rosemarytrail_departure_moves_total",
          "tasks stopped to continue elsewhere as their worker leaves")}
    , evacuation_moves{all.make_counter(
          "rosemarytrail_evacuation_moves_total",
          "tasks stopped to continue outside an evacuated zone")}
    , starts_withheld_worker{all.make_counter(
          "rosemarytrail_starts_withheld_worker_total",
          "recorded placements not started as the worker accepts no tasks")}
    , starts_withheld_capacity{all.make_counter(
          "rosemarytrail_starts_withheld_capacity_total",
          "recorded placements not started for lack of capacity")}
    , starts_withheld_ticket{all.make_counter(
          "rosemarytrail_starts_withheld_ticket_total",
          "recorded placements not started as their tickets had expired")}
    , restarts_from_directory{all.make_counter(
          "rosemarytrail_worker_restarts_directory_total",
          "restarts of workers that the directory told of first")}
    , restarts_from_poll{all.make_counter(
          "rosemarytrail_worker_restarts_poll_total",
          "restarts of workers that a poll told of first")}
    , restarts_from_start{all.make_counter(
          "rosemarytrail_worker_restarts_start_total",
          "restarts of workers that the response to a start told of first")}
    , overtaken_polls{all.make_counter(
          "rosemarytrail_polls_overtaken_total",
          "polls sent again as a start had overtaken them")}
    , withheld_acknowledgements{all.make_counter(
          "rosemarytrail_acknowledgements_withheld_total",
          "polls that acknowledged no recorded ends, as a start without a "
          "response may still be executed")}
    , late_results{all.make_counter(
          "rosemarytrail_late_results_total",
          "results taken of runs that had been given up")}
    , append_retries{all.make_counter(
          "rosemarytrail_append_retries_total",
          "appends of the leader that were sent again")}
    , grants_not_taken{all.make_counter(
          "rosemarytrail_advice_grants_not_taken_total",
          "times that the leader did not take advice, which is sent again")}
    , claims{all.make_counter("rosemarytrail_lead_claims_total",
                              "claims of leadership that this node sent")}
    , claims_outdated{all.make_counter(
          "rosemarytrail_lead_claims_outdated_total",
          "claims that failed because another node had claimed leadership")}
    , claims_refused{all.make_counter(
          "rosemarytrail_lead_claims_refused_total",
          "claims that the store rejected for another reason")}
    , claims_unanswered{all.make_counter(
          "rosemarytrail_lead_claims_unanswered_total",
          "claims that got no response, so that they may have been recorded")}
    , calls_forwarded{all.make_counter("rosemarytrail_calls_handed_on_total",
                                       "calls that a peer was asked to serve")}
    , entries_expired{all.make_counter(
          "rosemarytrail_entries_expired_total",
          "entries that no append of the leader included by their deadline")}
    , entries_rejected{all.make_counter(
          "rosemarytrail_entries_rejected_total",
          "entries of the leader's batches that the store never accepts")}
    , call_status_queries{all.make_counter(
          "rosemarytrail_call_status_queries_total",
          "queries to a peer for the status of a call forwarded to it")}
    , peer_calls_failed{all.make_counter(
          "rosemarytrail_peer_calls_failed_total",
          "forwarded calls that the peer did not serve")}
    , feed_read_failures{all.make_counter(
          "rosemarytrail_feed_read_failures_total",
          "reads of a feed of the store that failed")}
    , feed_reads_regained{all.make_counter(
          "rosemarytrail_feed_reads_regained_total",
          "reads of a feed that succeeded after failed ones")}
    , relayed_calls{all.make_counter(
          "rosemarytrail_worker_calls_relayed_total",
          "calls to workers that the leader sent to a relay")}
    , lost_relays{all.make_counter(
          "rosemarytrail_relays_lost_total",
          "times that a relay did not take calls or return results")}
    , log_left_out{all.make_counter(
          "rosemarytrail_log_lines_left_out_total",
          "log lines beyond the rate of their kind or the volume")}
    , log_dropped{all.make_counter(
          "rosemarytrail_log_lines_dropped_total",
          "log lines that the reader did not take in time")}
    , jobs_in_time{all.make_counter(
          "rosemarytrail_jobs_in_time_total",
          "jobs that ended within their latency objective")}
    , jobs_late{all.make_counter("rosemarytrail_jobs_late_total",
                                 "jobs that ended after their objective")}
    , job_demotions{all.make_counter(
          "rosemarytrail_job_demotions_total",
          "jobs that the leader found unable to meet their objective")}
    , leading{all.make_gauge("rosemarytrail_leading",
                             "1 while this node leads the cell")}
    , jobs{all.make_gauge("rosemarytrail_jobs_live",
                          "jobs that have not ended, at the leader")}
    , tasks_tracked{all.make_gauge(
          "rosemarytrail_tasks_tracked",
          "tasks of the jobs and occurrences that the leader tracks")}
    , tasks_waiting{all.make_gauge("rosemarytrail_tasks_waiting",
                                   "tasks whose turn has come, at the leader")}
    , tasks_waiting_for_limit{all.make_gauge(
          "rosemarytrail_tasks_waiting_for_limit",
          "waiting tasks whose account is at its limit, at the leader")}
    , tasks_waiting_for_advice{all.make_gauge(
          "rosemarytrail_tasks_waiting_for_advice",
          "other waiting tasks without a valid ticket, at the leader")}
    , tasks_waiting_on_time{all.make_gauge(
          "rosemarytrail_tasks_waiting_on_time",
          "waiting tasks whose job can meet its objective, at the leader")}
    , tasks_waiting_late{all.make_gauge(
          "rosemarytrail_tasks_waiting_late",
          "waiting tasks whose job can end within 3 times its objective")}
    , tasks_waiting_overdue{all.make_gauge(
          "rosemarytrail_tasks_waiting_overdue",
          "waiting tasks whose job can do neither, at the leader")}
    , tasks_placed{all.make_gauge("rosemarytrail_tasks_placed",
                                  "tasks that take room, at the leader")}
    , evacuated_zones{all.make_gauge(
          "rosemarytrail_evacuated_zones",
          "zones in which no task is started, at the leader")}
    , evacuation_tasks_left{all.make_gauge(
          "rosemarytrail_evacuation_tasks_left",
          "tasks that still run in these zones, at the leader")}
    , reported_nodes{all.make_gauge("rosemarytrail_advice_nodes_reported",
                                    "nodes that send advice requests and that "
                                    "the store does not list, at "
                                    "the leader")}
    , evacuation_wait_capacity{all.make_gauge(
          "rosemarytrail_evacuation_waiting_for_capacity",
          "of these tasks, those that wait for capacity elsewhere")}
    , evacuation_wait_unavailable{all.make_gauge(
          "rosemarytrail_evacuation_waiting_for_max_unavailable",
          "of these tasks, those that wait for others of their step")}
    , evacuation_wait_rate{all.make_gauge(
          "rosemarytrail_evacuation_waiting_for_rate",
          "of these tasks, those that wait for the rate of moves")}
    , workers_reached{all.make_gauge(
          "rosemarytrail_workers_reached",
          "workers that answer under this leader's epoch")}
    , workers_unanswered{all.make_gauge(
          "rosemarytrail_workers_unanswered",
          "workers with tasks that did not answer the last poll, at the "
          "leader")}
    , workers_unrecorded{all.make_gauge(
          "rosemarytrail_workers_unrecorded",
          "other workers with tasks whose lease waits for a ledger entry, at "
          "the leader")}
    , workers_quarantined{all.make_gauge(
          "rosemarytrail_workers_quarantined",
          "workers that get no tasks after bad runs, at the leader")}
    , workers_probed{all.make_gauge(
          "rosemarytrail_workers_probed",
          "workers that get one task at a time after a quarantine")}
    , client_call{all.make_summary(
          "rosemarytrail_client_call_seconds",
          "calls of clients, from decoded to answered")}
    , append{all.make_summary("rosemarytrail_append_seconds",
                              "appends to the store that were answered")}
    , advice{all.make_summary("rosemarytrail_advice_seconds",
                              "answers of the advice service")}
    , start_call{all.make_summary("rosemarytrail_start_call_seconds",
                                  "orders to start that a worker answered")}
    , advice_wait{all.make_summary("rosemarytrail_step_advice_wait_seconds",
                                   "steps, from ready to their first tickets")}
    , placement_wait{all.make_summary(
          "rosemarytrail_step_room_wait_seconds",
          "steps, from tickets to the placement of all tasks")}
    , step_run{all.make_summary("rosemarytrail_step_run_seconds",
                                "steps, from placement to their last end")}
    , job{all.make_summary("rosemarytrail_job_seconds",
                           "jobs, from acceptance to their end")}
{}

void node_metrics::add(std::span<const fleet::job_timing> timings)
{
    for (const auto& it : timings) {
        job.add(it.total);
        (it.in_time ? jobs_in_time : jobs_late).add();
        for (const auto& step : it.steps) {
            advice_wait.add(step.advice);
            placement_wait.add(step.placement);
            step_run.add(step.run);
        }
    }
}

void node_metrics::add(const fleet::relocation_counts& moved)
{
    departure_moves.add(moved.departures);
    evacuation_moves.add(moved.evacuations);
}

void node_metrics::add(const fleet::withheld_starts& withheld)
{
    starts_withheld_worker.add(withheld.worker);
    starts_withheld_capacity.add(withheld.capacity);
    starts_withheld_ticket.add(withheld.ticket);
}

void node_metrics::add(const fleet::restart_counts& restarts)
{
    restarts_from_directory.add(restarts.from_directory);
    restarts_from_poll.add(restarts.from_poll);
    restarts_from_start.add(restarts.from_start);
    overtaken_polls.add(restarts.overtaken_polls);
    withheld_acknowledgements.add(restarts.withheld_acknowledgements);
    late_results.add(restarts.late_results);
}

void node_metrics::update_log_losses()
{
    const auto lost = logging::lost_events();
    log_left_out.add(lost.left_out - log_left_out.value());
    log_dropped.add(lost.dropped - log_dropped.value());
}

void node_metrics::update(const fleet::dispatcher_counts& counts)
{
    const auto set = [](metrics::gauge& gauge, std::size_t value) {
        gauge.set(static_cast<std::int64_t>(value));
    };
    set(jobs, counts.jobs);
    set(tasks_tracked, counts.tracked_tasks);
    set(tasks_waiting, counts.waiting);
    set(tasks_waiting_for_limit, counts.waiting_for_limit);
    set(tasks_waiting_for_advice, counts.waiting_for_advice);
    set(tasks_waiting_on_time, counts.waiting_by_class[0]);
    set(tasks_waiting_late, counts.waiting_by_class[1]);
    set(tasks_waiting_overdue, counts.waiting_by_class[2]);
    // Each leader counts from zero, and a node that does not lead counts none.
    if (counts.demotions > demotions_counted) {
        job_demotions.add(counts.demotions - demotions_counted);
    }
    demotions_counted = counts.demotions;
    set(tasks_placed, counts.placed);
    set(evacuated_zones, counts.evacuated_zones);
    set(evacuation_tasks_left, counts.tasks_in_evacuated_zones);
    set(evacuation_wait_capacity, counts.evacuation_left.no_capacity);
    set(evacuation_wait_unavailable, counts.evacuation_left.max_unavailable);
    set(evacuation_wait_rate, counts.evacuation_left.rate);
    set(workers_reached, counts.fenced_workers);
    set(workers_unanswered, counts.unanswered_workers);
    set(workers_unrecorded, counts.unrecorded_workers);
    set(workers_quarantined, counts.quarantined_workers);
    set(workers_probed, counts.probed_workers);
}

} // namespace rosemarytrail::cell
