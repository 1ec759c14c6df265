#ifndef ROSEMARYTRAIL_HTTP_INTERNAL_EXCHANGE_STATE_HPP
#define ROSEMARYTRAIL_HTTP_INTERNAL_EXCHANGE_STATE_HPP

#include <rosemarytrail/http/message.hpp>
#include <rosemarytrail/http/server.hpp>

#include <microhttpd.h>

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace rosemarytrail::http::internal {

class exchange_state;

/** @brief Maximum body of a rejected request that is read and discarded. */
inline constexpr std::size_t max_discarded_body_bytes = std::size_t{64} << 10U;

/** @brief Exchanges that wait for a response, so that stop() can close them. */
class waiting_exchanges
{
public:
    /**
     * @brief Adds an exchange.
     * @param it Exchange that is about to be suspended.
     * @return False if the server is stopping; the exchange must not be
     * suspended then.
     */
    [[nodiscard]] bool add(exchange_state& it);

    /** @param it Exchange that completed. */
    void remove(exchange_state& it);

    /** @brief Closes all waiting exchanges and rejects further ones. */
    void abandon_all();

private:
    std::mutex lock_;
    bool stopping_{false};
    std::unordered_set<exchange_state*> waiting_;
};

/** @brief Response, and how it is sent. */
struct planned_response
{
    response whole;
    /** @brief Bytes of the body after which the connection is closed, if set.
     */
    std::optional<std::size_t> cut_after{};
    /** @brief Whether the response is sent a second time. */
    bool twice{false};
};

/** @brief State of a request on a libmicrohttpd connection. */
class exchange_state : public std::enable_shared_from_this<exchange_state>
{
public:
    /** @brief Whether the body of the request is kept or discarded. */
    enum class body_mode
    {
        keep,
        drop
    };

    /**
     * @brief Parses the URI of the request line.
     * @param uri Path and query, not percent-decoded.
     */
    explicit exchange_state(std::string_view uri);

    /** @return The request. */
    [[nodiscard]] request& incoming() noexcept { return incoming_; }

    /**
     * @brief Reads method and headers.
     * @param connection Connection of the request.
     * @param method Method of the request.
     */
    void read_head(MHD_Connection* connection, std::string_view method);

    /**
     * @brief Appends a part of the body.
     * @param part Bytes of the body.
     * @param max_bytes Maximum body size, in bytes.
     * @return False if the body is too large.
     */
    [[nodiscard]] bool add_body(std::string_view part, std::size_t max_bytes);

    /** @brief Sets the response; only the first call counts. Thread-safe. */
    void answer(planned_response planned);

    /** @brief Closes the connection without a response. Thread-safe. */
    void abandon();

    /**
     * @brief Sends the response or, if there is none yet, suspends the
     * connection.
     * @param waiting Receives this exchange if it is suspended.
     * @param last_of_connection Whether to close the connection after the
     * response.
     * @return Result for libmicrohttpd's access handler.
     */
    [[nodiscard]] MHD_Result proceed(waiting_exchanges& waiting,
                                     bool last_of_connection);

    /** @brief Detaches from the connection after the request completed. */
    void end();

    body_mode mode{body_mode::keep};
    bool head_seen{false};
    bool dispatched{false};

private:
    void send_duplicate() const;

    std::mutex lock_;
    MHD_Connection* connection_{};
    request incoming_;
    std::size_t discarded_bytes_{};
    std::optional<planned_response> planned_;
    /** @brief Second copy of the response, in wire format; sent after the
     * first. */
    std::string duplicate_;
    bool abandoned_{false};
    bool suspended_{false};
};

} // namespace rosemarytrail::http::internal

#endif
