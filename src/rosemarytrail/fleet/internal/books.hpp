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

/** @brief Place of a step in the order in which waiting steps are served. */
struct step_rank
{
    /** @brief Its account had sent more than its share. */
    bool beyond_share{false};
    std::int32_t priority{};
    /** @brief It can no longer meet its latency objective. */
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
 * @brief Ranks a step that waits.
 *
 * Answers load beyond capacity: accounts within their share come before those
 * beyond it, then priority, then jobs that can still meet their objective, the
 * most pressing first.
 * @param step Step.
 * @param now Present time.
 * @return Its place; the smallest comes first.
 */
[[nodiscard]] step_rank rank_of(const step_book& step, time_point now);

/** @brief Step with its place in the order. */
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

/** @brief Where a task stands in the leader's books. */
enum class task_phase : std::uint8_t
{
    waiting,
    /** @brief Placed; the start goes out once it is on record. */
    placed,
    /** @brief The start was sent and is not answered. */
    ordered,
    /** @brief It may run: placed by a former leader or start unanswered. */
    unsure,
    running,
    stopping,
    done
};

/** @brief Task in the leader's books. */
struct task_state
{
    task_phase phase{task_phase::waiting};
    std::uint32_t run{};
    std::uint32_t failures{};
    /** @brief Worker whose room it takes; empty while it waits. */
    std::string worker;
    std::string checkpoint;
    /** @brief When the phase began. */
    time_point since;
    time_point stop_sent;
    std::optional<time_point> stop_acknowledged;
    std::int32_t percent{};
    std::uint32_t pace{100};
    /** @brief Worker and length of the run that ended well. */
    std::string done_on;
    duration done_after{};
    /** @brief Worker of the latest failed run, avoided by the next. */
    std::string failed_on;

    /** @return True if it takes room on a worker. */
    [[nodiscard]] bool holds_room() const noexcept
    {
        return phase != task_phase::waiting && phase != task_phase::done;
    }
};

struct job_book;

/** @brief Step of one occurrence in the leader's books. */
struct step_book
{
    step_key key;
    const step_spec* spec{};
    job_book* job{};
    std::vector<task_state> tasks;
    std::size_t waiting{};
    std::size_t done{};
    /** @brief Tickets by worker; empty rows mean no advice was given. */
    std::map<std::string, std::string> tickets;
    /** @brief Workers that the tickets are for, found once for each version of
     * the directory. */
    std::vector<worker_book*> allowed;
    std::uint64_t allowed_as_of{};
    time_point tickets_until;
    /** @brief Until then an answer to the latest question may come. */
    time_point asked_until;
    /** @brief Node that was asked; empty if no question is open. */
    std::string asked_of;
    duration asked_cost{};
    /** @brief Workers that the open question names. */
    std::set<std::string> named;
    /** @brief Workers that answers refused or granted; an answer about a worker
     * does not change. */
    std::set<std::string> refused;
    std::set<std::string> granted;
    /** @brief Next look whether to ask about more workers. */
    time_point next_widening;
    /** @brief Tasks may be placed from here on. */
    bool ready{false};
    /** @brief When it became ready, had tickets, was placed and was done. */
    time_point ready_at;
    time_point advised_at;
    time_point placed_at;
    time_point done_at;

    [[nodiscard]] bool complete() const noexcept
    {
        return done == tasks.size();
    }
};

/** @brief Job in the leader's books. */
struct job_book
{
    job_record record;
    std::shared_ptr<const std::string> payload;
    /** @brief All steps of the first occurrence, then of the next. */
    std::vector<step_book> steps;
    bool cancelled{false};
    bool failed{false};
    std::optional<job_state> outcome;
    /** @brief Beyond what its account may send; served after others. */
    bool beyond_share{false};
    time_point accepted;
    /** @brief Latest time of an answer that meets the latency objective. */
    time_point objective;
    /** @brief Longest chain of declared work, in milliseconds. */
    std::int64_t chain_ms{};
    /** @brief Tasks that take room. */
    std::size_t active{};

    [[nodiscard]] bool ended() const noexcept
    {
        return cancelled || failed || outcome.has_value();
    }
};

/** @brief Worker in the leader's books. */
struct worker_book
{
    worker_vm vm;
    /** @brief In the directory at present. */
    bool listed{true};
    room used;
    std::set<task_key> load;
    /** @brief Has answered under this leader's epoch. */
    bool fenced{false};
    /** @brief The ledger says that this leader may renew its lease. */
    bool renewable{false};
    std::optional<std::int64_t> clock_ms;
    time_point clock_at;
    /** @brief Nothing that this leader ordered runs there after this. */
    time_point lease_until;
    /** @brief Leases may last until then that were given by the clock of an
     * earlier incarnation. */
    time_point foreign_lease_until;
    /** @brief Highest end that was read, written and acknowledged. */
    std::uint64_t seen{};
    std::uint64_t recorded{};
    /** @brief End numbers that a batch will put on record. */
    std::map<std::uint64_t, std::uint64_t> in_batch;
    bool hold_in_flight{false};
    time_point next_hold;
    time_point last_renewal;
    std::uint32_t unanswered{};
    /** @brief Runs on it that are not in the books. */
    std::size_t strangers{};
    std::set<std::uint64_t> failed_jobs;
    std::uint32_t failures_in_a_row{};
    time_point quarantined_until;
    /** @brief How much longer than their siblings its tasks take. */
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

    /** @brief What a client account has running. */
    struct account_book
    {
        room used;
    };

    dispatcher_options options;
    std::shared_ptr<const cell_config> config;
    std::unordered_map<std::uint64_t, std::unique_ptr<job_book>> jobs;
    std::map<std::string, worker_book> workers;
    /** @brief Grows when workers come or go. */
    std::uint64_t workers_version{1};
    std::map<std::string, account_book> accounts;
    /** @brief Steps whose tasks may be placed; looked through at each plan. */
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
    /** @brief Run of a task that starts once it is on record. */
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
    /** @brief Questions that wait for an answer, by node. */
    struct open_work
    {
        std::size_t questions{};
        duration cost{};
    };
    std::map<std::string, open_work> open_questions;
    std::vector<question_order> questions;
    /** @brief Part of the named workers that answers grant, by queue. */
    std::map<std::string, double> granted_share;
    /** @brief Workers that are to be recorded as renewed from now on. */
    std::vector<std::string> reached;
    /** @brief Workers that are to be recorded as renewed no longer. */
    std::vector<std::string> silent;
    /** @brief Ended jobs: late entries must not bring them back. */
    std::unordered_set<std::uint64_t> ended;
    /** @brief The same in the order in which they ended. */
    std::deque<std::pair<time_point, std::uint64_t>> ended_order;
    time_point last_plan;
    time_point last_questions;
    /** @brief Jobs whose outcome is on record; they go with their last task. */
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
