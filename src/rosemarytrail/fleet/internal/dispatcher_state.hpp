#ifndef ROSEMARYTRAIL_FLEET_INTERNAL_DISPATCHER_STATE_HPP
#define ROSEMARYTRAIL_FLEET_INTERNAL_DISPATCHER_STATE_HPP

#include <rosemarytrail/fleet/dispatcher.hpp>
#include <rosemarytrail/fleet/internal/work_order.hpp>

#include <boost/container/flat_set.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace rosemarytrail::fleet::internal {

struct tracked_step;
struct tracked_worker;

/** @brief Position of a waiting step in the order of service. */
struct step_rank
{
    service_group group;
    order_criterion criterion{order_criterion::urgency};
    /** @brief Position by the criterion. */
    double order{};
    step_key key;

    friend bool operator<(const step_rank& a, const step_rank& b) noexcept
    {
        return std::tie(a.group, a.criterion, a.order, a.key) <
               std::tie(b.group, b.criterion, b.order, b.key);
    }
};

/**
 * @brief Ranks a waiting step.
 *
 * Under overload, accounts within their share precede those beyond it, and jobs
 * that can end at a useful time the others; then priority decides, then whether
 * they can still meet their objective. Within such a class, the most urgent
 * jobs are first, or those that `overload_order` names if the class exceeds the
 * capacity. The rank is that of the last planning pass.
 * @param step Step.
 * @return Its rank; the smallest is served first.
 */
[[nodiscard]] step_rank rank_of(const tracked_step& step);

/** @brief Step with its rank. */
struct ranked_step
{
    step_rank rank;
    tracked_step* step{};
};

/**
 * @brief Orders steps by their rank.
 * @param a Step.
 * @param b Step.
 * @return True if `a` is served first.
 */
[[nodiscard]] inline bool served_before(const ranked_step& a,
                                        const ranked_step& b) noexcept
{
    return a.rank < b.rank;
}

/** @brief Phase of a task as tracked by the dispatcher. */
enum class task_phase : std::uint8_t
{
    waiting,
    /** @brief Placed; the start request is sent once the placement is
     * recorded. */
    placed,
    /** @brief The start request was sent; no result yet. */
    start_sent,
    /** @brief It may be running, as a previous leader placed it. */
    unknown,
    running,
    stopping,
    done
};

/** @brief What is known of a run of a task. */
enum class run_evidence : std::uint8_t
{
    /** @brief It may not have started. */
    none,
    /** @brief Its worker has confirmed the start. */
    started,
    /** @brief It was reported as running after the crash window, or a previous
     * leader started it. */
    settled,
    /** @brief It ran for so long that it does not crash its worker. */
    stable
};

/** @brief Start that a worker may still execute, though its run was given
 * up. */
struct pending_start
{
    std::string worker;
    /** @brief It is not executed after this time. */
    time_point executed_until;
};

/** @brief Start without a ticket that an incarnation of a worker may still
 * execute: it was sent, and the known incarnation has not responded to it. */
struct unsettled_start
{
    task_key task;
    std::uint32_t run{};
    /** @brief No incarnation of the worker executes it after this time. */
    time_point executed_until;
    /** @brief A list with the run shows that it was executed; false if there
     * may be copies of it. */
    bool settled_by_list{false};
};

/** @brief Task as tracked by the dispatcher. */
struct task_state
{
    task_phase phase{task_phase::waiting};
    std::uint32_t run{};
    /** @brief A run has begun. */
    bool begun{false};
    /** @brief An earlier run has completed; the task is done once the current
     * one is over. */
    bool result_known{false};
    /** @brief Numbers of the runs that ended as failed; a worker may list an
     * end more than once. Unused if the task lasts. */
    std::vector<std::uint32_t> failed_runs;
    /** @brief Worker whose capacity it occupies; empty while it waits. */
    std::string worker;
    std::string checkpoint;
    /** @brief When the phase began. */
    time_point since;
    /** @brief This leader sent the start request. */
    bool start_seen{false};
    time_point start_requested_at;
    /** @brief The start has no response yet. */
    bool start_unanswered{false};
    /** @brief Start of an earlier run. A stop is forgotten when its worker
     * restarts, but so is a run there, so the task goes to no other worker. */
    std::optional<pending_start> earlier_start;
    /** @brief The known incarnation of its worker has executed the start, so
     * that the run ends with it. */
    bool confirmed{false};
    /** @brief The ledger says so. */
    bool confirmation_recorded{false};
    time_point stop_sent;
    std::optional<time_point> stop_acknowledged;
    std::int32_t percent{};
    /** @brief When `percent` was reported. */
    time_point percent_at;
    /** @brief When `percent` last rose. */
    time_point progress_at;
    /** @brief The run counts as one without progress. */
    bool stalled{false};
    /** @brief The run began with the work saved in a checkpoint, or its start
     * is not known. */
    bool resumed{false};
    /** @brief When a run that was at work ended other than by a stop. */
    std::optional<time_point> lost_at;
    std::uint32_t cpu_limit_percent{100};
    /** @brief Worker and duration of the successful run. */
    std::string completed_on;
    duration run_duration{};
    /** @brief Worker of the last failed run, avoided by the next run. */
    std::string failed_on;
    /** @brief Workers that refused a run since the last one that started,
     * avoided by the next run. */
    std::set<std::string> refused_by;
    /** @brief Evidence of the current run. */
    run_evidence evidence{run_evidence::none};
    crash_history crashes;

