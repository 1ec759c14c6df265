#ifndef ROSEMARYTRAIL_FLEET_DISPATCHER_HPP
#define ROSEMARYTRAIL_FLEET_DISPATCHER_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/advice_request.hpp>
#include <rosemarytrail/fleet/cell_config.hpp>
#include <rosemarytrail/fleet/job_index.hpp>
#include <rosemarytrail/fleet/relocation.hpp>
#include <rosemarytrail/fleet/triage.hpp>
#include <rosemarytrail/fleet/worker_calls.hpp>
#include <rosemarytrail/fleet/worker_health.hpp>
#include <rosemarytrail/fleet/worker_vm.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Timing parameters and limits of a dispatcher. */
struct dispatcher_options
{
    /** @brief Fencing epoch sent with every request to a worker. */
    std::uint64_t epoch{};
    /** @brief Lease of a worker; outlasts a leader takeover. */
    duration lease{std::chrono::milliseconds{4500}};
    /** @brief Maximum lease that a worker grants, whatever end the request
     * carries; the default is the platform's usual limit. */
    duration max_lease{std::chrono::milliseconds{10000}};
    /** @brief Maximum time that a worker may delay its response to a poll; also
     * the interval between lease renewals. */
    duration poll_timeout{std::chrono::milliseconds{1000}};
    /** @brief A leader without fresh evidence of its leadership stops renewing
     * leases after this time. A longer time bridges longer outages of the
     * store; a successor waits for it before it takes over the tasks of workers
     * that it cannot reach. */
    duration renewal_timeout{std::chrono::milliseconds{3000}};
    /** @brief Maximum rate error of a worker's clock, as a fraction; leases are
     * extended by it. */
    double clock_drift{0.02};
    /** @brief Added to the end of a lease before its tasks count as
     * terminated. */
    duration lease_margin{std::chrono::milliseconds{200}};
    /** @brief Assumed maximum time from a start request until it takes effect,
     * if no ticket limits it; the platform says only that a worker may execute
     * a request that it has not answered seconds later. */
    duration max_start_delay{std::chrono::milliseconds{12500}};
    /** @brief Maximum time for which a poll is delayed while a start has no
     * response. */
    duration max_poll_hold{std::chrono::milliseconds{500}};
    /** @brief Runs that are declared shorter, and last no longer, are not
     * recorded as confirmed by their worker. */
    duration short_run{std::chrono::milliseconds{1000}};
    /** @brief Interval at which a stop request without effect is repeated. */
    duration stop_retry{std::chrono::milliseconds{400}};
    /** @brief Number of consecutive failed polls after which a worker is
     * unresponsive. */
    std::uint32_t unresponsive_after{2};
    /** @brief Delay before a worker is polled again after a failed poll. */
    duration poll_retry_delay{std::chrono::milliseconds{150}};
    /** @brief Minimum time between two polls of a worker that reports ended
     * runs. */
    duration poll_interval{std::chrono::milliseconds{10}};
    /** @brief The same while a worker lists ended runs that are not
     * acknowledged, so that it responds at once. */
    duration unacknowledged_poll_interval{std::chrono::milliseconds{50}};
    /** @brief A worker that lists more ended runs than this gets no start
     * without a ticket until they are acknowledged. */
    std::size_t max_unacknowledged_ends{250};
    /** @brief Tickets that expire sooner are not used for a start. */
    duration ticket_margin{std::chrono::milliseconds{60}};
    /** @brief A crash within this time of a start that the worker confirmed is
     * ascribed to the run; a later one may be. */
    duration crash_window{std::chrono::milliseconds{500}};
    /** @brief A run that is reported as running this long after its start does
     * not crash its worker. */
    duration stable_after{std::chrono::milliseconds{3000}};
    /** @brief Number of consecutive crashes of a worker that are ascribed to a
     * task, after which its job fails. */
    std::uint32_t max_confirmed_crashes{2};
    /** @brief The same for crashes that may be ascribed to it, in all. */
    std::uint32_t max_possible_crashes{4};
    /** @brief How long a lost worker is polled to find out if it crashed. */
    duration crash_memory{std::chrono::milliseconds{30000}};
    /** @brief Quarantine of workers that fail or hang what they start. */
    worker_health_options health;
    /** @brief Advice with a higher base cost is slow and requested only on
     * assignment by the leader. */
    double slow_advice_ms{100};
    /** @brief Fraction of the nodes that may send slow advice requests. */
    double slow_advice_share{0.6};
    /** @brief Minimum fraction of the trusted nodes that send fast advice
     * requests only. */
    double min_fast_advice_share{0.25};
    /** @brief Maximum intended wait of fast requests; for each such amount of
     * backlog, one node is withheld from slow requests. */
    duration max_fast_advice_wait{std::chrono::milliseconds{250}};
    /** @brief Minimum time between two scans for steps that need advice. */
    duration advice_scan_interval{std::chrono::milliseconds{8}};
    /** @brief Maximum number of open requests of a node; no slow request is
     * assigned beyond it. */
    std::size_t slow_requests_per_node{2};
    /** @brief Maximum expected time of the open requests of a node; no fast
     * request is assigned beyond it. */
    duration max_fast_work_per_node{std::chrono::milliseconds{150}};
    /** @brief Fast advice is renewed this long before its tickets expire, in
     * addition to the time of the request: one hop to the requesting node and
     * one back. */
    duration renewal_margin{std::chrono::milliseconds{50}};
    /** @brief A fast request that the accepting node has not sent by then is
     * assigned to another node. */
    duration fast_advice_reassign_after{std::chrono::milliseconds{80}};
    /** @brief Minimum number of workers in a request, if available; the latency
     * objective allows for one request of this size. */
    std::size_t min_requested_workers{30};
    /** @brief Capacity that the requested workers should have, as a multiple of
     * the demand of the waiting tasks; other steps use some of it before the
     * response arrives. */
    double requested_capacity_factor{2.0};
    /** @brief Number of tasks that a full worker counts for; some of its tasks
     * will end before the response arrives. */
    double full_worker_tasks{0.3};
    /** @brief Initial estimate of the fraction of requested workers that is
     * granted; responses refine it. */
    double granted_share{0.35};
    /** @brief Weight of one response in the estimated granted share. */
    double granted_share_weight{0.1};
    /** @brief Interval at which a step whose granted workers are full is
     * checked for further candidates. */
    duration widen_interval{std::chrono::milliseconds{100}};
    /** @brief The same once the tickets have expired; each check scans all
     * workers, and a backlog may hold many such steps. */
    duration expired_widen_interval{std::chrono::milliseconds{1000}};
    /** @brief Maximum number of these checks in one scan. */
    std::size_t candidate_checks_per_scan{8};
    /** @brief Interval after which a step without other candidates requests its
     * refused workers again; doubled each time that no new worker is granted.
     */
    duration refused_retry_interval{std::chrono::milliseconds{4000}};
    duration max_refused_retry_interval{std::chrono::milliseconds{60000}};
    /** @brief Number of steps at the head of the queue whose tickets are
     * renewed even without available capacity. */
    std::size_t always_renewed_steps{8};
    /** @brief Number of steps of an account at its limit that get advice, after
     * all steps that can start. */
    std::size_t advised_steps_at_limit{4};
    /** @brief Time that a response may exceed its expected duration before the
     * request counts as lost. */
    duration advice_slack{std::chrono::milliseconds{1000}};
    /** @brief How long a node that lost a request gets no other one while there
     * are nodes that did not; doubled with each further loss. Exceeds the time
     * in which the losses of several nodes are noticed one after another. */
    duration node_distrust{std::chrono::milliseconds{10000}};
    duration max_node_distrust{std::chrono::milliseconds{60000}};
    /** @brief Order of service within a class whose work exceeds the
     * capacity. */
    overload_order order{overload_order::value};
    /** @brief Fraction of a job's slack that it may be expected to wait before
     * its class counts as exceeding the capacity. */
    double max_slack_use{0.2};
    /** @brief Within a class, jobs that have begun come first. */
    bool finish_begun_first{true};
    /** @brief Interval at which all waiting jobs are classified again. */
    duration triage_interval{std::chrono::milliseconds{100}};
    /** @brief Fraction of the work placed under overload that belongs to the
     * step that has waited longest. */
    double aging_share{0.1};
    /** @brief Minimum time between two ledger entries of the observed run
     * times. */
    duration run_times_interval{std::chrono::milliseconds{5000}};
    /** @brief How long ended jobs are tracked; late ledger entries of such a
     * job are ignored. */
    duration ended_retention{std::chrono::seconds{600}};
    /** @brief Maximum number of tasks of the occurrences of a job that are
     * tracked at a time; two occurrences always are. Further ones wait until
     * earlier ones are complete. */
    std::size_t max_open_tasks{4096};
    /** @brief Moving tasks off workers that leave. */
    relocation_options relocation;
};

