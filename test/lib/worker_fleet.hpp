#ifndef ROSEMARYTRAIL_TEST_LIB_WORKER_FLEET_HPP
#define ROSEMARYTRAIL_TEST_LIB_WORKER_FLEET_HPP

#include <rosemarytrail/fleet/dispatcher.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rosemarytrail::test {

/** @brief Run of a task on a simulated worker. */
struct model_run
{
    std::uint32_t run{};
    time_point started;
    time_point ends;
    fleet::resource_amounts demand;
    std::string checkpoint;
    /** @brief Work saved in the checkpoint that it resumed from. */
    duration resumed{};
    /** @brief Startup of a long-running task; none for other tasks. */
    std::optional<duration> startup;
    bool stopping{false};
};

/** @brief Simulated worker in virtual time with lease, fencing token and
 * numbered ended runs. */
struct model_worker
{
    fleet::worker_vm vm;
    std::uint64_t token{};
    time_point lease;
    /** @brief When its clock was zero. */
    time_point clock_start;
    std::map<fleet::task_key, model_run> running;
    std::vector<fleet::ended_row> ended;
    std::uint64_t next_end{1};
    /** @brief Highest stopped or ended run, by task. */
    std::map<fleet::task_key, std::uint32_t> highest;
    /** @brief Factor on the run times of its tasks. */
    double slowness{1.0};
    /** @brief Calls time out and have no effect. */
    bool unreachable{false};
    /** @brief Responses to polls are delayed while it is set. */
    bool delay_poll_responses{false};
    /** @brief Start requests time out and are executed after this delay. */
    duration start_delay{};
    /** @brief Start requests are executed without a response. */
    bool withholds_start_results{false};
    /** @brief Polls time out and are executed after this delay. */
    duration poll_delay{};
    /** @brief The directory lists its previous incarnation. */
    bool listed_late{false};
    /** @brief Every run on it fails. */
    bool fails_all{false};
    /** @brief Runs that start on it make no progress. */
    bool hangs{false};
    /** @brief It responds to polls and refuses every start. */
    bool refuses_starts{false};
    /** @brief Maximum number of ended runs in a response to a poll. */
    std::optional<std::size_t> max_ended_rows;
    /** @brief It crashed; another incarnation with a new id is at its address
     * from then on. */
    std::optional<time_point> replaced_at;
    /** @brief It ends all runs and is gone from then on. */
    std::optional<time_point> leaves_at;
    std::vector<std::pair<time_point, fleet::start_request>> delayed;
    std::vector<std::pair<time_point, fleet::poll_request>> delayed_polls;
};

/** @brief Duration of a task's run and how it ends. */
struct task_outcome
{
    duration length{std::chrono::milliseconds{500}};
    fleet::run_end end{fleet::run_end::done};
};

/**
 * @brief Dispatcher, ledger and workers in virtual time.
 *
 * Checks these invariants while it runs: no worker exceeds its capacity, no
 * task runs twice at once or again after it was acknowledged as done, no start
 * is sent before it is recorded, and no step starts before the steps that it
 * depends on are done.
 */
class worker_fleet
{
public:
    worker_fleet();

    /** @brief Interval between two planning passes of the dispatcher. */
    duration tick{std::chrono::milliseconds{10}};
    fleet::dispatcher_options options{.epoch = 1};
    std::function<task_outcome(const fleet::task_key&)> scripted_outcome;
    /** @brief Tasks that crash each worker that starts them, at once. */
    std::function<bool(const fleet::task_key&)> crashes_worker;
    /** @brief The crashing worker still responds to the start. */
    bool responds_before_crash{true};
    /** @brief Time from a crash until another incarnation responds. */
    duration replacement_delay{std::chrono::seconds{3}};
    /** @brief Workers that crashed, by the task that crashed them. */
    std::map<fleet::task_key, std::size_t> crashes;
    /** @brief No batch is appended while it is set. */
    bool ledger_down{false};
    /** @brief Size of the largest value that was appended, and the number of
     * entries of the largest batch. */
    std::size_t largest_entry{};
    std::size_t most_entries{};
    /** @brief Time from an append to its acknowledgement. */
    duration ledger_delay{};
    time_point now{std::chrono::seconds{1000}};
    std::map<std::string, model_worker> workers;
    fleet::cell_config config;
    std::vector<std::string> violations;
    /** @brief Executed starts, by task. */
    std::map<fleet::task_key, std::size_t> starts;
    std::vector<fleet::throttle_request> throttles;
    /** @brief Time from the start of a long-running task until it is at work.
     */
    duration startup{std::chrono::milliseconds{300}};
    /** @brief Time from a stop request to the end of the run. */
    duration stop_time{};
    /** @brief Workers refuse all tickets while it is set. */
    bool refuse_tickets{false};
    std::size_t refused_starts{};
    /** @brief Last poll of each worker. */
    std::map<std::string, fleet::poll_request> last_polls;
    /** @brief Start requests that were executed without a response. */
    std::vector<fleet::start_request> unanswered_starts;
    /** @brief Advice requests that the dispatcher has assigned. */
    std::vector<fleet::advice_assignment> advice_assignments;

