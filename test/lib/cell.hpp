#ifndef ROSEMARYTRAIL_TEST_LIB_CELL_HPP
#define ROSEMARYTRAIL_TEST_LIB_CELL_HPP

#include <rosemarytrail/backends/log_client.hpp>
#include <rosemarytrail/backends/vm_list_client.hpp>
#include <rosemarytrail/backends/worker_client.hpp>
#include <rosemarytrail/control/controller.hpp>
#include <rosemarytrail/control/peer_network.hpp>
#include <rosemarytrail/core/job_spec.hpp>
#include <rosemarytrail/metrics/registry.hpp>
#include <rosemarytrail/proxy/proxy_handler.hpp>
#include <rosemarytrail/request/intent_log.hpp>
#include <rosemarytrail/request/routing_table.hpp>
#include <rosemarytrail/standin/log_store.hpp>
#include <rosemarytrail/standin/upstream_model.hpp>
#include <rosemarytrail/standin/vm_list_model.hpp>
#include <rosemarytrail/standin/worker_model.hpp>
#include <rosemarytrail/state/record.hpp>
#include <test/lib/event_queue.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemarytrail::test {

/** @brief Moment in the life of a message between two processes. */
enum class message_stage : std::uint8_t
{
    sent,
    taken_effect,
    answered
};

/** @brief Who the other end of a message is. */
enum class message_peer : std::uint8_t
{
    log_append,
    log_read,
    worker,
    peer,
    vm_list,
    upstream
};

/** @brief Message that a test may interfere with. */
struct message_event
{
    message_peer to{message_peer::log_append};
    message_stage stage{message_stage::sent};
    /** @brief Daemon that sent it. */
    std::size_t daemon{};
    /** @brief VM, for a worker. */
    vm_id vm{};
    /** @brief Batch, for a worker. */
    const backends::worker_batch* batch{};
    /** @brief Entry, for an append. */
    const std::string* payload{};
};

/** @brief What becomes of the message under way. */
struct message_fate
{
    /** @brief It never leaves its sender. */
    bool never_sent{false};
    /** @brief Its answer never arrives. */
    bool lose_answer{false};
    /** @brief Its answer arrives this much later. */
    duration delay{};
    /** @brief It takes effect a second time, this much later. */
    std::optional<duration> repeat_after{};
};

/** @brief Size and links of a cell in memory. */
struct cell_options
{
    std::size_t daemons{3};
    std::size_t vms{6};
    std::size_t vms_per_rack{2};
    resources vm_capacity{
        .millicores = 4000, .memory_mib = 4096, .accelerators = 1};
    std::uint32_t partitions{4};
    std::uint64_t snapshot_entries{20};
    state::freshness_options freshness{};
    /** @brief One way, to anything. */
    duration latency{std::chrono::milliseconds{1}};
    /** @brief Span after which a call without answer fails. */
    duration call_timeout{std::chrono::milliseconds{1000}};
    /** @brief Span between two ticks of a controller. */
    duration tick{std::chrono::milliseconds{20}};
};

class cell;

/**
 * @brief Writes the document of a key whose secret the callers show.
 * @param key Id of the key.
 * @param team Team that it belongs to.
 * @param withdrawn Whether it is withdrawn.
 * @return JSON.
 */
[[nodiscard]] std::string key_document(const std::string& key,
                                       const std::string& team, bool withdrawn);

/** @brief Answer to a caller's request to a service. */
struct caller_answer
{
    http::response answer;
    bool arrived{false};
};

/** @brief One daemon: a controller and the ends of its links. */
struct cell_daemon
{
    std::unique_ptr<metrics::registry> metrics;
    std::shared_ptr<backends::log_client> log;
    std::shared_ptr<backends::vm_list_client> vms;
    std::shared_ptr<backends::worker_client> workers;
    std::shared_ptr<control::peer_network> peers;
    std::shared_ptr<http::client> upstreams;
    std::unique_ptr<control::controller> controller;
    std::unique_ptr<request::intent_log> intents;
    std::unique_ptr<proxy::proxy_handler> proxy;
    std::shared_ptr<const request::routing_table> table;
    std::uint64_t generation{};
    bool paused{false};
    bool log_cut{false};
    bool workers_cut{false};
    /** @brief Daemons that it cannot send to. */
    std::set<std::size_t> peers_cut;
    /** @brief Answers that came while it was paused. */
    std::deque<std::function<void()>> inbox;
};

/** @brief Worker and what a test does to it. */
struct cell_worker
{
    backends::vm_entry entry;
    std::unique_ptr<standin::worker_model> model;
    std::unique_ptr<standin::upstream_model> upstream;
    /** @brief Since when the VM list says that it is leaving. */
    std::optional<time_point> leaving_since{};
    /** @brief No message reaches it or comes back. */
    bool cut{false};
    bool dead{false};
};

/**
 * @brief A cell in one thread and virtual time: real controllers, models of
 * the platform, and messages that a test can lose, delay or repeat.
 */
class cell
{
public:
    /** @brief Sees each message and may change its fate. */
    using tap = std::function<void(const message_event&, message_fate&)>;

    /** @param options Size and links. */
    explicit cell(const cell_options& options);
    ~cell();

    /** @param span Virtual time to run for. */
    void run_for(duration span);

    /**
     * @brief Runs until a condition holds.
     * @param limit Longest span.
     * @param condition Looked at after each tick.
     * @return True if it held within the limit.
     */
    [[nodiscard]] bool run_until(duration limit,
                                 const std::function<bool()>& condition);

    /** @brief Runs until all partitions are held and settled. */
    [[nodiscard]] bool settle();

