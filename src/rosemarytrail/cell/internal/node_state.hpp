#ifndef ROSEMARYTRAIL_CELL_INTERNAL_NODE_STATE_HPP
#define ROSEMARYTRAIL_CELL_INTERNAL_NODE_STATE_HPP

#include <rosemarytrail/cell/append_parts.hpp>
#include <rosemarytrail/cell/call_forwarder.hpp>
#include <rosemarytrail/cell/call_table.hpp>
#include <rosemarytrail/cell/feed_reader.hpp>
#include <rosemarytrail/cell/member_name.hpp>
#include <rosemarytrail/cell/node.hpp>
#include <rosemarytrail/cell/node_metrics.hpp>
#include <rosemarytrail/cell/outbox.hpp>
#include <rosemarytrail/cell/peer_link.hpp>
#include <rosemarytrail/cell/relayed_workers.hpp>
#include <rosemarytrail/cell/reported_nodes.hpp>
#include <rosemarytrail/cell/store_monitor.hpp>
#include <rosemarytrail/cell/worker_relay.hpp>
#include <rosemarytrail/fleet/advice_plan.hpp>
#include <rosemarytrail/fleet/dispatcher.hpp>
#include <rosemarytrail/fleet/job_index.hpp>
#include <rosemarytrail/fleet/share_meter.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::cell {

/**
 * @brief Formats the age of a state for log lines.
 * @param since When the state was current.
 * @param now Current time.
 * @return Milliseconds, or `never`.
 */
[[nodiscard]] std::string age_text(time_point since, time_point now);

struct node::internal_state
{
    internal_state(const node_options& options_, http::event_loop& loop_,
                   store& shared_, worker_port& workers_, peer_link& peers_,
                   advice_port& advice_, const decoder& formats_,
                   metrics::registry& metrics_);

    /** @brief Logs and counts the failed reads of a feed. */
    struct listener : feed_listener
    {
        void on_read_failed(store_result result, std::size_t failures) override;
        void on_read_regained(duration outage) override;
        internal_state* owner{};
        feed which{};
    };

    struct ledger_listener final : listener
    {
        void on_reset() override;
        void on_record(const feed_record& record) override;
        void on_caught_up() override;
    };

    struct configuration_listener final : listener
    {
        void on_reset() override;
        void on_record(const feed_record& record) override;
        void on_caught_up() override;
    };

    struct directory_listener final : listener
    {
        void on_reset() override;
        void on_record(const feed_record& record) override;
        void on_caught_up() override;
    };

    struct announcement_listener final : listener
    {
        void on_reset() override;
        void on_record(const feed_record& record) override;
        void on_caught_up() override;
    };

    /** @brief Logs and counts forwarded calls. */
    struct call_listener final : forward_listener
    {
        void on_forward(const client_call& call,
                        std::string_view address) override;
        void on_status_query() override;
        void on_peer_answer(const client_answer& answer) override;
        void on_peer_failed(const client_call& call, std::string_view address,
                            std::string_view reason, duration waited) override;
        void serve_here(client_call call,
                        std::function<void(client_answer)> done) override;
        internal_state* owner{};
    };

    /** @brief State that a node keeps only while it leads. */
    struct leader_state
    {
        leader_state(const fleet::dispatcher_options& options,
                     const append_limits& limits, const fleet::job_index& jobs,
                     time_point now, std::int64_t unix_ms)
            : decisions{options, jobs, now, unix_ms}
            , parts{limits}
        {}

        fleet::dispatcher decisions;
        std::uint64_t epoch{};
        std::uint64_t sequence{};
        /** @brief Number of the batch that is not recorded yet. */
        std::optional<std::uint64_t> batch;
        /** @brief Number of its entries that are the leader's own; they precede
         * those of other nodes. */
        std::size_t batch_own_entries{};
        /** @brief Appends of the entries of the batch, own ones and those of
         * other nodes. */
        append_parts parts;
        /** @brief Entries of the batch that the store never accepts. */
        std::set<std::string> dropped_keys;
        /** @brief Entries of another node, with the callback that reports their
         * result. */
        struct peer_entries
        {
            std::vector<fleet::ledger_entry> entries;
            /** @brief The entries are not appended later than this. */
            time_point send_by;
            std::function<void(append_answer)> done;
        };
        std::vector<peer_entries> waiting_peer_entries;
        std::vector<peer_entries> batch_peer_entries;
        bool in_flight{false};
        /** @brief The current append of the batch got no response, so that its
         * entries may be recorded. */
        bool batch_maybe_recorded{false};
        time_point next_append;
        time_point append_sent;
        /** @brief When the last successful call that would have revealed a
         * newer claim was sent. */
        time_point confirmed_at;
        /** @brief Nodes for advice requests that the store does not list. */
        reported_nodes unlisted_nodes{{}};
    };

