#ifndef ROSEMARYTRAIL_CELL_PEER_LINK_HPP
#define ROSEMARYTRAIL_CELL_PEER_LINK_HPP

#include <rosemarytrail/cell/client_call.hpp>
#include <rosemarytrail/cell/leader_monitor.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/advice_question.hpp>
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
 * @brief Writes a call for another node.
 * @param call Call.
 * @param now Present time; the deadline travels as the time that is left.
 * @return Bytes.
 */
[[nodiscard]] std::string encode_call(const client_call& call, time_point now);

/**
 * @brief Reads a call of another node.
 * @param bytes Bytes.
 * @param now Present time.
 * @return Call, marked as forwarded, or nothing if the bytes are damaged.
 */
[[nodiscard]] std::optional<client_call> decode_call(std::string_view bytes,
                                                     time_point now);

/**
 * @brief Writes an answer for another node.
 * @param answer Answer.
 * @return Bytes.
 */
[[nodiscard]] std::string encode_answer(const client_answer& answer);

/**
 * @brief Reads an answer of another node.
 * @param bytes Bytes.
 * @return Answer, or nothing if the bytes are damaged.
 */
[[nodiscard]] std::optional<client_answer>
decode_answer(std::string_view bytes);

/** @brief What one node tells another. */
struct peer_message
{
    /** @brief Entries that the leader is to put on record, or advice. */
    std::vector<fleet::ledger_entry> entries;
    /** @brief What the receiver is to ask the advice service. */
    std::vector<fleet::advice_question> advice_requests;
};

/**
 * @brief Writes a message.
 * @param message Message.
 * @return Bytes.
 */
[[nodiscard]] std::string encode_message(const peer_message& message);

/**
 * @brief Reads a message.
 * @param bytes Bytes.
 * @return Message, or nothing if the bytes are damaged.
 */
[[nodiscard]] std::optional<peer_message>
decode_message(std::string_view bytes);

/**
 * @brief Writes what a node says of its lead.
 * @param report What it says.
 * @return Bytes.
 */
[[nodiscard]] std::string encode_leader_status(const lead_report& report);

/**
 * @brief Reads what a node says of its lead.
 * @param bytes Bytes.
 * @return What it says, or nothing if the bytes are damaged.
 */
[[nodiscard]] std::optional<lead_report>
decode_leader_status(std::string_view bytes);

/** @brief What became of a message. */
enum class message_result : std::uint8_t
{
    /** @brief Taken; entries for the ledger are on record. */
    accepted,
    /** @brief Nothing was done. */
    refused,
    /** @brief No answer; it may have been taken. */
    unknown
};

/** @brief Hands calls and messages to other nodes. */
class peer_link
{
public:
    /** @brief Receives the answer; nothing if none came. */
    using callback = std::function<void(std::optional<client_answer>)>;

    virtual ~peer_link() = default;

    /**
     * @brief Hands a call to another node.
     * @param address IP number and port of the node.
     * @param call Call.
     * @param timeout How long to wait for the answer.
     * @param done Called once.
     */
    virtual void forward(std::string_view address, const client_call& call,
                         duration timeout, callback done) = 0;

    /**
     * @brief Sends a message to another node.
     * @param address IP number and port of the node.
     * @param message Message.
     * @param timeout How long to wait for the answer.
     * @param done Called once.
     */
    virtual void send(std::string_view address, const peer_message& message,
                      duration timeout,
                      std::function<void(message_result)> done) = 0;

    /**
     * @brief Asks a node whether it leads.
     * @param address IP number and port of the node.
     * @param timeout How long to wait for the answer.
     * @param done Called once.
     */
    virtual void
    ask_lead(std::string_view address, duration timeout,
             std::function<void(lead_answer, const lead_report&)> done) = 0;
};

/**
 * @brief Makes a link over HTTP.
 * @param http Sends the calls; outlives the link.
 * @return The link.
 */
[[nodiscard]] std::unique_ptr<peer_link> make_peer_link(http::client& http);

/** @brief Serves the calls that other nodes hand over. */
class peer_api final : public http::handler
{
public:
    /**
     * @brief Prepares the handler.
     * @param loop Loop of the node; outlives the handler.
     * @param target Serves the calls; outlives the handler.
     */
    peer_api(http::event_loop& loop, node& target);

    [[nodiscard]] std::optional<http::response>
    on_head(const http::request& head) override;
    void on_request(std::shared_ptr<http::exchange> it) override;

private:
    void on_message(std::shared_ptr<http::exchange> it);
    void on_leader_query(std::shared_ptr<http::exchange> it);

    http::event_loop& loop_;
    node& target_;
};

} // namespace rosemarytrail::cell

#endif
