#ifndef ROSEMARYTRAIL_FLEET_INTERNAL_BOOKS_HPP
#define ROSEMARYTRAIL_FLEET_INTERNAL_BOOKS_HPP

#include <rosemarytrail/fleet/dispatcher.hpp>

#include <boost/container/flat_set.hpp>

#include <cstdint>
#include <deque>
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

struct step_book;
struct worker_book;

/** @brief Position of a waiting step in the order of service. */
struct step_rank
{
    /** @brief The account had exceeded its share at submission. */
    bool beyond_share{false};
    std::int32_t priority{};
    /** @brief The job can no longer meet its latency objective. */
    bool late{false};
    time_point latest_start;
    step_key key;

    friend bool operator<(const step_rank& a, const step_rank& b) noexcept
    {
        return std::tie(a.beyond_share, a.priority, a.late, a.latest_start,
                        a.key) < std::tie(b.beyond_share, b.priority, b.late,
                                          b.latest_start, b.key);
    }
};

/**
 * @brief Ranks a waiting step.
 *
 * Under overload, accounts within their share precede those beyond it; then
 * priority decides, then jobs that can still meet their objective, the most
 * urgent first.
 * @param step Step.
 * @param now Current time.
 * @return Its rank; the smallest is served first.
 */
[[nodiscard]] step_rank rank_of(const step_book& step, time_point now);

/** @brief Step with its rank. */
struct ranked_step
{
    step_rank rank;
    step_book* step{};
};

/**
 * @brief Orders steps by their rank.
 * @param a Step.
 * @param b Step.
 * @return True if `a` is served first.
 */
[[nodiscard]] inline bool comes_first(const ranked_step& a,
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
    ordered,
    /** @brief It may be running, as a previous leader placed it. */
    unsure,
    running,
    stopping,
    done
};

/** @brief Task as tracked by the dispatcher. */
struct task_state
{
    task_phase phase{task_phase::waiting};
    std::uint32_t run{};
    std::uint32_t failures{};
    /** @brief Worker whose capacity it occupies; empty while it waits. */
    std::string worker;
    std::string checkpoint;
    /** @brief When the phase began. */
    time_point since;
    time_point stop_sent;
    std::optional<time_point> stop_acknowledged;
    std::int32_t percent{};
    std::uint32_t pace{100};
    /** @brief Worker and duration of the successful run. */
    std::string done_on;
    duration done_after{};
    /** @brief Worker of the last failed run, avoided by the next run. */
    std::string failed_on;

    /** @return True if it occupies capacity on a worker. */
    [[nodiscard]] bool holds_room() const noexcept
    {
        return phase != task_phase::waiting && phase != task_phase::done;
    }
};

struct job_book;

/** @brief Step of one occurrence as tracked by the dispatcher. */
struct step_book
{
    step_key key;
    const step_spec* spec{};
    job_book* job{};
    std::vector<task_state> tasks;
    std::size_t waiting{};
    std::size_t done{};
    /** @brief Tickets by worker; empty until advice is granted. */
    std::map<std::string, std::string> tickets;
    /** @brief Workers with a ticket, looked up once for each version of the
     * directory. */
    std::vector<worker_book*> allowed;
    std::uint64_t allowed_as_of{};
    time_point tickets_until;
    /** @brief Time until which a response to the last request may arrive. */
    time_point asked_until;
    /** @brief Node that the open request is assigned to; empty if none is
     * open. */
    std::string asked_of;
    duration asked_cost{};
    /** @brief Workers in the open request. */
    std::set<std::string> named;
    /** @brief Workers that responses refused or granted; the service does not
     * change its response about a worker. */
    std::set<std::string> refused;
    std::set<std::string> granted;
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

    [[nodiscard]] bool complete() const noexcept
    {
        return done == tasks.size();
    }
};

/** @brief Job as tracked by the dispatcher. */
struct job_book
{
    job_record record;
    std::shared_ptr<const std::string> payload;
    /** @brief All steps of the first occurrence, followed by those of the next
     * ones. */
    std::vector<step_book> steps;
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

    [[nodiscard]] bool ended() const noexcept
    {
        return cancelled || failed || outcome.has_value();
    }
};