/** @brief Ledger entries to append in one call. */
struct ledger_batch
{
    std::uint64_t number{};
    std::vector<ledger_entry> entries;
};

/** @brief Advice request assigned to a node. */
struct advice_assignment
{
    std::string member;
    advice_request request;
};

/** @brief Requests to send now. */
struct dispatcher_requests
{
    std::vector<advice_assignment> advice_assignments;
    std::vector<start_request> starts;
    std::vector<stop_request> stops;
    std::vector<throttle_request> throttles;
    std::vector<poll_request> polls;
};

/** @brief Decision and its reason, for the log. */
struct decision
{
    std::uint64_t job{};
    std::string_view what;
    std::string detail;
};

/** @brief Time that a step spent in each phase. */
struct step_timing
{
    /** @brief From ready to its first tickets. */
    duration advice{};
    /** @brief From tickets to the placement of its last task. */
    duration placement{};
    /** @brief From placement to the end of its last task. */
    duration run{};
};

/** @brief Time that a job and its steps took. */
struct job_timing
{
    duration total{};
    /** @brief It ended within its latency objective. */
    bool in_time{false};
    std::vector<step_timing> steps;
};

/** @brief Tasks that were stopped to continue on another worker. */
struct relocation_counts
{
    /** @brief From workers that shut down. */
    std::size_t departures{};
    /** @brief From workers in evacuated zones. */
    std::size_t evacuations{};
};

