#ifndef ROSEMARYTRAIL_CELL_NODE_HPP
#define ROSEMARYTRAIL_CELL_NODE_HPP

#include <rosemarytrail/cell/append_limits.hpp>
#include <rosemarytrail/cell/client_call.hpp>
#include <rosemarytrail/cell/forward_plan.hpp>
#include <rosemarytrail/cell/ledger_followers.hpp>
#include <rosemarytrail/cell/peer_link.hpp>
#include <rosemarytrail/cell/ports.hpp>
#include <rosemarytrail/cell/relay_plan.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/dispatcher.hpp>
#include <rosemarytrail/fleet/job_limits.hpp>
#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/metrics/registry.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace rosemarytrail::cell {

/** @brief Timing parameters and limits of a node. */
struct node_options
{
    /** @brief Name of the VM. */
    std::string name;
    /** @brief Name of this incarnation, as `to_text` writes a `member_name`. */
    std::string member;
    /** @brief CPU share of the VM, in thousandths of a core. */
    std::int64_t cpu_millis{};
    /** @brief Bandwidth of the VM's network link in Mbit/s; zero if unknown. */
    double link_mbps{};
    /** @brief Nodes that follow the ledger; they are the candidates for
     * leadership. */
    follower_options followers;
    fleet::dispatcher_options dispatcher;
    append_limits appends;
    fleet::job_limits jobs;
    /** @brief Maximum number of tasks of all live jobs, counting one occurrence
     * of each; further jobs are refused. Zero for no limit. */
    std::uint64_t max_live_tasks{};
    /** @brief Which workers the leader calls by way of other nodes. */
    relay_plan_options relays;
    /** @brief Lifetime of a group membership that is not renewed; a leader
     * whose membership expires is replaced. */
    duration member_lifetime{std::chrono::milliseconds{1200}};
    /** @brief Timeout of a leadership query; long compared with a call to a
     * peer, short compared with the membership lifetime. */
    duration leader_query_timeout{std::chrono::milliseconds{250}};
    /** @brief Interval at which group memberships are renewed. */
    duration join_period{std::chrono::milliseconds{300}};
    listing_options listing;
    /** @brief How long a read of the configuration may wait at the store. A
     * connection that has gone silent is noticed soon after, so it is well
     * below the time in which a configuration must be in force. */
    duration configuration_wait{std::chrono::milliseconds{800}};
    /** @brief How long a read of the leader's announcement may wait at the
     * store; a call to an outdated leader only costs time. */
    duration leader_wait{std::chrono::milliseconds{4000}};
    /** @brief A node that the store has not served for longer is not ready and
     * rejects submissions. */
    duration store_timeout{std::chrono::milliseconds{2500}};
    /** @brief A node that the store has not served for longer forwards client
     * calls to peers. */
    duration store_suspect_after{std::chrono::milliseconds{1300}};
    /** @brief How long the outcome of an ended job is retained. */
    duration outcome_retention{std::chrono::seconds{150}};
    /** @brief Minimum time between two reads of the ledger by a follower. */
    duration follower_read_interval{std::chrono::milliseconds{200}};
    /** @brief Minimum time between two reads of the ledger by the leader. */
    duration leader_read_interval{std::chrono::milliseconds{30}};
    /** @brief Minimum time between two reads of the worker directory by the
     * leader. */
    duration leader_directory_interval{std::chrono::milliseconds{500}};
    /** @brief Minimum time between two reads of the worker directory by a
     * follower, which only selects workers for advice requests. */
    duration follower_directory_interval{std::chrono::milliseconds{1500}};
    /** @brief Minimum time between two scheduling runs; short compared with an
     * append, which every start waits for. */
    duration min_run_interval{std::chrono::milliseconds{4}};
    /** @brief Minimum time between two appends of the leader. */
    duration min_append_interval{std::chrono::milliseconds{12}};
    /** @brief Delay before a failed append of the leader is repeated. */
    duration append_retry_delay{std::chrono::milliseconds{50}};
    /** @brief Length of the window over which the drain rate of a queue is
     * measured. */
    duration drain_window{std::chrono::seconds{3}};
    /** @brief Part of a caller's deadline reserved for the response that the
     * outcome is unknown. */
    duration answer_margin{std::chrono::milliseconds{300}};
    /** @brief How client calls are forwarded to peers. */
    forward_options forwarding;
    /** @brief If appends take longer, entries are sent through the leader. */
    duration slow_append{std::chrono::milliseconds{100}};
    /** @brief Timeout of a message to a peer. */
    duration peer_timeout{std::chrono::milliseconds{150}};
    /** @brief Delay before advice that the leader did not take is sent again.
     */
    duration grant_retry_delay{std::chrono::milliseconds{200}};
    /** @brief Interval at which a node that the store does not list reports
     * itself to the leader. */
    duration report_period{std::chrono::milliseconds{1000}};
};

/**
 * @brief Node of a cell: serves clients; one node at a time leads.
 *
 * Runs on a single event loop. Member functions are called on it unless they
 * state otherwise.
 */
class node
{
public:
    /**
     * @brief Constructs a node; no calls are made before `start`.
     * @param options Timing parameters and limits.
     * @param loop Event loop that the node runs on; outlives the node.
     * @param shared Store that all nodes share.
     * @param workers Calls to the workers.
     * @param peers Calls to other nodes.
     * @param advice Calls to the advice service.
     * @param formats Decodes the records of the operator and the workers.
     * @param metrics Registry that owns the node's metrics.
     */
    node(const node_options& options, http::event_loop& loop, store& shared,
         worker_port& workers, peer_link& peers, advice_port& advice,
         const decoder& formats, metrics::registry& metrics);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /** @brief Starts the node; any thread. */
    void start();

    /**
     * @brief Serves a client call; only on the loop.
     * @param call Call.
     * @param done Called once with the response.
     */
    void serve(client_call call, std::function<void(client_answer)> done);

    /**
     * @brief Reports the status of a call that another node forwarded to this
     * one; only on the loop.
     * @param number Number of the call.
     * @param now Current time.
     * @return Status.
     */
    [[nodiscard]] call_report call_status(const call_number& number,
                                          time_point now);

    /**
     * @brief Handles a message of another node; only on the loop.
     * @param message Message.
     * @param done Called once with the result.
     */
    void receive(peer_message message,
                 std::function<void(message_result)> done);

    /**
     * @brief Makes calls to workers for the leader; only on the loop.
     * @param batch Calls.
     * @return False if nothing is done.
     */
    [[nodiscard]] bool relay(const worker_call_batch& batch);

    /**
     * @brief Handles the results of relayed calls; only on the loop.
     * @param batch Results.
     * @return False if they are meant for another incarnation.
     */
    [[nodiscard]] bool receive(worker_result_batch batch);

    /**
     * @brief Reports whether this node leads; only on the loop.
     * @param now Current time.
     * @return Leadership status of this node.
     */
    [[nodiscard]] leader_status leadership_status(time_point now) const;

    /**
     * @brief Checks whether this node accepts client calls; any thread.
     * @param now Current time.
     * @return True if it is ready.
     */
    [[nodiscard]] bool ready(time_point now) const noexcept;

    /** @brief Resigns leadership and reports the node as not ready; any thread.
     */
    void begin_shutdown();

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

} // namespace rosemarytrail::cell

#endif