/** @brief Worker as tracked by the dispatcher. */
struct worker_book
{
    worker_vm vm;
    /** @brief The directory currently lists it. */
    bool listed{true};
    room used;
    std::set<task_key> load;
    /** @brief It has responded under this leader's epoch. */
    bool fenced{false};
    /** @brief The ledger records that this leader may renew its lease. */
    bool renewable{false};
    std::optional<std::int64_t> clock_ms;
    time_point clock_at;
    /** @brief No run of this or an earlier leader continues there after this
     * time. */
    time_point lease_until;
    /** @brief Bound on leases whose end was set on the clock of an earlier
     * incarnation. */
    time_point foreign_lease_until;
    /** @brief Highest sequence number of an ended run that was read, and that
     * was recorded and is acknowledged. */
    std::uint64_t seen{};
    std::uint64_t recorded{};
    /** @brief Sequence number that each open batch will record. */
    std::map<std::uint64_t, std::uint64_t> in_batch;
    bool hold_in_flight{false};
    time_point next_hold;
    time_point last_renewal;
    std::uint32_t unanswered{};
    /** @brief Reported runs that the dispatcher does not track. */
    std::size_t strangers{};
    std::set<std::uint64_t> failed_jobs;
    std::uint32_t failures_in_a_row{};
    time_point quarantined_until;
    /** @brief Run time of its tasks relative to other tasks of the same
     * steps. */
    double slowness{1.0};
    std::uint32_t scavenger_pace{100};
    time_point pace_changed;

    [[nodiscard]] room available() const noexcept { return vm.capacity - used; }
};

} // namespace rosemarytrail::fleet::internal

namespace rosemarytrail::fleet {

struct dispatcher::books
{
    using task_phase = internal::task_phase;
    using task_state = internal::task_state;
    using step_book = internal::step_book;
    using job_book = internal::job_book;
    using worker_book = internal::worker_book;
    using ranked_step = internal::ranked_step;

    /** @brief Resources that a client account uses. */
    struct account_book
    {
        room used;
    };

    dispatcher_options options;
    std::shared_ptr<const cell_config> config;
    std::unordered_map<std::uint64_t, std::unique_ptr<job_book>> jobs;
    std::map<std::string, worker_book> workers;
    /** @brief Incremented when workers are added or removed. */
    std::uint64_t workers_version{1};
    std::map<std::string, account_book> accounts;
    /** @brief Steps whose tasks may be placed; scanned at each planning
     * pass. */
    boost::container::flat_set<step_book*> ready;
    boost::container::flat_set<step_book*> dirty;
    /** @brief Jobs with occurrences that are not all due yet. */
    std::set<std::uint64_t> scheduled;
    std::vector<job_book*> finished;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<pace_order> paces;
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
    struct open_work
    {
        std::size_t questions{};
        duration cost{};
    };
    std::map<std::string, open_work> open_questions;
    std::vector<question_order> questions;
    /** @brief Estimated fraction of requested workers that is granted, by
     * queue. */
    std::map<std::string, double> granted_share;
    /** @brief Workers to record as renewed by this leader. */
    std::vector<std::string> reached;
    /** @brief Workers to record as no longer renewed. */
    std::vector<std::string> silent;
    /** @brief Ended jobs; late ledger entries must not add them again. */
    std::unordered_set<std::uint64_t> ended;
    /** @brief Ended jobs in the order of their end. */
    std::deque<std::pair<time_point, std::uint64_t>> ended_order;
    time_point last_plan;
    time_point last_questions;
    /** @brief Jobs whose outcome is recorded; removed once their last task has
     * stopped. */
    std::set<std::uint64_t> leaving;
    bool replan{true};
    bool deposed{false};

