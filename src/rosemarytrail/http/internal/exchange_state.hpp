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

/** @brief Largest refused body that is read and dropped. */
inline constexpr std::size_t dropped_body_bytes = std::size_t{64} << 10U;

/** @brief Exchanges that wait for an answer, so that a stop can end them. */
class waiting_exchanges
{
public:
    /**
     * @brief Adds an exchange.
     * @param it Exchange that is about to wait.
     * @return False once the server stops; the exchange must not wait then.
     */
    [[nodiscard]] bool add(exchange_state& it);

    /** @param it Exchange that ended. */
    void remove(exchange_state& it);

    /** @brief Ends all that wait, and lets none wait from now on. */
    void abandon_all();

private:
    std::mutex lock_;
    bool stopping_{false};
    std::unordered_set<exchange_state*> waiting_;
};

/** @brief Answer, and how much of it to send. */
struct planned_answer
{
    response whole;
    /** @brief Bytes after which the connection is cut, if it is. */
    std::optional<std::size_t> cut_after{};
    /** @brief Whether the answer is sent once more on the connection. */
    bool twice{false};
};

/** @brief One request on one connection of libmicrohttpd. */
class exchange_state : public std::enable_shared_from_this<exchange_state>
{
public:
    /** @brief How the body of the request is treated. */
    enum class body_mode
    {
        keep,
        drop
    };

    /**
     * @brief Starts with the request line.
     * @param uri Path and query as written.
     */
    explicit exchange_state(std::string_view uri);

    /** @return The request. */
    [[nodiscard]] request& incoming() noexcept { return incoming_; }

    /**
     * @brief Reads method and headers.
     * @param connection Connection of the request.
     * @param method Method as written.
     */
    void read_head(MHD_Connection* connection, std::string_view method);

    /**
     * @brief Adds a part of the body.
     * @param part Bytes of the body.
     * @param most Largest body, in bytes.
     * @return False if the body is too large.
     */
    [[nodiscard]] bool add_body(std::string_view part, std::size_t most);

    /** @brief Plans an answer; only the first counts. Any thread. */
    void answer(planned_answer planned);

    /** @brief Closes the connection without an answer. Any thread. */
    void abandon();

    /**
     * @brief Sends the planned answer or suspends the connection.
     * @param waiting Where to note that it waits.
     * @param last_of_connection Whether to close the connection after it.
     * @return What libmicrohttpd's access handler is to return.
     */
    [[nodiscard]] MHD_Result proceed(waiting_exchanges& waiting,
                                     bool last_of_connection);

    /** @brief Notes that the connection is done with this request. */
    void end();

    body_mode mode{body_mode::keep};
    bool head_seen{false};
    bool handed_over{false};

private:
    void send_uncalled() const;

    std::mutex lock_;
    MHD_Connection* connection_{};
    request incoming_;
    std::size_t dropped_{};
    std::optional<planned_answer> planned_;
    /** @brief Second answer, sent behind the first. */
    std::string uncalled_;
    bool abandoned_{false};
    bool suspended_{false};
};

} // namespace rosemarytrail::http::internal

#endif