/** @brief Recorded placements whose start was not sent, by reason. */
struct withheld_starts
{
    /** @brief The worker no longer accepts tasks or does not respond. */
    std::size_t worker{};
    /** @brief The worker's capacity no longer suffices. */
    std::size_t capacity{};
    /** @brief The tickets of the step have expired. */
    std::size_t ticket{};
};

/** @brief What restarts of workers and late answers of theirs have led to. */
struct restart_counts
{
    /** @brief Restarts by what told of them first. */
    std::size_t from_directory{};
    std::size_t from_poll{};
    std::size_t from_start{};
    /** @brief Polls sent again, as a start had overtaken them. */
    std::size_t overtaken_polls{};
    /** @brief Results taken of runs that had been given up. */
    std::size_t late_results{};
    /** @brief Polls that did not acknowledge recorded ends, as a start without
     * a response may still be executed. */
    std::size_t withheld_acknowledgements{};
};

/** @brief Counts of the state that a dispatcher tracks. */
struct dispatcher_counts
{
    std::size_t jobs{};
    /** @brief Tasks of the tracked occurrences of all jobs. */
    std::size_t tracked_tasks{};
    std::size_t waiting{};
    /** @brief Waiting tasks whose account is at its limit. */
    std::size_t waiting_for_limit{};
    /** @brief Waiting tasks, by the class of their job. */
    std::array<std::size_t, triage_classes> waiting_by_class{};
    /** @brief Jobs that this leader found unable to meet their objective. */
    std::uint64_t demotions{};
    /** @brief Other waiting tasks, of steps without a valid ticket. */
    std::size_t waiting_for_advice{};
    /** @brief Of these steps, the one that has waited longest for tickets. */
    step_key longest_advice_wait_step;
    duration longest_advice_wait{};
    std::size_t placed{};
    std::size_t workers{};
    std::size_t fenced_workers{};
    /** @brief Workers with tasks whose last poll got no response, so that
     * their lease is not renewed. */
    std::size_t unanswered_workers{};
    /** @brief Other workers with tasks whose lease is not renewed because the
     * ledger does not yet name this leader for them. */
    std::size_t unrecorded_workers{};
    /** @brief Workers that currently accept new tasks. */
    std::size_t usable_workers{};
    /** @brief Workers in quarantine, and those that have not yet ended a task
     * well since. */
    std::size_t quarantined_workers{};
    std::size_t probed_workers{};
    /** @brief Total capacity of the usable workers, and the amount in use. */
    resource_amounts capacity;
    resource_amounts used;
    /** @brief Zones in which no task is started, and the tasks that still run
     * there. */
    std::size_t evacuated_zones{};
    std::size_t tasks_in_evacuated_zones{};
    /** @brief What these tasks wait for. */
    evacuation_backlog evacuation_left;
};

/**
 * @brief Decides which task runs on which worker; only the leader node runs it.
 *
 * Performs no I/O. A placement is first returned as part of a ledger batch; its
 * start request follows only after the batch is recorded, so that a successor
 * knows where each task may run.
 */
