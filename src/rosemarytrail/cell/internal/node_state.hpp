#ifndef ROSEMARYTRAIL_CELL_INTERNAL_NODE_STATE_HPP
#define ROSEMARYTRAIL_CELL_INTERNAL_NODE_STATE_HPP

#include <rosemarytrail/cell/feed_reader.hpp>
#include <rosemarytrail/cell/member_name.hpp>
#include <rosemarytrail/cell/node.hpp>
#include <rosemarytrail/cell/node_metrics.hpp>
#include <rosemarytrail/cell/outbox.hpp>
#include <rosemarytrail/cell/peer_link.hpp>
#include <rosemarytrail/cell/store_watch.hpp>
#include <rosemarytrail/fleet/advice_plan.hpp>
#include <rosemarytrail/fleet/dispatcher.hpp>
#include <rosemarytrail/fleet/job_board.hpp>
#include <rosemarytrail/fleet/share_meter.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::cell {

struct node::internal_state
{
    internal_state(const node_options& options_, http::event_loop& loop_,
                   store& shared_, worker_port& workers_, peer_link& peers_,
                   advice_port& advice_, const decoder& formats_,
                   metrics::registry& metrics_);

    struct ledger_listener final : feed_listener
    {
        internal_state* owner{};
        void on_reset() override;
        void on_record(const feed_record& record) override;
        void on_caught_up() override;
    };

    struct configuration_listener final : feed_listener
    {
        internal_state* owner{};
        void on_reset() override;
        void on_record(const feed_record& record) override;
        void on_caught_up() override;
    };

    struct directory_listener final : feed_listener
    {
        internal_state* owner{};
        void on_reset() override;
        void on_record(const feed_record& record) override;
        void on_caught_up() override;
    };

    /** @brief What a node keeps only while it leads. */
    struct leadership
    {
        leadership(const fleet::dispatcher_options& options,
                   const fleet::job_board& board, time_point now,
                   std::int64_t unix_ms)
            : decisions{options, board, now, unix_ms}
        {}

        fleet::dispatcher decisions;
        std::uint64_t epoch{};
        std::uint64_t sequence{};
        std::optional<fleet::ledger_batch> batch;
        /** @brief Entries of nodes, with what they are told once recorded. */
        struct guest
        {
            std::vector<fleet::ledger_entry> entries;
            std::function<void(append_answer)> done;
        };
        std::vector<guest> waiting_guests;
        std::vector<guest> batch_guests;
        bool in_flight{false};
        time_point next_append;
        time_point append_sent;
        /** @brief When the latest call that would show a newer claim was sent.
         */
        time_point news;
    };

    node_options options;
    http::event_loop& loop;
    store_watch shared;
    worker_port& workers;
    peer_link& peers;
    advice_port& advice;
    const decoder& formats;
    node_metrics metrics;

    /** @brief Entries of this node that are not known to be on record. */
    outbox entries;
    fleet::job_board board;
    std::shared_ptr<const fleet::cell_config> config;
    fleet::share_meter shares;
    /** @brief When jobs of a queue began lately, to know its drain. */
    std::map<std::string, std::deque<time_point>> begun;
    /** @brief Newest configuration that a peer has answered by. */
    std::int64_t peer_config{};
    std::map<std::string, fleet::worker_vm> vms;
    std::vector<fleet::worker_vm> vm_list;
    fleet::advice_plan questions;
    std::vector<std::string> members;
    /** @brief Questions that the leader gave to this node. */
    std::deque<fleet::advice_question> given_questions;
    std::size_t advice_in_flight{};
    time_point advice_paused_until;

    ledger_listener ledger_target;
    configuration_listener configuration_target;
    directory_listener directory_target;
    feed_reader ledger;
    feed_reader configuration;
    feed_reader directory;

    /** @brief Calls that wait for the next read of the ledger. */
    std::vector<std::function<void(bool)>> waiting_for_news;
    bool news_asked{false};