    /** @return True if it occupies capacity on a worker. */
    [[nodiscard]] bool occupies_worker() const noexcept
    {
        return phase != task_phase::waiting && phase != task_phase::done;
    }

    /** @return True if the start of the current run was sent and the run may
     * not be over. */
    [[nodiscard]] bool was_sent() const noexcept
    {
        return occupies_worker() && phase != task_phase::placed;
    }

    /** @return True if a run of it has completed. */
    [[nodiscard]] bool has_result() const noexcept
    {
        return phase == task_phase::done || result_known;
    }

    /** @return True if the worker may crash because of the current run. */
    [[nodiscard]] bool may_crash_worker() const noexcept
    {
        return was_sent() && evidence != run_evidence::stable;
    }
};

struct tracked_job;

/** @brief Which incarnation of a worker has responded, as its clock tells. */
enum class responder : std::uint8_t
{
    known,
    /** @brief A later one: each begins with a clock of its own. */
    later,
    undecided
};

/** @brief Resources that a client account uses. */
struct account_usage
{
    resource_amounts used;
    /** @brief Limit of the configuration in force; zero for none. */
    resource_amounts limit;
};

/** @brief Step of one occurrence as tracked by the dispatcher. */
struct tracked_step
{
    step_key key;
    const step_spec* spec{};
    tracked_job* job{};
    std::vector<task_state> tasks;
    std::size_t waiting{};
    std::size_t done{};
    /** @brief Tickets by worker; empty until advice is granted. */
    std::map<std::string, std::string> tickets;
    /** @brief Workers with a ticket, looked up once for each version of the
     * directory. */
    std::vector<tracked_worker*> allowed;
    std::uint64_t allowed_as_of{};
    /** @brief A worker could run it if the worker were empty; looked up once
     * for each version of the directory. */
    bool suits_a_worker{false};
    std::uint64_t suits_as_of{};
    time_point tickets_until;
    /** @brief When the last applied advice was read. */
    time_point advice_read_at;
    /** @brief Time until which a response to the last request may arrive. */
    time_point request_deadline;
    /** @brief Node that the open request is assigned to; empty if none is
     * open. */
    std::string assigned_node;
    duration request_cost{};
    /** @brief Workers in the open request. */
    std::set<std::string> requested_workers;
    /** @brief Workers that responses refused or granted; the service does not
     * change its response about a worker. */
    std::set<std::string> refused;
    std::set<std::string> granted;
    /** @brief Next time that the refused workers are requested again. */
    time_point next_refused_retry;
    /** @brief Interval up to that time; zero once a new worker was granted. */
    duration refused_retry{};
    /** @brief Next check for further candidates. */
    time_point next_widening;
    /** @brief The occurrence is due and all preceding steps are done, so that
     * tasks may be placed. */
    bool ready{false};
    /** @brief When it became ready, received tickets, was fully placed and was
     * done. */
    time_point ready_at;
    time_point advised_at;
    time_point placed_at;
    time_point done_at;
    /** @brief Longest run of its tasks on a worker of usual speed. */
    duration longest_run{};
    /** @brief Number of tasks whose progress one ledger entry holds. */
    std::uint32_t tasks_per_entry{1};
    /** @brief First tasks of the progress entries that have changed, and of
     * those that the ledger may hold. */
    boost::container::flat_set<std::uint32_t> changed_entries;
    boost::container::flat_set<std::uint32_t> recorded_entries;

    [[nodiscard]] bool complete() const noexcept
    {
        return done == tasks.size();
    }
};

/**
 * @brief Checks whether an occurrence is complete.
 * @param steps Its steps.
 * @return True if all tasks are done.
 */
[[nodiscard]] inline bool is_complete(std::span<const tracked_step> steps)
{
    return std::ranges::all_of(steps, &tracked_step::complete);
}

