#ifndef ROSEMARYTRAIL_FLEET_DISPATCHER_HPP
#define ROSEMARYTRAIL_FLEET_DISPATCHER_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/advice_question.hpp>
#include <rosemarytrail/fleet/cell_config.hpp>
#include <rosemarytrail/fleet/job_board.hpp>
#include <rosemarytrail/fleet/worker_calls.hpp>
#include <rosemarytrail/fleet/worker_vm.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Spans and bounds of a dispatcher. */
struct dispatcher_options
{
    /** @brief Fencing epoch that every order bears. */
    std::uint64_t epoch{};
    /** @brief Lease of a worker; long enough for a takeover in between. */
    duration lease{std::chrono::milliseconds{4500}};
    /** @brief Longest lease that a worker grants, whatever end it is told; the
     * default is the platform's usual limit. */
    duration longest_grant{std::chrono::milliseconds{10000}};
    /** @brief Longest wait of a hold; also the time between renewals. */
    duration hold_wait{std::chrono::milliseconds{1000}};
    /** @brief A former leader renews no lease after this time without news. */
    duration renewal_bound{std::chrono::milliseconds{3000}};
    /** @brief Rate error of a worker's clock that leases must allow for. */
    double clock_drift{0.02};
    /** @brief Added to a lease before its tasks count as gone. */
    duration lease_margin{std::chrono::milliseconds{200}};
    /** @brief A stop without effect is sent again after this time. */
    duration stop_retry{std::chrono::milliseconds{400}};
    /** @brief Holds in a row without answer after which a worker is silent. */
    std::uint32_t silent_after{2};
    /** @brief Pause before a worker that failed to answer is asked again. */
    duration hold_retry{std::chrono::milliseconds{150}};
    /** @brief Time between two holds of one worker that has ends to tell. */
    duration hold_spacing{std::chrono::milliseconds{10}};
    /** @brief Ticket that lapses sooner is not used for a start. */
    duration ticket_margin{std::chrono::milliseconds{60}};
    /** @brief Time that a suspect worker gets no new work. */
    duration quarantine{std::chrono::milliseconds{5000}};
    /** @brief Failed runs of several jobs in a row that make it suspect. */
    std::uint32_t suspect_failures{3};
    /** @brief Greatest part of the workers that is set aside at once. */
    double quarantine_share{0.25};
    /** @brief Advice that takes longer is asked for by the leader's word. */
    double long_advice_ms{100};
    /** @brief Part of the nodes that ask the long questions. */
    double long_advice_share{0.6};
    /** @brief Short questions should not wait for longer than this. */
    duration short_advice_wait{std::chrono::milliseconds{250}};
    /** @brief Shortest time between two looks for questions. */
    duration question_spacing{std::chrono::milliseconds{8}};
    /** @brief Long questions that one node has before it at a time. */
    std::size_t questions_per_node{2};
    /** @brief Work in short questions that one node has before it. */
    duration short_work_per_node{std::chrono::milliseconds{150}};
    /** @brief Short tickets are renewed this long before they lapse, beside the
     * time of the question: a hop to the node that asks and one back. */
    duration renewal_margin{std::chrono::milliseconds{50}};
    /** @brief A short question that its own node has not asked by then is
     * given to another one. */
    duration short_advice_help{std::chrono::milliseconds{80}};
    /** @brief Fewest workers that a question names; what the latency objective
     * allows for is one question about so many. */
    std::size_t named_least{30};
    /** @brief Room that the named workers should have, as a multiple of what
     * the waiting tasks need; others take some of it before the answer. */
    double named_room{2.0};
    /** @brief What a full worker counts for, in tasks: some will end there. */
    double full_worker_tasks{0.3};
    /** @brief Part of the named workers that is granted, until answers tell. */
    double granted_share{0.35};
    /** @brief Weight of one answer in the share that is granted. */
    double granted_weight{0.1};
    /** @brief Time between two looks whether a step whose workers are full has
     * others to ask about. */
    duration widen_period{std::chrono::milliseconds{100}};
    /** @brief Waiting steps whose tickets are renewed also without room. */
    std::size_t fresh_steps{8};
    /** @brief An answer may come this much later than its policy says. */
    duration advice_slack{std::chrono::milliseconds{1000}};
    /** @brief Ended jobs are remembered for this long. */
    duration ended_memory{std::chrono::seconds{600}};
};

/** @brief Entries for the ledger that are to be appended in one call. */
struct ledger_batch
{
    std::uint64_t number{};
    std::vector<ledger_entry> entries;
};

/** @brief Question to the advice service that a node is to ask. */
struct question_order
{
    std::string member;
    advice_question question;
};

/** @brief Calls to make now. */
struct dispatcher_orders
{
    std::vector<question_order> questions;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<pace_order> paces;
    std::vector<hold_order> holds;
};