    node_options options;
    http::event_loop& loop;
    store_monitor shared;
    peer_link& peers;
    advice_port& advice;
    const decoder& formats;
    node_metrics metrics;
    /** @brief Calls of this node while it leads. */
    relayed_workers workers;
    /** @brief Calls of this node on behalf of the leader. */
    worker_relay relay;

    /** @brief Entries of this node that are not yet confirmed as recorded. */
    outbox entries;
    /** @brief Calls that other nodes forwarded to this one. */
    call_table peer_calls{{}};
    call_listener call_target;
    call_forwarder forwarder;
    fleet::job_index jobs;
    std::shared_ptr<const fleet::cell_config> config;
    /** @brief Zones in which operators allow no new tasks. */
    std::set<std::string> evacuated_zones;
    fleet::share_meter shares;
    /** @brief Recent start times of jobs by queue, for the drain rate. */
    std::map<std::string, std::deque<time_point>> recent_starts;
    /** @brief Newest configuration version in a response of a peer. */
    std::int64_t peer_config{};
    std::map<std::string, fleet::worker_vm> vms;
    std::vector<fleet::worker_vm> vm_list;
    /** @brief Why entries of the directory name no worker, by key. */
    std::map<std::string, std::string> ignored_entries;
    fleet::advice_plan advice_requests;
    /** @brief Newest incarnations of the live members, sorted. */
    std::vector<std::string> members;
    /** @brief Members that follow the ledger. */
    std::vector<std::string> followers;
    /** @brief Leader that announced itself last. */
    fleet::leader_record announced;
    /** @brief Advice requests that other nodes assigned to this node. */
    std::deque<fleet::advice_request> assigned_requests;
    std::size_t advice_in_flight{};
    time_point advice_paused_until;

    ledger_listener ledger_target;
    configuration_listener configuration_target;
    directory_listener directory_target;
    announcement_listener announcement_target;
    feed_reader ledger;
    feed_reader configuration;
    feed_reader directory;
    feed_reader announcements;

    /** @brief Calls that wait for the next read of the ledger. */
    std::vector<std::function<void(bool)>> catch_up_waiters;
    bool catch_up_in_flight{false};

    std::unique_ptr<leader_state> leadership;
    /** @brief Incremented at each loss of leadership; identifies late responses
     * to requests of an earlier term. */
    std::uint64_t leadership_number{};
    std::uint64_t generation{};
    std::uint64_t candidate_generation{};
    bool candidate{false};
    bool elected{false};
    leader_monitor monitor;
    bool leader_query_in_flight{false};
    /** @brief Claim that was sent and has not been read back yet. */
    struct pending_claim
    {
        std::uint64_t epoch{};
        time_point sent;
    };
    std::optional<pending_claim> claim;
    /** @brief Earlier claim without a response, which the store may still
     * execute. */
    std::optional<pending_claim> unanswered_claim;
    /** @brief Claims sent since this node last led or gave up, and when the
     * first of them was sent. */
    struct claim_attempts
    {
        std::size_t sent{};
        time_point since;
    };
    claim_attempts attempts;
    bool shutting_down{false};
    bool run_posted{false};
    time_point last_run;
    time_point last_join;
    bool joined{false};
    /** @brief The store listed this node after its last successful join. */
    bool is_listed{true};
    time_point last_report;
    time_point started_at;
    time_point next_listing;
    time_point last_cleanup;
    time_point last_metrics_update;

    std::atomic<bool> ready_flag{false};
    /** @brief Time of the last tick, in units of `duration`; read by other
     * threads. */
    std::atomic<std::int64_t> last_tick{0};