/** @brief Job as tracked by the dispatcher. */
struct tracked_job
{
    job_record record;
    std::shared_ptr<const std::string> payload;
    account_usage* account{};
    /** @brief Steps of each tracked occurrence. Only occurrences that are due
     * are tracked, and the next one if there are none. */
    std::vector<std::vector<tracked_step>> occurrences;
    /** @brief Number of the first tracked occurrence; all earlier ones are
     * complete. */
    std::uint32_t first_occurrence{};
    /** @brief The ledger may hold the number of completed occurrences. */
    bool occurrences_recorded{false};
    /** @brief Progress entries of completed occurrences that the ledger may
     * hold. */
    std::vector<task_key> obsolete_entries;
    bool cancelled{false};
    bool failed{false};
    std::optional<job_state> outcome;
    /** @brief Submitted beyond the account's share; served after other jobs. */
    bool beyond_share{false};
    time_point accepted;
    /** @brief Deadline of the latency objective. */
    time_point objective;
    /** @brief Longest chain of dependent declared work, in milliseconds. */
    std::int64_t chain_ms{};
    /** @brief Number of tasks that occupy a worker. */
    std::size_t active{};
    job_triage triage;

    /**
     * @brief Visits the steps of all tracked occurrences.
     * @param visit Called with each step.
     */
    template <typename Visit>
    void each_step(const Visit& visit)
    {
        for (auto& steps : occurrences) {
            std::ranges::for_each(steps, visit);
        }
    }

    /** @copydoc each_step(const Visit&) */
    template <typename Visit>
    void each_step(const Visit& visit) const
    {
        for (const auto& steps : occurrences) {
            std::ranges::for_each(steps, visit);
        }
    }

    /** @return Number of the first occurrence that is not tracked yet. */
    [[nodiscard]] std::uint32_t next_occurrence() const noexcept
    {
        return first_occurrence +
               static_cast<std::uint32_t>(occurrences.size());
    }

    [[nodiscard]] bool ended() const noexcept
    {
        return cancelled || failed || outcome.has_value();
    }
};

/** @brief Worker as tracked by the dispatcher. */
struct tracked_worker
{
    worker_vm vm;
    /** @brief The directory currently lists it. */
    bool listed{true};
    /** @brief An operator has evacuated its zone. */
    bool evacuated{false};
    /** @brief Earliest time at which it shuts down, if it drains and that is
     * known. */
    std::optional<time_point> leaves_at;
    /** @brief Next move of a task, if it drains and that time is not known. */
    time_point next_slow_move;
    resource_amounts used;
    std::set<task_key> load;
    /** @brief It has responded under this leader's epoch. */
    bool fenced{false};
    /** @brief The ledger records that this leader may renew its lease. */
    bool renewable{false};
    /** @brief Another incarnation has responded at its address. */
    bool replaced{false};
    /** @brief It has restarted, and its new incarnation has not responded. */
    bool restarted{false};
    /** @brief Number of its restarts that this leader has noticed. */
    std::uint32_t restarts{};
    /** @brief Generation of calls to it: raised by each restart, and by the
     * first start after a poll. */
    std::uint32_t generation{};
    /** @brief A poll was sent in this generation. */
    bool polled_in_generation{false};
    /** @brief A clock has told of the last restart; the incarnation in `vm` is
     * the one before. */
    bool incarnation_outdated{false};
    /** @brief Calls to its previous incarnation may still take effect. */
    bool previous_calls_possible{false};
    /** @brief Tasks whose runs were lost with it, until it is known whether it
     * crashed. */
    std::set<task_key> unexplained_losses;
    time_point losses_expire;
    /** @brief New run of a task under which a worker crashed before; other
     * tasks prefer other workers until it is settled. */
    std::optional<task_key> isolated_run;
    /** @brief Number of new runs, counted in the planning pass `counted_in`. */
    std::size_t new_runs{};
    std::uint64_t counted_in{};
    std::optional<std::int64_t> clock_ms;
    time_point clock_at;
    /** @brief Latest time at which the known incarnation is known to have been
     * alive. */
    time_point alive_at;
    /** @brief Its clock then, or later. */
    std::int64_t alive_clock_ms{};
    /** @brief No run of this or an earlier leader that the known incarnation
     * executes continues there after this time. */
    time_point lease_until;
    /** @brief The same for a run that a later incarnation may execute, as the
     * known one has not confirmed it. */
    time_point unconfirmed_until;
    /** @brief When the last start that was sent had been requested. */
    time_point last_start_at;
    /** @brief The same of the last one without a response. */
    time_point unanswered_start_at;
    std::vector<unsettled_start> unsettled_starts;
    /** @brief A poll that was sent while there were any may renew a lease up to
     * this time, if it is carried out late. */
    time_point late_renewals_until;
    /** @brief Bound on leases whose end was set on the clock of an earlier
     * incarnation. */
    time_point previous_clock_lease_until;
    /** @brief The ledger names that bound. */
    bool recorded_as_restarted{false};
    /** @brief Highest sequence number of an ended run that was read, and that
     * was recorded and is acknowledged. */
    std::uint64_t last_seen_end{};
    std::uint64_t last_recorded_end{};
    /** @brief Number of ended runs in the last list. */
    std::size_t listed_ends{};
    /** @brief Sequence number that each open batch will record. */
    std::map<std::uint64_t, std::uint64_t> in_batch;
    bool poll_in_flight{false};
    time_point next_poll;
    time_point last_renewal;
    std::uint32_t unanswered{};
    /** @brief When the last poll was sent whose response was accepted. */
    time_point list_requested_at;
    /** @brief Reported runs that the dispatcher does not track. */
    std::size_t untracked_runs{};
    worker_health health;
    /** @brief Its only task after a quarantine, or a member of its only gang,
     * until that ends or is lost. */
    std::optional<task_key> probe;
    /** @brief Time until which it is slow after its start. */
    time_point cold_until;
    /** @brief Run time of its tasks relative to other tasks of the same
     * steps. */
    double slowness{1.0};
    std::uint32_t scavenger_cpu_limit_percent{100};
    time_point throttle_changed;