/** @brief Line for the log: a decision and what it was made on. */
struct decision
{
    std::uint64_t job{};
    std::string_view what;
    std::string detail;
};

/** @brief Where the time of a step went. */
struct step_timing
{
    /** @brief From ready to the first tickets. */
    duration advice{};
    /** @brief From tickets to the placement of its last task. */
    duration room{};
    /** @brief From there to the end of its last task. */
    duration run{};
};

/** @brief Where the time of a job went. */
struct job_timing
{
    duration total{};
    /** @brief It ended within its latency objective. */
    bool in_time{false};
    std::vector<step_timing> steps;
};

/** @brief How much is in a dispatcher's books. */
struct dispatcher_counts
{
    std::size_t jobs{};
    std::size_t waiting{};
    std::size_t placed{};
    std::size_t workers{};
    std::size_t fenced_workers{};
    /** @brief Workers that take new work now. */
    std::size_t usable_workers{};
    /** @brief Room of these workers, and what is taken of it. */
    room capacity;
    room used;
};

/**
 * @brief Decides which task runs on which worker; one node runs it at a time.
 *
 * It does no I/O. A start is first handed out as part of a ledger batch and
 * ordered only after the batch is on record, so a successor knows where each
 * task may run.
 */
class dispatcher
{
public:
    /**
     * @brief Takes over the jobs on a board.
     * @param options Spans and bounds.
     * @param board All that the ledger holds.
     * @param now Present time.
     * @param unix_ms Present time of day.
     */
    dispatcher(const dispatcher_options& options, const job_board& board,
               time_point now, std::int64_t unix_ms);
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    ~dispatcher();

    /** @param members Nodes that live, sorted. */
    void set_members(std::span<const std::string> members);

    /** @param config Configuration in force. */
    void set_config(std::shared_ptr<const cell_config> config);

    /**
     * @brief Takes the directory of workers in.
     * @param vms All workers that are listed.
     * @param now Present time.
     */
    void set_workers(std::span<const worker_vm> vms, time_point now);

    /**
     * @brief Takes a change of a job that another node wrote.
     * @param id Job.
     * @param entry What the ledger says of it now.
     * @param now Present time.
     * @param unix_ms Present time of day.
     */
    void on_job_changed(std::uint64_t id, const job_entry& entry,
                        time_point now, std::int64_t unix_ms);

    /**
     * @brief Learns that a node did not take a question.
     * @param order Question.
     */
    void on_question_lost(const question_order& order);

    /**
     * @brief Takes what became of an order to start.
     * @param order Order that was sent.
     * @param result What became of it.
     * @param now Present time.
     */
    void on_start_result(const start_order& order, start_result result,
                         time_point now);

    /**
     * @brief Takes what became of an order to stop.
     * @param order Order that was sent.
     * @param answered Whether the worker acknowledged it.
     * @param now Present time.
     */
    void on_stop_result(const stop_order& order, bool answered, time_point now);

    /**
     * @brief Takes what became of a hold.
     * @param order Order that was sent.
     * @param result What became of it.
     * @param answer Answer; counts only if it was answered.
     * @param sent_at When the order was sent.
     * @param now Present time.
     */
    void on_hold_result(const hold_order& order, hold_result result,
                        const hold_answer& answer, time_point sent_at,
                        time_point now);

    /**
     * @brief Places waiting tasks.
     * @param now Present time.
     * @param unix_ms Present time of day.
     */
    void plan(time_point now, std::int64_t unix_ms);

    /**
     * @brief Hands out what has changed since the last batch.
     * @param unix_ms Present time of day.
     * @return Entries to append; none if nothing has changed.
     */
    [[nodiscard]] ledger_batch take_batch(std::int64_t unix_ms);

    /**
     * @brief Learns that a batch is on record.
     * @param number Number of the batch.
     * @param now Present time.
     */
    void on_recorded(std::uint64_t number, time_point now);

    /**
     * @brief Hands out the calls that are due.
     * @param now Present time.
     * @return Calls to make now.
     */
    [[nodiscard]] dispatcher_orders take_orders(time_point now);

    /** @return Decisions since the last call, for the log. */
    [[nodiscard]] std::vector<decision> take_decisions();

    /** @return True once a worker has answered that a newer leader exists. */
    [[nodiscard]] bool deposed() const noexcept;

    /** @return Where the time of jobs that ended since the last call went. */
    [[nodiscard]] std::vector<job_timing> take_timings();

    /**
     * @brief Counts what is in the books.
     * @param now Present time.
     * @return How much.
     */
    [[nodiscard]] dispatcher_counts count(time_point now) const;

private:
    struct books;
    std::unique_ptr<books> books_;
};

} // namespace rosemarytrail::fleet

#endif