class dispatcher
{
public:
    /**
     * @brief Restores the state of the live jobs.
     * @param options Timing parameters and limits.
     * @param ledger_jobs Index of all ledger entries.
     * @param now Current time.
     * @param unix_ms Current wall-clock time in Unix milliseconds.
     */
    dispatcher(const dispatcher_options& options, const job_index& ledger_jobs,
               time_point now, std::int64_t unix_ms);
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    ~dispatcher();

    /** @param members Live nodes, sorted. */
    void set_members(std::span<const std::string> members);

    /** @param config Active configuration. */
    void set_config(std::shared_ptr<const cell_config> config);

    /**
     * @brief Updates the directory of workers.
     * @param vms All listed workers.
     * @param now Current time.
     */
    void set_workers(std::span<const worker_vm> vms, time_point now);

    /**
     * @brief Sets the zones in which no task is started until further notice,
     * also no task whose placement is already recorded.
     * @param zones All zones that operators have evacuated.
     */
    void set_evacuated_zones(const std::set<std::string>& zones);

    /**
     * @brief Handles a change of a job that another node recorded.
     * @param id Job.
     * @param entry Its current ledger entries.
     * @param now Current time.
     * @param unix_ms Current wall-clock time in Unix milliseconds.
     */
    void on_job_changed(std::uint64_t id, const job_entry& entry,
                        time_point now, std::int64_t unix_ms);

    /**
     * @brief Handles the loss of a request that a node did not accept.
     * @param assignment Assigned request.
     * @param now Current time.
     */
    void on_assignment_lost(const advice_assignment& assignment,
                            time_point now);

    /**
     * @brief Handles the result of a start request.
     * @param request Request that was sent.
     * @param response Its response.
     * @param now Current time.
     */
    void on_start_result(const start_request& request,
                         const start_response& response, time_point now);

    /**
     * @brief Handles the result of a stop request.
     * @param request Request that was sent.
     * @param answered True if the worker acknowledged it.
     * @param now Current time.
     */
    void on_stop_result(const stop_request& request, bool answered,
                        time_point now);

    /**
     * @brief Handles the result of a poll.
     * @param request Request that was sent.
     * @param result Its result.
     * @param response Response; ignored unless the result is `answered`.
     * @param sent_at When the request was sent.
     * @param now Current time.
     */
    void on_poll_result(const poll_request& request, poll_result result,
                        const poll_response& response, time_point sent_at,
                        time_point now);

    /**
     * @brief Places waiting tasks.
     * @param now Current time.
     * @param unix_ms Current wall-clock time in Unix milliseconds.
     */
    void plan(time_point now, std::int64_t unix_ms);

    /**
     * @brief Returns the changes since the last batch.
     * @param unix_ms Current wall-clock time in Unix milliseconds.
     * @return Entries to append; empty if nothing has changed.
     */
    [[nodiscard]] ledger_batch take_batch(std::int64_t unix_ms);

    /**
     * @brief Records that a batch was appended to the ledger.
     * @param number Number of the batch.
     * @param now Current time.
     */
    void on_recorded(std::uint64_t number, time_point now);

    /**
     * @brief Handles an entry of a batch that the store never accepts. A job
     * whose progress cannot be recorded fails; a worker is not used.
     * @param key Key of the entry, which may be one of another node.
     * @param now Current time.
     */
    void on_rejected(std::string_view key, time_point now);

    /**
     * @brief Returns the requests that are due.
     * @param now Current time.
     * @return Requests to send now.
     */
    [[nodiscard]] dispatcher_requests take_requests(time_point now);

    /** @return Decisions since the last call, for the log. */
    [[nodiscard]] std::vector<decision> take_decisions();

    /** @return True once a worker has reported a higher epoch than this
     * leader's. */
    [[nodiscard]] bool superseded() const noexcept;

    /** @return Tasks moved since the last call. */
    [[nodiscard]] relocation_counts take_relocation_counts();

    /** @return Starts withheld since the last call. */
    [[nodiscard]] withheld_starts take_withheld_starts();

    /** @return Counts since the last call. */
    [[nodiscard]] restart_counts take_restart_counts();

    /** @return Timings of the jobs that ended since the last call. */
    [[nodiscard]] std::vector<job_timing> take_timings();

    /**
     * @brief Counts the tracked state.
     * @param now Current time.
     * @return Counts.
     */
    [[nodiscard]] dispatcher_counts count(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace rosemarytrail::fleet

#endif