    void add_workers(std::size_t n, const fleet::resource_amounts& capacity,
                     std::size_t per_rack = 8);
    void list_workers();
    /** @brief Restarts the worker; the directory lists the new incarnation only
     * after `list_workers`. Its clock begins at `clock`. */
    void restart(const std::string& worker, duration clock = {});
    /** @brief Ends all runs of the worker and makes it unreachable, until
     * another incarnation takes its address. */
    void crash(const std::string& worker);
    /** @brief Lists the worker as draining; it leaves after the stated time.
     */
    void drain(const std::string& worker, duration remaining);
    /** @brief Records the job in the ledger. */
    void submit(fleet::job_record record);
    void cancel(std::uint64_t id);
    /** @brief Records the outcome of a job and nothing else, as a leader that
     * is lost after it. */
    void end_in_ledger(std::uint64_t id);
    void grant(const fleet::step_key& step, const std::vector<std::string>& ids,
               duration valid);
    /** @brief Starts a new leader with the next epoch. */
    void take_over();
    void run(duration length);

    [[nodiscard]] std::optional<fleet::job_state> state(std::uint64_t id) const;
    [[nodiscard]] const fleet::job_entry& entry(std::uint64_t id) const
    {
        return *ledger_jobs_.find(id);
    }
    /** @return Ledger record of a worker. */
    [[nodiscard]] const fleet::worker_record&
    recorded(const std::string& worker) const
    {
        return ledger_jobs_.workers().at(worker).record;
    }
    [[nodiscard]] std::size_t running(std::uint64_t id) const;
    [[nodiscard]] std::size_t running_on(const std::string& worker) const;
    /** @return Last worker that runs a task of the job; empty if none does. */
    [[nodiscard]] std::string worker_of(std::uint64_t id) const;
    /** @return Index of a node that follows the ledger. */
    [[nodiscard]] const fleet::job_index& follower_jobs() const
    {
        return ledger_jobs_;
    }
    /** @return Index of a node that leads, or has led. */
    [[nodiscard]] const fleet::job_index& leader_jobs() const
    {
        return leader_jobs_;
    }
    [[nodiscard]] fleet::dispatcher& leader() { return *dispatcher_; }

private:
    void apply(const std::vector<fleet::ledger_entry>& entries);
    void remember_runs(const fleet::entry_key& entry);
    void append();
    void advance(model_worker& it);
    void execute_delayed_polls(model_worker& it);
    void execute_poll(model_worker& it, const fleet::poll_request& request);
    void replace_crashed();
    void remove_departed();
    void start(model_worker& it, const fleet::start_request& request);
    [[nodiscard]] fleet::start_result
    handle_start(model_worker& it, const fleet::start_request& request);
    /** @return Response with the worker's clock, unless it is lost. */
    [[nodiscard]] static fleet::start_response
    respond(fleet::start_result result, std::int64_t clock_ms);
    void handle_stop(model_worker& it, const fleet::stop_request& request);
    void handle_poll(model_worker& it, const fleet::poll_request& request,
                     time_point sent);
    void end(model_worker& it, const fleet::task_key& task, fleet::run_end how);
    void check(model_worker& it);
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] std::int64_t clock_of(const model_worker& it) const;
    void extend_lease(model_worker& it, std::int64_t end_ms) const;
    template <typename Request>
    [[nodiscard]] static bool accept_token(model_worker& it,
                                           const Request& request);

    fleet::job_index ledger_jobs_;
    fleet::job_index leader_jobs_;
    std::unique_ptr<fleet::dispatcher> dispatcher_;
    std::map<std::uint64_t, fleet::job_record> jobs_;
    /** @brief Batch that is not recorded yet, and when it will be. */
    std::optional<std::pair<time_point, fleet::ledger_batch>> pending_batch_;
    std::vector<std::pair<time_point, fleet::poll_request>> pending_polls_;
    /** @brief Highest run of each task that the ledger has named. */
    std::map<fleet::task_key, std::uint32_t> recorded_runs_;
    std::set<fleet::task_key> done_;
    /** @brief Tasks whose end the leader has acknowledged as recorded. */
    std::set<fleet::task_key> acknowledged_;
};

/**
 * @brief Creates a job whose steps run in sequence.
 * @param id Job id.
 * @param steps Its steps; each depends on the previous one.
 * @return Job record.
 */
[[nodiscard]] fleet::job_record make_job(std::uint64_t id,
                                         std::vector<fleet::step_spec> steps);

/**
 * @brief Creates a job of one step whose advice requests are slow.
 * @param id Job id.
 * @param step Its step.
 * @return Job record.
 */
[[nodiscard]] fleet::job_record make_advised_job(std::uint64_t id,
                                                 const fleet::step_spec& step);

} // namespace rosemarytrail::test

#endif
