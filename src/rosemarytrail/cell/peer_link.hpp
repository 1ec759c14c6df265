#ifndef ROSEMARYTRAIL_CELL_PEER_LINK_HPP
#define ROSEMARYTRAIL_CELL_PEER_LINK_HPP

#include <rosemarytrail/cell/call_status.hpp>
#include <rosemarytrail/cell/client_call.hpp>
#include <rosemarytrail/cell/leader_monitor.hpp>
#include <rosemarytrail/cell/worker_batch.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/advice_request.hpp>
#include <rosemarytrail/fleet/ledger_codec.hpp>
#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/http/server.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::cell {

class node;

/**
 * @brief Encodes a call for another node.
 * @param call Call.
 * @param now Current time; the deadline is encoded as the remaining time.
 * @return Encoded call.
 */
[[nodiscard]] std::string encode_call(const client_call& call, time_point now);

/**
 * @brief Decodes a call from another node.
 * @param bytes Encoded call.
 * @param now Current time.
 * @return Call, marked as forwarded, or nothing if the bytes are malformed.
 */
[[nodiscard]] std::optional<client_call> decode_call(std::string_view bytes,
                                                     time_point now);

/**
 * @brief Encodes a response for another node.
 * @param answer Response.
 * @return Encoded response.
 */
[[nodiscard]] std::string encode_answer(const client_answer& answer);

/**
 * @brief Decodes a response from another node.
 * @param bytes Encoded response.
 * @return Response, or nothing if the bytes are malformed.
 */
[[nodiscard]] std::optional<client_answer>
decode_answer(std::string_view bytes);

/**
 * @brief Encodes the number of a forwarded call.
 * @param number Number.
 * @return Encoded number.
 */
[[nodiscard]] std::string encode_call_number(const call_number& number);

/**
 * @brief Decodes the number of a forwarded call.
 * @param bytes Encoded number.
 * @return Number, or nothing if the bytes are malformed.
 */
[[nodiscard]] std::optional<call_number>
decode_call_number(std::string_view bytes);

/**
 * @brief Encodes the status of a forwarded call.
 * @param report Status.
 * @return Encoded status.
 */
[[nodiscard]] std::string encode_call_report(const call_report& report);

/**
 * @brief Decodes the status of a forwarded call.
 * @param bytes Encoded status.
 * @return Status, or nothing if the bytes are malformed.
 */
[[nodiscard]] std::optional<call_report>
decode_call_report(std::string_view bytes);

/** @brief Message from one node to another. */
struct peer_message
{
    /** @brief Entries that the leader appends to the ledger, and advice grants
     * that it applies. */
    std::vector<fleet::ledger_entry> entries;
    /** @brief The leader appends the entries within this time or not at all. */
    std::optional<duration> send_within{};
    /** @brief Requests that the receiver sends to the advice service. */
    std::vector<fleet::advice_request> advice_requests;
    /** @brief Name of the sender, to which the leader may assign advice
     * requests although the store does not list it; empty in other messages.
     */
    std::string advice_node;
};

/**
 * @brief Encodes a message.
 * @param message Message.
 * @return Encoded message.
 */
[[nodiscard]] std::string encode_message(const peer_message& message);

/**
 * @brief Decodes a message.
 * @param bytes Encoded message.
 * @return Message, or nothing if the bytes are malformed.
 */
[[nodiscard]] std::optional<peer_message>
decode_message(std::string_view bytes);

/**
 * @brief Encodes the leadership status of a node.
 * @param status Status.
 * @return Encoded status.
 */
[[nodiscard]] std::string encode_leader_status(const leader_status& status);

/**
 * @brief Decodes the leadership status of a node.
 * @param bytes Encoded status.
 * @return Status, or nothing if the bytes are malformed.
 */
[[nodiscard]] std::optional<leader_status>
decode_leader_status(std::string_view bytes);

/** @brief Result of a message. */
enum class message_result : std::uint8_t
{
    /** @brief Handled; its ledger entries are recorded. */
    accepted,
    /** @brief Rejected; nothing was done. */
    refused,
    /** @brief No response; the message may have been handled. */
    unknown
};

/** @brief Sends calls and messages to other nodes. */
class peer_link
{
public:
    /** @brief Receives the result of a forwarded call. */
    using callback = std::function<void(forward_result)>;

    virtual ~peer_link() = default;

    /**
     * @brief Forwards a call to another node.
     * @param address IP address and port of the node.
     * @param call Call.
     * @param timeout How long to wait for the response.
     * @param done Called once with the result.
     */
    virtual void forward(std::string_view address, const client_call& call,
                         duration timeout, callback done) = 0;

    /**
     * @brief Queries another node for the status of a call forwarded to it.
     * @param address IP address and port of the node.
     * @param number Number of the call.
     * @param timeout How long to wait for the response.
     * @param done Called once with the status.
     */
    virtual void query_call(std::string_view address, const call_number& number,
                            duration timeout,
                            std::function<void(const call_report&)> done) = 0;

    /**
     * @brief Sends a message to another node.
     * @param address IP address and port of the node.
     * @param message Message.
     * @param timeout How long to wait for the response.
     * @param done Called once with the result.
     */
    virtual void send(std::string_view address, const peer_message& message,
                      duration timeout,
                      std::function<void(message_result)> done) = 0;

    /**
     * @brief Sends calls to a relay.
     * @param address IP address and port of the relay.
     * @param batch Calls.
     * @param timeout How long to wait for the response.
     * @param done Called once; `accepted` if the relay makes the calls.
     */
    virtual void send_calls(std::string_view address,
                            const worker_call_batch& batch, duration timeout,
                            std::function<void(message_result)> done) = 0;

    /**
     * @brief Sends the results of relayed calls to the leader.
     * @param address IP address and port of the leader.
     * @param batch Results.
     * @param timeout How long to wait for the response.
     * @param done Called once; `accepted` if the leader has received them.
     */
    virtual void send_results(std::string_view address,
                              const worker_result_batch& batch,
                              duration timeout,
                              std::function<void(message_result)> done) = 0;

    /**
     * @brief Queries whether a node leads.
     * @param address IP address and port of the node.
     * @param timeout How long to wait for the response.
     * @param done Called once with the result and, if reported, the status.
     */
    virtual void
    query_leader(std::string_view address, duration timeout,
                 std::function<void(leader_query_result, const leader_status&)>
                     done) = 0;
};

/**
 * @brief Creates a link over HTTP.
 * @param http HTTP client that sends the calls; outlives the link.
 * @return Link to the other nodes.
 */
[[nodiscard]] std::unique_ptr<peer_link> make_peer_link(http::client& http);

/** @brief Serves the calls and messages of other nodes. */
class peer_api final : public http::handler
{
public:
    /**
     * @brief Constructs the handler.
     * @param loop Event loop of the node; outlives the handler.
     * @param target Node that serves the calls; outlives the handler.
     */
    peer_api(http::event_loop& loop, node& target);

    [[nodiscard]] std::optional<http::response>
    on_head(const http::request& head) override;
    void on_request(std::shared_ptr<http::exchange> it) override;

private:
    void on_message(std::shared_ptr<http::exchange> it);
    void on_worker_calls(std::shared_ptr<http::exchange> it);
    void on_worker_results(std::shared_ptr<http::exchange> it);
    void on_leader_query(std::shared_ptr<http::exchange> it);
    void on_call_query(std::shared_ptr<http::exchange> it);

    http::event_loop& loop_;
    node& target_;
};

} // namespace rosemarytrail::cell

#endif
