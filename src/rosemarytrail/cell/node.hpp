#ifndef ROSEMARYTRAIL_CELL_NODE_HPP
#define ROSEMARYTRAIL_CELL_NODE_HPP

#include <rosemarytrail/cell/client_call.hpp>
#include <rosemarytrail/cell/peer_link.hpp>
#include <rosemarytrail/cell/ports.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/dispatcher.hpp>
#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/metrics/registry.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace rosemarytrail::cell {

/** @brief Spans and bounds of a node. */
struct node_options
{
    /** @brief Name of the VM. */
    std::string name;
    /** @brief Name of this incarnation, as `member_name` writes it. */
    std::string member;
    /** @brief Part of a core that the VM has, in thousandths. */
    std::int64_t cpu_millis{};
    /** @brief Nodes with less than this part of the largest VM do not lead. */
    double min_leader_share{0.8};
    fleet::dispatcher_options dispatcher;
    /** @brief A leader silent for longer is replaced. */
    duration member_lifetime{std::chrono::milliseconds{1200}};
    /** @brief Time for the leader to say that it leads; long beside a call to a
     * peer, short beside the lifetime of a member. */
    duration leader_query_timeout{std::chrono::milliseconds{250}};
    /** @brief Time between two signs of life. */
    duration join_period{std::chrono::milliseconds{300}};
    /** @brief Time between two looks at which nodes live. */
    duration members_period{std::chrono::milliseconds{1000}};
    /** @brief Without news from the store for longer, no calls are taken. */
    duration store_timeout{std::chrono::milliseconds{2500}};
    /** @brief Without news from the store for longer, peers are asked. */
    duration store_suspect_after{std::chrono::milliseconds{1300}};
    /** @brief How long the outcome of a job can be asked for. */
    duration outcome_retention{std::chrono::seconds{150}};
    /** @brief Shortest time between two reads of the ledger by a follower. */
    duration follower_read_interval{std::chrono::milliseconds{200}};
    /** @brief Shortest time between two reads of the ledger by the leader. */
    duration leader_read_interval{std::chrono::milliseconds{30}};
    /** @brief Shortest time between two reads of the directory by the leader.
     */
    duration leader_directory_interval{std::chrono::milliseconds{500}};
    /** @brief The same by a follower, which only names workers in questions. */
    duration follower_directory_interval{std::chrono::milliseconds{1500}};
    /** @brief Shortest time between two looks at the leader's books; short
     * beside an append, which every start waits for. */
    duration min_run_interval{std::chrono::milliseconds{4}};
    /** @brief Shortest time between two appends of the leader. */
    duration min_append_interval{std::chrono::milliseconds{12}};
    /** @brief Pause before an append without effect is sent again. */
    duration append_retry_delay{std::chrono::milliseconds{50}};
    /** @brief With so many nodes, the leader asks for no advice; with fewer,
     * its part of the questions that all nodes can ask would be missed. */
    std::size_t min_nodes_to_exempt_leader{12};
    /** @brief Span over which the drain of a queue is measured. */
    duration drain_window{std::chrono::seconds{3}};
    /** @brief Part of a caller's time kept to say that it is unknown. */
    duration answer_margin{std::chrono::milliseconds{300}};
    /** @brief An append that takes longer goes by way of the leader. */
    duration slow_append{std::chrono::milliseconds{100}};
    /** @brief Least time for a peer to answer a message. */
    duration peer_timeout{std::chrono::milliseconds{150}};
};

/**
 * @brief Node of the cell: serves clients, and one node at a time leads.
 *
 * All of it runs on one event loop, except where a comment says otherwise.
 */
class node
{
public:
    /**
     * @brief Prepares a node; nothing is called yet.
     * @param options Spans and bounds.
     * @param loop Loop that it runs on; outlives the node.
     * @param shared Store.
     * @param workers Workers.
     * @param peers Other nodes.
     * @param advice Advice service.
     * @param formats Reads what others write.
     * @param metrics Owns the node's metrics.
     */
    node(const node_options& options, http::event_loop& loop, store& shared,
         worker_port& workers, peer_link& peers, advice_port& advice,
         const decoder& formats, metrics::registry& metrics);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /** @brief Begins; any thread. */
    void start();

    /**
     * @brief Serves a call; only on the loop.
     * @param call Call.
     * @param done Called once with the answer.
     */
    void serve(client_call call, std::function<void(client_answer)> done);

    /**
     * @brief Takes a message of another node; only on the loop.
     * @param message Message.
     * @param done Called once with what became of it.
     */
    void receive(peer_message message,
                 std::function<void(message_result)> done);

    /**
     * @brief Tells whether this node leads; only on the loop.
     * @param now Present time.
     * @return What it says of its lead.
     */
    [[nodiscard]] lead_report report_lead(time_point now) const;

    /**
     * @brief Tells whether callers should be sent here; any thread.
     * @param now Present time.
     * @return True if so.
     */
    [[nodiscard]] bool ready(time_point now) const noexcept;

    /** @brief Hands the lead over and asks for no more callers; any thread. */
    void begin_shutdown();

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

} // namespace rosemarytrail::cell

#endif