    [[nodiscard]] resource_amounts available() const noexcept
    {
        return vm.capacity - used;
    }

    /** @return True if new tasks are kept away because it is about to leave or
     * its zone is evacuated. */
    [[nodiscard]] bool closing() const noexcept
    {
        return vm.draining || evacuated;
    }
};

/**
 * @brief Returns how many more tasks of a step its `tasks_per_vm` allows.
 * @param worker Worker.
 * @param step Step.
 * @return Number of tasks; the largest number if there is no limit.
 */
[[nodiscard]] std::uint32_t tasks_allowed_on(const tracked_worker& worker,
                                             const tracked_step& step);

} // namespace rosemarytrail::fleet::internal

namespace rosemarytrail::fleet {

struct dispatcher::state
{
    using task_phase = internal::task_phase;
    using task_state = internal::task_state;
    using tracked_step = internal::tracked_step;
    using tracked_job = internal::tracked_job;
    using tracked_worker = internal::tracked_worker;
    using ranked_step = internal::ranked_step;

    /** @brief Why the start of a recorded placement is not sent. */
    enum class start_obstacle : std::uint8_t
    {
        none,
        job_ended,
        incomplete_gang,
        worker,
        capacity,
        ticket
    };

    dispatcher_options options;
    std::shared_ptr<const cell_config> config;
    std::unordered_map<std::uint64_t, std::unique_ptr<tracked_job>> jobs;
    std::map<std::string, tracked_worker> workers;
    /** @brief Ledger records of the workers at the start of this leader. */
    std::map<std::string, ledger_worker> recorded_workers;
    /** @brief What remains of a worker that is tracked no more. */
    struct removed_worker
    {
        std::string address;
        std::int64_t incarnation{};
        std::uint32_t restarts{};
        /** @brief If it is listed again, it has seen the tokens of these. */
        std::uint32_t generation{};
        std::vector<internal::unsettled_start> unsettled_starts;
    };
    std::map<std::string, removed_worker> removed_workers;
    std::set<std::string> evacuated_zones;
    /** @brief Incremented when workers are added or removed, or one of them
     * changes its kind. */
    std::uint64_t workers_version{1};
    std::map<std::string, internal::account_usage> accounts;
    /** @brief Steps whose tasks may be placed; scanned at each planning
     * pass. */
    boost::container::flat_set<tracked_step*> ready;
    boost::container::flat_set<tracked_step*> dirty;
    /** @brief Jobs with occurrences. */
    std::set<std::uint64_t> scheduled;
    /** @brief Jobs whose number of completed occurrences is to be recorded. */
    std::set<std::uint64_t> advanced_jobs;
    std::vector<tracked_job*> finished;
    std::vector<start_request> starts;
    std::vector<stop_request> stops;
    std::vector<throttle_request> throttles;
    std::vector<decision> decisions;
    std::vector<job_timing> timings;
    std::vector<ledger_entry> removals;
    /** @brief Placed run whose start is sent once the placement is recorded. */
    struct placed_run
    {
        task_key task;
        std::uint32_t run{};
    };
    struct open_batch
    {
        std::vector<placed_run> placed;
        std::vector<std::uint64_t> finished;
        std::vector<std::string> workers;
    };
    std::map<std::uint64_t, open_batch> batches;
    std::uint64_t next_batch{1};
    std::vector<placed_run> placed;
    std::vector<std::string> members;
    /** @brief Open advice requests of a node and their expected total time. */
    struct node_backlog
    {
        std::size_t requests{};
        duration cost{};
        /** @brief It lost a request, and others are preferred until then. */
        time_point distrusted_until;
        /** @brief Length of that time, which grows with each lost request. */
        duration distrust{};
    };
    std::map<std::string, node_backlog> open_requests;
    /** @brief Number of advice requests assigned so far. */
    std::size_t opened_requests{};
    std::vector<advice_assignment> advice_assignments;
    /** @brief Estimated fraction of requested workers that is granted, by
     * queue. */
    std::map<std::string, double> granted_share;
    /** @brief Workers to record as renewed by this leader. */
    std::vector<std::string> newly_renewed;
    /** @brief Workers to record as no longer renewed. */
    std::vector<std::string> newly_unresponsive;
    /** @brief Ended jobs; late ledger entries must not add them again. */
    std::unordered_set<std::uint64_t> ended;
    /** @brief Ended jobs in the order of their end. */
    std::deque<std::pair<time_point, std::uint64_t>> ended_order;
    time_point last_plan;
    /** @brief Wall-clock time of the last planning pass. */
    std::int64_t last_plan_unix_ms{};
    time_point next_relocation;
    /** @brief When workers that were set aside accept a probe, and a larger
     * one. */
    std::set<time_point> probe_times;
    /** @brief When earlier starts of tasks may have no effect any more. */
    std::set<std::pair<time_point, task_key>> ties;
    evacuation_budget evacuation_moves;
    relocation_counts relocated;
    withheld_starts withheld;
    restart_counts restart_counters;
    evacuation_backlog evacuation_left;
    image_health images;
    /** @brief No worker executes a start of a previous leader after this
     * time. */
    time_point previous_starts_until;
    std::uint64_t planning_pass{};
    time_point last_advice_scan;
    /** @brief Remaining checks for further candidates of expired steps in this
     * scan. */
    std::size_t candidate_checks_left{};
    /** @brief Jobs whose outcome is recorded; removed once their last task has
     * stopped. */
    std::set<std::uint64_t> awaiting_removal;
    internal::work_order service_order;
    bool replan{true};
    bool superseded{false};