    [[nodiscard]] step_book* find_step(const step_key& key);
    [[nodiscard]] task_state* find_task(const task_key& key);
    [[nodiscard]] duration longest(duration span) const;
    [[nodiscard]] duration longest_lease() const;
    void on_unanswered(worker_book& worker);
    [[nodiscard]] ledger_entry entry_of(const std::string& worker,
                                        bool renewing);
    void set_wait_out(const job_board& board, time_point now);
    void add_job(const job_entry& entry, time_point now, std::int64_t unix_ms);
    void inherit(step_book& step, const std::vector<task_progress>& rows,
                 time_point now);
    void take_advice(step_book& step, const seen_advice& advice);
    void learn_grants(step_book& step, const advice_grant& grant);
    void mark_dirty(step_book& step);
    void take_room(step_book& step, std::uint32_t index,
                   const std::string& worker);
    void free_room(step_book& step, std::uint32_t index);
    void back_to_waiting(step_book& step, std::uint32_t index, time_point now);
    void set_done(step_book& step, std::uint32_t index);
    void update_ready(job_book& job, std::int64_t unix_ms);
    void drop_ended_jobs();
    void finish_job(job_book& job, job_state outcome);
    void remember_ended(std::uint64_t id);
    void check_finished(job_book& job);
    void cancel_job(job_book& job, time_point now);
    void fail_job(job_book& job, time_point now);
    void stop_all(job_book& job, time_point now);
    void stop_task(step_book& step, std::uint32_t index, time_point now);
    [[nodiscard]] bool can_start(const step_book& step, std::uint32_t index,
                                 time_point now) const;
    void abort_gang(step_book& step, time_point now);
    void lose_run(step_book& step, std::uint32_t index, time_point now);
    void order_start(const placed_run& it, time_point now);
    void on_ended(worker_book& worker, const ended_row& row, time_point now);
    void on_late_end(const worker_book& worker, step_book& step,
                     const ended_row& row, time_point now);
    void complete_task(step_book& step, std::uint32_t index, time_point now);
    void on_run_failed(worker_book& worker, step_book& step,
                       std::uint32_t index, time_point now);
    void note_failure(worker_book& worker, std::uint64_t job, time_point now);
    void compare_running(worker_book& worker, const hold_answer& answer,
                         time_point sent_at, time_point now);
    void pace_scavengers(worker_book& worker, const hold_answer& answer,
                         time_point now);
    void lose_tasks(worker_book& worker, time_point now,
                    std::string_view cause);
    void forget_answers(worker_book& worker);
    void on_restarted(worker_book& worker, time_point now);
    [[nodiscard]] std::int64_t lease_end(worker_book& worker,
                                         time_point now) const;
    void note(std::uint64_t job, std::string_view what, std::string detail);
    [[nodiscard]] job_timing timing_of(const job_book& job) const;
    [[nodiscard]] std::string story_of(const job_book& job,
                                       const job_timing& timing) const;

    // internal/worker_speed.cpp
    void learn_speeds(const step_book& step);
    void note_progress(worker_book& worker, const step_book& step,
                       const running_row& row, time_point now);

    // internal/advice_desk.cpp
    void plan_questions(time_point now);
    void close_question(step_book& step);
    void open_question(step_book& step, const std::string& node,
                       time_point now);
    [[nodiscard]] const std::string&
    least_loaded(std::span<const std::string> nodes);
    [[nodiscard]] duration usual_cost(const advice_policy& policy) const;
    void close_if_gone(step_book& step, time_point now);
    [[nodiscard]] bool wants_long_advice(const step_book& step,
                                         time_point now) const;
    [[nodiscard]] bool wants_short_advice(const step_book& step,
                                          time_point now) const;
    void ask_short_questions(std::span<const ranked_step> order,
                             time_point now);
    void ask_long_questions(std::span<const ranked_step> order,
                            std::span<const std::string> pool, time_point now);
    [[nodiscard]] std::size_t long_nodes_now(duration short_backlog) const;
    [[nodiscard]] bool wants_advice(step_book& step, std::size_t place,
                                    time_point now);
    [[nodiscard]] bool has_room(step_book& step, time_point now);
    [[nodiscard]] bool nearly_ready(const step_book& step, duration ahead,
                                    time_point now) const;

    // internal/worker_naming.cpp
    [[nodiscard]] std::size_t tasks_that_fit(const worker_book& worker,
                                             const step_book& step,
                                             time_point now) const;
    [[nodiscard]] std::vector<std::string>
    workers_to_name(const step_book& step, time_point now) const;
    [[nodiscard]] bool has_more_to_ask(const step_book& step,
                                       time_point now) const;

    // internal/placement.cpp
    [[nodiscard]] bool can_take(const worker_book& worker,
                                const step_book& step, time_point now) const;
    [[nodiscard]] bool takes_work(const worker_book& worker,
                                  time_point now) const;
    [[nodiscard]] bool is_usable(const worker_book& worker,
                                 const step_book& step, time_point now) const;
    [[nodiscard]] std::span<worker_book* const>
    allowed_workers(step_book& step);
    [[nodiscard]] bool within_limit(const job_book& job, const room& need);
    void place_step(step_book& step, time_point now);
    void place_gang(step_book& step, time_point now);
    [[nodiscard]] worker_book*
    choose_worker(step_book& step, std::uint32_t index, time_point now);
    void place(step_book& step, std::uint32_t index, worker_book& worker,
               time_point now);
};

} // namespace rosemarytrail::fleet

#endif