    /** @brief Publishes a team and waits for the result of the record. */
    [[nodiscard]] bool publish_team(const std::string& team,
                                    const resources& limit, double weight = 1);

    /** @brief Publishes a document through a daemon and waits. */
    [[nodiscard]] control::publish_outcome publish(std::size_t daemon,
                                                   const std::string& name,
                                                   record_number replaces,
                                                   const std::string& content);

    /** @brief Submits a job through a daemon and waits for the answer. */
    [[nodiscard]] control::submit_outcome
    submit(std::size_t daemon, const job_spec& spec,
           const std::string& submission = "");

    /** @brief Asks a daemon for the status of a job. */
    [[nodiscard]] std::optional<control::job_status>
    status(std::size_t daemon, const team_id& team, const job_id& job,
           record_number read_from = 0);

    /**
     * @brief Publishes a key of a team and waits.
     * @param key Id of the key.
     * @param team Team that it belongs to.
     * @param withdrawn Whether to withdraw it.
     * @param replaces Revision that it replaces.
     * @return What became of it.
     */
    [[nodiscard]] control::publish_outcome publish_key(std::size_t daemon,
                                                       const std::string& key,
                                                       const std::string& team,
                                                       bool withdrawn,
                                                       record_number replaces);

    /**
     * @brief Sends a request to a service through a daemon.
     * @param daemon Entry VM.
     * @param method `GET`, or `POST` with an idempotency key.
     * @param idempotency_key Key, or empty.
     * @return Filled in when the answer arrives.
     */
    [[nodiscard]] std::shared_ptr<caller_answer>
    request(std::size_t daemon, const std::string& method,
            const std::string& idempotency_key);

    /** @brief Kills a daemon: its controller is gone at once. */
    void kill(std::size_t daemon);
    /** @brief Starts a new incarnation in the place of a killed daemon. */
    void start(std::size_t daemon);
    /** @brief Stops the threads of a daemon; answers wait. */
    void pause(std::size_t daemon);
    void resume(std::size_t daemon);

    /** @brief Ends a VM and everything on it. */
    void kill_vm(std::size_t vm);
    /** @brief Starts an empty worker in the place of a dead one. */
    void restart_vm(std::size_t vm);
    void set_leaving(std::size_t vm, bool leaving);

    /** @return True if the daemon runs and is not paused. */
    [[nodiscard]] bool running(std::size_t daemon) const;

    /** @return Promises broken so far, one line each. */
    [[nodiscard]] const std::set<std::string>& broken() const noexcept
    {
        return broken_;
    }

    /** @param text Promise that a test found broken. */
    void report_broken(const std::string& text) { broken_.insert(text); }

    /** @return Greatest attempt number of any start. */
    [[nodiscard]] std::uint32_t most_attempts() const noexcept
    {
        return most_attempts_;
    }

    /**
     * @brief Counts task ends by reason.
     * @param code Reason.
     * @return Ends at all daemons that run.
     */
    [[nodiscard]] std::uint64_t task_ends(result_code code);

    /** @return Records of the cell's stream, in order. */
    [[nodiscard]] std::vector<state::record> records() const;

    /** @return Number of workers on which a task runs now. */
    [[nodiscard]] std::size_t places_of(const task_ref& task) const;

    /** @return What a team has running on all workers. */
    [[nodiscard]] resources running_of(const team_id& team) const;

    event_queue time;
    cell_options options;
    standin::log_store log;
    standin::vm_list_model vm_list;
    standin::run_counter runs;
    std::vector<cell_daemon> daemons;
    std::vector<cell_worker> workers;
    /** @brief Looked at for every message. */
    tap on_message;
    /** @brief Limits that `check` holds running work against. */
    std::map<team_id, resources> limits;
    /** @brief Document whose revisions `check` follows. */
    std::string watched_document{"team/salmon"};
    /** @brief Newest revision of it, and since when the log has it. */
    record_number newest_revision{};
    time_point newest_since{};
    /** @brief Since when the log has the withdrawal of the key. */
    std::optional<time_point> key_withdrawn_since{};
    /** @brief Secret that callers show. */
    std::string shown_key;
    /** @brief Until when a limit may still be passed after it was lowered. */
    std::map<team_id, time_point> limit_grace;

    // Used by the links.
    [[nodiscard]] message_fate see(const message_event& event) const;
    void deliver(std::size_t daemon, std::uint64_t generation,
                 std::function<void()> call);
    void wake_readers(const std::string& stream);
    void wait_for_entries(const std::string& stream,
                          std::function<void()> wake);
    void note_start(const backends::worker_command& start,
                    const cell_worker& worker);
    [[nodiscard]] std::optional<std::size_t>
    daemon_at(const std::string& peer_address) const;

private:
    void tick_all();
    void check();
    void check_capacity();
    void check_single_run();
    void check_limits();
    [[nodiscard]] bool writes(const incarnation_id& writer) const;
    void check_config();
    void check_keys();

    struct known_task
    {
        resources request{};
        team_id team{};
    };

    struct seen_revision
    {
        std::uint64_t generation{};
        record_number revision{};
    };

    std::map<std::string, std::vector<std::function<void()>>> readers_;
    std::vector<seen_revision> seen_;
    /** Links of dead incarnations, which messages under way still name. */
    std::vector<std::shared_ptr<void>> retired_;
    time_point next_slow_check_{};
    std::uint32_t most_attempts_{};
    std::map<task_ref, known_task> known_tasks_;
    std::map<job_id, team_id> teams_of_jobs_;
    std::set<std::string> broken_;
};

} // namespace rosemarytrail::test

#endif