    [[nodiscard]] tracked_step* find_step(const step_key& key);
    [[nodiscard]] task_state* find_task(const task_key& key);
    [[nodiscard]] duration worst_case(duration length) const;
    [[nodiscard]] duration worst_case_lease() const;
    void on_unanswered(tracked_worker& worker);
    [[nodiscard]] ledger_entry worker_entry(const std::string& worker,
                                            bool renewing);
    void restore_lease_bounds(const job_index& ledger_jobs, time_point now);
    void restore_worker(tracked_worker& worker,
                        const ledger_worker& known) const;
    /** @return Limit of an account; zero for none. */
    [[nodiscard]] resource_amounts limit_of(const std::string& account) const;
    void add_job(const job_entry& entry, time_point now, std::int64_t unix_ms);
    void restore_tasks(tracked_step& step, std::uint32_t first,
                       const std::vector<task_progress>& rows, time_point now);
    void apply_advice(tracked_step& step, const ledger_advice& advice);
    void update_granted_share(tracked_step& step, const advice_grant& grant);
    /** @brief Has the progress of a task written with the next batch. */
    void record_progress(tracked_step& step, std::uint32_t index);
    /** @brief The same after a change that planning depends on. */
    void mark_dirty(tracked_step& step, std::uint32_t index);
    void add_progress(tracked_step& step, std::vector<ledger_entry>& entries);
    void add_outcome(const tracked_job& job, std::int64_t unix_ms,
                     std::vector<ledger_entry>& entries) const;
    void allocate(tracked_step& step, std::uint32_t index,
                  const std::string& worker);
    void release(tracked_step& step, std::uint32_t index);
    /** @brief Returns the task of a run that is over to waiting, or completes
     * it if an earlier run has. */
    void back_to_waiting(tracked_step& step, std::uint32_t index,
                         time_point now);
    void set_done(tracked_step& step, std::uint32_t index);
    // internal/occurrences.cpp
    void track_next_occurrence(tracked_job& job);
    [[nodiscard]] bool tracks_next(const tracked_job& job,
                                   std::int64_t unix_ms) const;
    void drop_first_occurrence(tracked_job& job);
    void update_occurrences(tracked_job& job, std::int64_t unix_ms);
    void restore_occurrences(tracked_job& job, const job_entry& entry,
                             time_point now);
    void add_occurrences(tracked_job& job, std::vector<ledger_entry>& entries);

