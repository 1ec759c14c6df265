#ifndef ROSEMARYTRAIL_CELL_CALL_FORWARDER_HPP
#define ROSEMARYTRAIL_CELL_CALL_FORWARDER_HPP

#include <rosemarytrail/cell/forward_plan.hpp>
#include <rosemarytrail/cell/peer_link.hpp>
#include <rosemarytrail/http/client.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::cell {

/** @brief Owner of a call forwarder. */
class forward_listener
{
public:
    virtual ~forward_listener() = default;

    /**
     * @brief Called before a call is sent to a peer.
     * @param call Call.
     * @param address Address of the peer.
     */
    virtual void on_forward(const client_call& call,
                            std::string_view address) = 0;

    /** @brief Called before a peer is queried for the status of a call. */
    virtual void on_status_query() = 0;

    /**
     * @brief Called with each response of a peer.
     * @param answer Response.
     */
    virtual void on_peer_answer(const client_answer& answer) = 0;

    /**
     * @brief Called when a peer did not serve a call.
     * @param call Call.
     * @param address Address of the peer.
     * @param reason Name of the reason, for log lines.
     * @param waited Time since the call was sent to this peer.
     */
    virtual void on_peer_failed(const client_call& call,
                                std::string_view address,
                                std::string_view reason, duration waited) = 0;

    /**
     * @brief Serves a call that no peer serves.
     * @param call Call.
     * @param done Called once with the response.
     */
    virtual void serve_here(client_call call,
                            std::function<void(client_answer)> done) = 0;
};

/**
 * @brief Forwards the calls of clients to peers, one peer after another.
 *
 * Runs on the event loop of the node.
 */
class call_forwarder
{
public:
    /**
     * @brief Constructs the forwarder.
     * @param options Timing parameters.
     * @param origin Name of this incarnation of the node; with a number that is
     * unique within it, it identifies a forwarded call.
     * @param loop Event loop; outlives the forwarder.
     * @param peers Calls to other nodes; outlives the forwarder.
     * @param listener Owner; outlives the forwarder.
     */
    call_forwarder(const forward_options& options, std::string origin,
                   http::event_loop& loop, peer_link& peers,
                   forward_listener& listener);

    /**
     * @brief Forwards a call.
     * @param call Call.
     * @param candidates Addresses of the peers, in the order in which to try
     * them.
     * @param done Called once with the response.
     */
    void forward(client_call call, std::vector<std::string> candidates,
                 std::function<void(client_answer)> done);

private:
    struct forwarded_call;
    struct attempt;

    void try_next(const std::shared_ptr<forwarded_call>& of);
    void run(const std::shared_ptr<attempt>& it);
    void on_result(const std::shared_ptr<attempt>& it,
                   const forward_result& result);
    void query(const std::shared_ptr<attempt>& it);
    void on_answer(const std::shared_ptr<attempt>& it,
                   const client_answer& answer);
    void abandon(const std::shared_ptr<attempt>& it, std::string_view reason,
                 bool maybe_executed);
    void report_failure(const attempt& it, std::string_view reason);

    forward_options options_;
    std::string origin_;
    http::event_loop& loop_;
    peer_link& peers_;
    forward_listener& listener_;
    std::uint64_t last_number_{};
};

} // namespace rosemarytrail::cell

#endif
