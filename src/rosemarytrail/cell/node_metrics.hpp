#ifndef ROSEMARYTRAIL_CELL_NODE_METRICS_HPP
#define ROSEMARYTRAIL_CELL_NODE_METRICS_HPP

#include <rosemarytrail/fleet/dispatcher.hpp>
#include <rosemarytrail/metrics/registry.hpp>

#include <span>

namespace rosemarytrail::cell {

/** @brief Metrics of a node; docs/OPERATIONS.md describes each of them. */
struct node_metrics
{
    /** @param all Registry that owns the metrics. */
    explicit node_metrics(metrics::registry& all);

    /**
     * @brief Adds the durations of the phases of ended jobs.
     * @param timings Timings of the ended jobs.
     */
    void add(std::span<const fleet::job_timing> timings);

    /** @param moved Tasks that were moved to other workers. */
    void add(const fleet::relocation_counts& moved);

    /** @param withheld Recorded placements whose start was not sent. */
    void add(const fleet::withheld_starts& withheld);
    /** @param restarts Restarts of workers, and what they have led to. */
    void add(const fleet::restart_counts& restarts);

    /**
     * @brief Updates the gauges of the leader's state; all counts are zero
     * while the node does not lead.
     * @param counts Counts of jobs, tasks and workers that the dispatcher
     * tracks.
     */
    void update(const fleet::dispatcher_counts& counts);

    /** @brief Updates the counters of log lines that were not written. */
    void update_log_losses();

    metrics::code_counters& refusals;
    metrics::counter& unreadable;
    metrics::counter& evacuations_unreadable;
    metrics::counter& evacuations_unknown_zone;
    metrics::counter& worker_entries_ignored;
    metrics::counter& ignored_reports;
    metrics::counter& departure_moves;
    metrics::counter& evacuation_moves;
    metrics::counter& starts_withheld_worker;
    metrics::counter& starts_withheld_capacity;
    metrics::counter& starts_withheld_ticket;
    metrics::counter& restarts_from_directory;
    metrics::counter& restarts_from_poll;
    metrics::counter& restarts_from_start;
    metrics::counter& overtaken_polls;
    metrics::counter& withheld_acknowledgements;
    metrics::counter& late_results;
    metrics::counter& append_retries;
    metrics::counter& grants_not_taken;
    metrics::counter& claims;
    metrics::counter& claims_outdated;
    metrics::counter& claims_refused;
    metrics::counter& claims_unanswered;
    metrics::counter& calls_forwarded;
    metrics::counter& entries_expired;
    metrics::counter& entries_rejected;
    metrics::counter& call_status_queries;
    metrics::counter& peer_calls_failed;
    metrics::counter& feed_read_failures;
    metrics::counter& feed_reads_regained;
    metrics::counter& relayed_calls;
    metrics::counter& lost_relays;
    metrics::counter& log_left_out;
    metrics::counter& log_dropped;
    metrics::counter& jobs_in_time;
    metrics::counter& jobs_late;
    metrics::counter& job_demotions;
    metrics::gauge& leading;
    metrics::gauge& jobs;
    metrics::gauge& tasks_tracked;
    metrics::gauge& tasks_waiting;
    metrics::gauge& tasks_waiting_for_limit;
    metrics::gauge& tasks_waiting_for_advice;
    metrics::gauge& tasks_waiting_on_time;
    metrics::gauge& tasks_waiting_late;
    metrics::gauge& tasks_waiting_overdue;
    metrics::gauge& tasks_placed;
    metrics::gauge& evacuated_zones;
    metrics::gauge& evacuation_tasks_left;
    metrics::gauge& reported_nodes;
    metrics::gauge& evacuation_wait_capacity;
    metrics::gauge& evacuation_wait_unavailable;
    metrics::gauge& evacuation_wait_rate;
    metrics::gauge& workers_reached;
    metrics::gauge& workers_unanswered;
    metrics::gauge& workers_unrecorded;
    metrics::gauge& workers_quarantined;
    metrics::gauge& workers_probed;
    metrics::summary& client_call;
    metrics::summary& append;
    metrics::summary& advice;
    metrics::summary& start_call;
    metrics::summary& advice_wait;
    metrics::summary& placement_wait;
    metrics::summary& step_run;
    metrics::summary& job;
    /** @brief Demotions of the current leadership that are counted. */
    std::uint64_t demotions_counted{};
};

} // namespace rosemarytrail::cell

#endif