    void update_ready(tracked_job& job, std::int64_t unix_ms);
    void drop_ended_jobs();
    void count_waiting(const tracked_step& step, time_point now,
                       dispatcher_counts& counts) const;
    void finish_job(tracked_job& job, job_state outcome);
    void remember_ended(std::uint64_t id);
    void check_finished(tracked_job& job);
    void cancel_job(tracked_job& job, time_point now);
    void fail_job(tracked_job& job, std::string_view why, time_point now);
    void stop_all(tracked_job& job, time_point now);
    void stop_task(tracked_step& step, std::uint32_t index, time_point now);
    [[nodiscard]] start_obstacle obstacle_to_start(const tracked_step& step,
                                                   std::uint32_t index,
                                                   time_point now) const;
    void withhold_start(tracked_step& step, std::uint32_t index,
                        start_obstacle obstacle, time_point now);
    void abort_gang(tracked_step& step, time_point now);
    void lose_run(tracked_step& step, std::uint32_t index, time_point now);
    void send_start(const placed_run& it, time_point now);
    void on_ended(tracked_worker& worker, const ended_row& row, time_point now);
    void on_late_end(const tracked_worker& worker, tracked_step& step,
                     const ended_row& row, time_point now);
    void take_result(tracked_step& step, std::uint32_t index, time_point now);
    void complete_task(tracked_step& step, std::uint32_t index, time_point now);
    void check_complete(tracked_step& step, time_point now);
    void on_run_failed(tracked_worker& worker, tracked_step& step,
                       std::uint32_t index, time_point now);
    void count_failed_run(tracked_step& step, std::uint32_t index,
                          std::uint32_t run, time_point now);

    // internal/worker_quarantine.cpp
    void record_bad_run(tracked_worker& worker, const task_key& task,
                        bad_run cause, time_point now);
    void record_good_run(tracked_worker& worker, const task_key& task,
                         time_point now);
    /** @brief Has tasks that no other worker can run tried again after the bad
     * run of a worker that is set aside. */
    void expect_last_resort(const tracked_worker& worker, time_point now);
    [[nodiscard]] static bool is_probe(const tracked_worker& worker,
                                       const tracked_step& step,
                                       std::uint32_t index);
    [[nodiscard]] bool accepts_probe(const tracked_worker& worker,
                                     const tracked_step& step,
                                     time_point now) const;
    [[nodiscard]] bool accepts_last_resort(const tracked_worker& worker,
                                           const tracked_step& step,
                                           time_point now) const;
    /** @return True if a worker that is not set aside could run the step if
     * the worker were empty. */
    [[nodiscard]] bool has_sound_worker(const tracked_step& step,
                                        time_point now) const;
    void check_progress(tracked_worker& worker, tracked_step& step,
                        const running_row& row, time_point sent_at);
    void log_untracked(const tracked_worker& worker, const running_row& row,
                       const task_state* task);
    void compare_running(tracked_worker& worker, const poll_response& response,
                         time_point sent_at, time_point now);
    void throttle_scavengers(tracked_worker& worker,
                             const poll_response& response, time_point now);
    // internal/worker_incarnations.cpp
    [[nodiscard]] duration worst_case_previous_lease() const;
    [[nodiscard]] internal::responder
    identify_responder(const tracked_worker& worker, std::int64_t clock_ms,
                       time_point sent_at, time_point now) const;
    static void observe_alive(tracked_worker& worker, std::int64_t clock_ms,
                              time_point sent_at);
    /** @return Incarnation that has responded. */
    internal::responder observe_response(const start_request& request,
                                         const start_response& response,
                                         time_point now);
    static void begin_generation(tracked_worker& worker);
    /** @return True if the last start may still be answered. */
    [[nodiscard]] static bool awaits_start_response(const tracked_worker& it);
    /** @return True if the start must not be sent. */
    [[nodiscard]] bool drop_outdated_start(const start_request& request,
                                           time_point now);
    void assign_generations(dispatcher_requests& requests, time_point now);
    void remember_start(tracked_step& step, std::uint32_t index,
                        time_point now);
    void tie_to_worker(tracked_step& step, std::uint32_t index,
                       const std::string& worker, time_point executed_until);
    /** @brief Frees tasks whose earlier start can have no effect any more. */
    void release_ties(time_point now);
    /** @return Time until which a worker may execute the start of an earlier
     * run, or may have that run. */
    [[nodiscard]] time_point open_start_until(const task_state& task) const;
    /** @return Start of an earlier run that its worker may execute, or of which
     * it may have the run. */
    [[nodiscard]] const internal::pending_start*
    find_open_start(const task_state& task, time_point now) const;
    void confirm_run(tracked_step& step, std::uint32_t index, time_point now);
    [[nodiscard]] bool may_run_in_later_incarnation(const task_key& key,
                                                    time_point now);
    [[nodiscard]] duration start_delay_limit(const tracked_step& step,
                                             time_point now) const;
    [[nodiscard]] duration longest_start_delay(const tracked_worker& worker,
                                               time_point now);
    /** @param source What tells of the restart. */
    void on_restarted(tracked_worker& worker, time_point now,
                      std::string_view source);
    void on_later_incarnation(tracked_worker& worker, time_point now,
                              std::string_view source, std::size_t& counter);