    std::unique_ptr<leadership> lead;
    /** @brief Grows with each lead; tells late answers of a former one. */
    std::uint64_t lead_number{};
    std::uint64_t generation{};
    std::uint64_t lead_generation{};
    bool candidate{false};
    bool chosen{false};
    bool claiming{false};
    lead_watch watch;
    bool asking_leader{false};
    /** @brief Claim that the store took and that is not read back yet. */
    struct claim_made
    {
        std::uint64_t epoch{};
        std::int64_t at{};
        time_point sent;
    };
    std::optional<claim_made> claim;
    bool shutting_down{false};
    bool run_posted{false};
    time_point last_run;
    time_point last_join;
    time_point last_cleanup;
    time_point last_shown;

    std::atomic<bool> ready_flag{false};
    /** @brief Latest tick, in units of `duration`; read by other threads. */
    std::atomic<std::int64_t> last_tick{0};

    [[nodiscard]] static std::int64_t unix_milliseconds();
    void on_ledger_record(const feed_record& record);
    /** @brief Set while the feed's newest records are taken in. */
    bool loading_ledger{false};
    [[nodiscard]] const fleet::job_entry* about_job(std::string_view key) const;
    void on_ledger_caught_up();
    void join();
    void join_candidates(time_point sent);
    void list_members();
    [[nodiscard]] std::vector<std::string> askers() const;
    void choose_spacing();
    void on_join(const membership& it, time_point sent);
    void watch_leader();
    void try_lead();
    void confirm_claim();
    void take_lead(std::uint64_t epoch, std::int64_t at, time_point sent);
    void step_down(std::string_view why);
    void append_batch();
    void on_batch_appended(const append_answer& it, std::uint64_t sequence);
    void batch_recorded();
    void send_orders(time_point now);
    [[nodiscard]] bool store_reached(time_point now) const;
    void run();
    void run_now();
    void tick();
    void drop_old_outcomes();
    static void log_counts(const fleet::dispatcher_counts& counts);
    [[nodiscard]] std::optional<fleet::advice_question>
    next_question(time_point now);
    void ask_advice(time_point now);
    /** @brief Advice that this node was given, while its tickets last. */
    struct own_grant
    {
        fleet::step_key step;
        fleet::advice_grant grant;
        time_point until;

        /** @return Entry with the time that its tickets still last. */
        [[nodiscard]] fleet::ledger_entry entry(time_point now) const;
    };
    std::deque<own_grant> own_grants;
    void tell_leader(const own_grant& grant);
    void tell_leader_all();
    void take_grant(const fleet::ledger_entry& entry);
    void append_entries(append_request request,
                        std::function<void(append_answer)> done);
    void send_questions(std::span<const fleet::question_order> orders);
    void hand_on_questions(const fleet::job_entry& entry);
    [[nodiscard]] std::string leader_address() const;
    [[nodiscard]] bool
    is_too_busy_for(std::span<const fleet::advice_question> more) const;
    void receive(peer_message message,
                 std::function<void(message_result)> done);
    void on_advice(const fleet::step_key& step, advice_answer it,
                   time_point sent);
    void shut_down();
    void serve(client_call call, std::function<void(client_answer)> done);
    void catch_up(std::function<void(bool)> done);
    void answer_known(std::uint64_t id, const client_call& call,
                      std::function<void(client_answer)> done);
    void submit(std::uint64_t id, const fleet::queue& queue,
                std::string account, client_call call,
                std::function<void(client_answer)> done);
    void append_for_client(std::uint64_t id, fleet::ledger_entry entry,
                           const client_call& call, answer_kind on_done,
                           std::function<void(client_answer)> done);
    /** @brief Serves a call by what this node itself knows. */
    void serve_here(client_call call, std::function<void(client_answer)> done);
    /** @brief Hands a call to the peers that are left, one after another. */
    void serve_by_peer(client_call call, std::vector<std::string> peers,
                       std::function<void(client_answer)> done);
    [[nodiscard]] std::vector<std::string> pick_peers() const;
    [[nodiscard]] double weight_of(const std::string& account) const;
    /** @brief Drops marks that are older than the drain's window. */
    void trim_drain(std::deque<time_point>& times, time_point now) const;
    void note_job_entry(const fleet::entry_key& about, bool new_job,
                        bool had_started, time_point now);
    [[nodiscard]] std::optional<duration>
    turned_away(const fleet::job_record& record, time_point now);
    void log_answer(call_kind kind, std::string_view path,
                    const client_answer& answer, time_point asked_at,
                    time_point now);
};

} // namespace rosemarytrail::cell

#endif