    [[nodiscard]] static std::int64_t unix_milliseconds();
    void on_ledger_record(const feed_record& record);
    /** @brief True while the newest records of the ledger are loaded. */
    bool loading_ledger{false};
    void on_configuration(fleet::cell_config found);
    void on_evacuation(const fleet::zone_evacuation& it);
    /** @brief Counts an entry of the directory that names no worker to use, and
     * logs it if the reason is new; an empty reason ends that. */
    void track_ignored_entry(const std::string& key, const std::string& why);
    [[nodiscard]] bool is_known_zone(std::string_view zone) const;
    [[nodiscard]] const fleet::job_entry*
    find_job_by_key(std::string_view key) const;
    void on_ledger_caught_up();
    void join();
    void join_candidates(time_point sent);
    void leave_candidates();
    void list_members();
    void schedule_listing();
    void list_at(time_point at);
    void list_soon();
    void on_members(std::vector<std::string> listed);
    void start_following();
    void stop_following();
    /** @return True if all nodes of the cell follow the ledger. */
    [[nodiscard]] bool all_follow() const;
    void announce();
    void assign_relays();
    [[nodiscard]] std::vector<std::string> advice_nodes() const;
    void update_read_intervals();
    void on_join(const membership& it, time_point sent);
    void check_leader();
    void log_lost_leader(leader_query_result result,
                         const leader_status& status) const;
    void try_claim();
    void on_claim_result(store_result result);
    /** @brief Counts and logs a claim that failed. */
    void on_claim_failed(store_result result, metrics::counter& counter) const;
    void withdraw_claim();
    void confirm_claim();
    void assume_leadership(std::uint64_t epoch, time_point sent);
    void step_down(std::string_view why);
    void append_batch();
    void drop_expired_entries(time_point now);
    void drop_expired_entries_of_batch(time_point now);
    /** @brief Removes the entries whose deadline has passed. */
    [[nodiscard]] static std::vector<leader_state::peer_entries>
    take_expired(std::vector<leader_state::peer_entries>& from, time_point now);
    void split_batch(std::vector<fleet::ledger_entry> own);
    [[nodiscard]] fleet::ledger_entry current_batch_mark() const;
    void drop_rejected_entries();
    void retry_append(time_point now);
    void on_batch_appended(const append_answer& it, std::uint64_t sequence);
    void on_batch_recorded();
    void send_worker_requests(time_point now);
    [[nodiscard]] bool is_store_reachable(time_point now) const;
    void run();
    void run_now();
    void tick();
    void drop_old_outcomes();
    void log_counts(const fleet::dispatcher_counts& counts) const;
    [[nodiscard]] std::optional<fleet::advice_request>
    next_advice_request(time_point now);
    void ask_advice(time_point now);
    /** @brief Advice granted to this node, kept while its tickets are valid. */
    struct own_grant
    {
        std::uint64_t key{};
        fleet::step_key step;
        fleet::advice_grant grant;
        time_point until;
        /** @brief When it is sent to the leader next; never once a leader has
         * taken it. */
        time_point next_send;

        /** @return Ledger entry with the remaining validity of the tickets. */
        [[nodiscard]] fleet::ledger_entry entry(time_point now) const;
    };
    std::deque<own_grant> own_grants;
    std::uint64_t last_grant{};
    void send_grant_to_leader(own_grant& grant, time_point now);
    void on_grant_sent(std::uint64_t key, const std::string& address,
                       message_result result);
    void resend_grants();
    void send_waiting_grants(time_point now);
    // internal/node_reports.cpp
    void report_to_leader(time_point now);
    /** @return False if the report has no effect. */
    bool receive_report(std::string_view member, time_point now);
    void drop_expired_reports(time_point now) const;
    void apply_grant(const fleet::ledger_entry& entry);
    void append_entries(append_request request,
                        std::function<void(append_answer)> done);
    void send_advice_assignments(
        std::span<const fleet::advice_assignment> assignments);
    void forward_fast_requests(const fleet::job_entry& entry);
    /** @return The newest leader that this node knows of. */
    [[nodiscard]] const fleet::leader_record& current_leader() const;
    [[nodiscard]] std::string leader_address() const;
    [[nodiscard]] bool
    is_too_busy_for(std::span<const fleet::advice_request> more) const;
    void receive(peer_message message,
                 std::function<void(message_result)> done);
    void on_advice(const fleet::step_key& step, std::size_t requested,
                   advice_answer it, time_point sent);
    void shut_down();
    void serve(client_call call, std::function<void(client_answer)> done);
    void catch_up(std::function<void(bool)> done);
    void serve_known_job(std::uint64_t id, const client_call& call,
                         std::function<void(client_answer)> done);
    void submit(std::uint64_t id, const fleet::queue& queue,
                std::string account, client_call call,
                std::function<void(client_answer)> done);
    /** @return Rejection of a call that the store does not serve. */
    [[nodiscard]] client_answer store_unavailable(std::uint64_t id,
                                                  std::int32_t priority) const;
    void append_for_client(std::uint64_t id, const fleet::queue_policy& queue,
                           fleet::ledger_entry entry, const client_call& call,
                           answer_kind on_done,
                           std::function<void(client_answer)> done);
    /** @brief Checks queue, key and configuration of a call.
     * @return Answer that rejects it, or nothing if it may be served. */
    [[nodiscard]] std::optional<client_answer>
    check_call(const client_call& call) const;
    /** @brief Serves a call from the state of this node. */
    void serve_here(client_call call, std::function<void(client_answer)> done);
    [[nodiscard]] std::vector<std::string> pick_peers() const;
    [[nodiscard]] double weight_of(const std::string& account) const;
    /** @brief Drops start times older than the drain window. */
    void trim_starts(std::deque<time_point>& times, time_point now) const;
    void track_job_entry(const fleet::entry_key& about, bool new_job,
                         bool had_started, time_point now);
    [[nodiscard]] std::optional<duration>
    check_admission(const fleet::job_record& record, time_point now);
    void log_answer(call_kind kind, std::string_view path,
                    const client_answer& answer, time_point asked_at,
                    time_point now);
};

} // namespace rosemarytrail::cell

#endif