    // internal/unsettled_starts.cpp
    /** @brief Handles the response to a start, or its failure. */
    void settle_by_response(const start_request& request,
                            const start_response& response,
                            internal::responder by, time_point now);
    static void erase_unsettled(tracked_worker& worker,
                                const start_request& request);
    void allow_for_late_renewal(tracked_worker& worker, time_point now) const;
    /** @brief Keeps a start that a previous leader may have sent.
     * @param run Its run, or zero if that is not known. */
    void inherit_unsettled(tracked_worker& worker, const task_key& task,
                           std::uint32_t run);
    /** @brief Handles an end of a task that has its result in the ledger. */
    void on_unacknowledged_end(tracked_worker& worker, const task_key& task,
                               time_point now);
    static void settle_by_list(tracked_worker& worker, const task_key& task,
                               std::uint32_t run);
    static void drop_settled_starts(tracked_worker& worker);
    /** @return True if the worker lists so many ends that no start without a
     * ticket may hold back their acknowledgement for longer. */
    [[nodiscard]] bool lists_too_many_ends(const tracked_worker& worker) const;

    // internal/worker_crashes.cpp
    void remember_losses(tracked_worker& worker, std::span<const task_key> lost,
                         bool expired, time_point now);
    void explain_losses(tracked_worker& worker, bool crashed, time_point now);
    void count_crash(tracked_step& step, std::uint32_t index,
                     bool run_confirmed, time_point now);
    void clear_crashes(tracked_step& step, std::uint32_t index);
    void on_replaced(tracked_worker& worker, time_point now);
    void observe_running(tracked_worker& worker, const task_key& key,
                         time_point sent_at);
    [[nodiscard]] bool exceeds_crash_limit(const task_state& task) const;
    [[nodiscard]] bool awaits_crash_proof(const task_state& task) const;
    [[nodiscard]] std::size_t count_new_runs(tracked_worker& worker);

    void lose_tasks(tracked_worker& worker, std::span<const task_key> lost,
                    time_point now, std::string_view cause);
    void lose_expired(tracked_worker& worker, time_point now);
    void reset_session(tracked_worker& worker);
    [[nodiscard]] std::int64_t lease_end(tracked_worker& worker,
                                         time_point now) const;
    void log_decision(std::uint64_t job, std::string_view what,
                      std::string detail);
    [[nodiscard]] job_timing timing_of(const tracked_job& job) const;
    [[nodiscard]] std::string describe_timing(const tracked_job& job,
                                              const job_timing& timing) const;

    // internal/worker_speed.cpp
    void update_speeds(const tracked_step& step);
    void update_speed_by_progress(tracked_worker& worker,
                                  const tracked_step& step,
                                  const running_row& row, time_point now);

    // internal/work_order.cpp
    void restore_run_times(const job_index& ledger_jobs, time_point now);
    void record_run_times(std::vector<ledger_entry>& entries);
    void observe_run(const tracked_worker& worker, tracked_step& step,
                     std::uint32_t index, time_point now);
    [[nodiscard]] duration expected_run(const tracked_step& step,
                                        std::size_t tasks) const;
    void estimate(tracked_job& job, time_point now) const;
    void refresh_estimate(tracked_job& job, time_point now);
    void classify_job(tracked_job& job, time_point now);
    void set_criterion(tracked_job& job, bool overloaded) const;
    void update_order(time_point now);
    void find_overload(time_point now);
    [[nodiscard]] double account_cores(const std::string& name) const;
    [[nodiscard]] bool is_at_limit(const tracked_job& job) const;
    void serve_longest_waiting(std::span<const ranked_step> waiting,
                               time_point now);
    void add_aging_credit(double placed_work, bool tasks_left);
    [[nodiscard]] double work_of(const tracked_step& step) const;

    // internal/advice_scheduling.cpp
    void plan_advice(time_point now);
    void close_request(tracked_step& step);
    void open_request(tracked_step& step, const std::string& node,
                      time_point now);
    /** @return Node for the next request; null if all are full. */
    [[nodiscard]] const std::string*
    least_loaded(std::span<const std::string> nodes,
                 const std::function<bool(const node_backlog&)>& is_full,
                 time_point now);
    void lose_request(tracked_step& step, time_point now);
    [[nodiscard]] duration typical_cost(const advice_policy& policy) const;
    void close_if_stale(tracked_step& step, time_point now);
    [[nodiscard]] bool wants_slow_advice(const tracked_step& step,
                                         time_point now) const;
    [[nodiscard]] bool wants_fast_advice(const tracked_step& step,
                                         time_point now) const;
    /** @brief Steps that need advice. */
    struct advice_candidates
    {
        std::vector<ranked_step> startable;
        /** @brief Steps that cannot start, such as those of an account at its
         * limit. */
        std::vector<ranked_step> blocked;
    };
    /** @brief What a scan for steps that need advice has found. */
    struct advice_scan
    {
        advice_candidates fast;
        advice_candidates slow;
        /** @brief Time that the fast requests of steps which could start with
         * their responses take. */
        duration fast_backlog{};
    };
    void scan_for_advice(tracked_step& step, advice_scan& scan, time_point now);
    /** @brief Orders steps by rank; those that cannot start come last. */
    [[nodiscard]] std::vector<ranked_step>
    order_for_advice(advice_candidates steps) const;
    void request_fast_advice(std::span<const ranked_step> order,
                             time_point now);
    void request_slow_advice(std::span<const ranked_step> order,
                             std::span<const std::string> pool, time_point now);
    [[nodiscard]] std::vector<std::string> slow_nodes(duration fast_backlog,
                                                      time_point now) const;
    [[nodiscard]] bool wants_advice(tracked_step& step, std::size_t position,
                                    time_point now);
    [[nodiscard]] bool has_capacity(tracked_step& step, time_point now);
    [[nodiscard]] bool can_use_advice(tracked_step& step, time_point now);
    void schedule_refused_retry(tracked_step& step, time_point now) const;
    /** @return True if the step has candidates because of the retry. */
    bool retry_refused(tracked_step& step, time_point now);
    [[nodiscard]] bool nearly_ready(const tracked_step& step, duration horizon,
                                    time_point now) const;

    // internal/candidate_selection.cpp
    [[nodiscard]] std::size_t tasks_that_fit(const tracked_worker& worker,
                                             const tracked_step& step,
                                             time_point now) const;
    [[nodiscard]] std::vector<std::string>
    select_candidates(const tracked_step& step, time_point now) const;
    [[nodiscard]] bool has_more_candidates(const tracked_step& step,
                                           time_point now) const;

    // internal/task_relocation.cpp
    class spare_capacity;
    void relocate(time_point now);
    [[nodiscard]] std::vector<closing_step> closing_steps(time_point now);
    [[nodiscard]] closing_task view_of(const tracked_worker& worker,
                                       const tracked_step& step,
                                       std::uint32_t index,
                                       time_point now) const;
    [[nodiscard]] bool is_at_work(const tracked_step& step,
                                  const task_state& task) const;
    [[nodiscard]] std::size_t count_unavailable(const tracked_step& step,
                                                time_point now) const;
    void move_task(const task_relocation& move, time_point now);

    // internal/placement.cpp
    /** @return True if a worker could run the step if the worker were
     * empty. */
    [[nodiscard]] bool suits_a_worker(tracked_step& step) const;
    /** @return True if a waiting task may be placed now, given capacity. */
    [[nodiscard]] bool may_start(const tracked_step& step) const;
    [[nodiscard]] bool can_accept(const tracked_worker& worker,
                                  const tracked_step& step,
                                  time_point now) const;
    [[nodiscard]] static bool is_reachable(const tracked_worker& worker);
    [[nodiscard]] static bool accepts_work(const tracked_worker& worker,
                                           time_point now);
    /** @return True if the worker belongs to the service of the step and has
     * the label that it requires. */
    [[nodiscard]] static bool is_of_kind(const tracked_worker& worker,
                                         const tracked_step& step);
    /** @return True if the worker could run the step if it were empty. */
    [[nodiscard]] static bool suits(const tracked_worker& worker,
                                    const tracked_step& step);
    [[nodiscard]] std::span<tracked_worker* const>
    allowed_workers(tracked_step& step);
    [[nodiscard]] bool within_limit(const tracked_job& job,
                                    const resource_amounts& demand) const;
    void place_step(tracked_step& step, time_point now, std::size_t max_tasks);
    void place_gang(tracked_step& step, time_point now);
    [[nodiscard]] tracked_worker*
    choose_worker(tracked_step& step, std::uint32_t index, time_point now);
    void place(tracked_step& step, std::uint32_t index, tracked_worker& worker,
               time_point now);
};

} // namespace rosemarytrail::fleet

#endif
