#ifndef ROSEMARYTRAIL_HTTP_INTERNAL_CURL_TRANSFER_HPP
#define ROSEMARYTRAIL_HTTP_INTERNAL_CURL_TRANSFER_HPP

#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/http/internal/socket_table.hpp>

#include <curl/curl.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarytrail::http::internal {

/** @brief One request on its way, bound to one easy handle of libcurl. */
class curl_transfer
{
public:
    /**
     * @brief Takes a request; nothing is sent yet.
     * @param outgoing Request to send.
     * @param done Receives the result.
     * @param now Present time.
     */
    curl_transfer(client_request outgoing, client::callback done,
                  time_point now);
    curl_transfer(const curl_transfer&) = delete;
    curl_transfer& operator=(const curl_transfer&) = delete;
    ~curl_transfer();

    /** @return Host and port that the request goes to. */
    [[nodiscard]] std::string_view host() const noexcept;

    /** @return Moment at which the answer must be whole. */
    [[nodiscard]] time_point deadline() const noexcept;

    /** @return Text of what is wrong with the request; empty if nothing. */
    [[nodiscard]] std::string_view fault() const noexcept;

    /**
     * @brief Sets an easy handle up for this request.
     * @param easy Handle without options.
     * @param options Options of the client.
     * @param sockets Sockets of the connections; outlives the connections.
     * @param now Present time.
     */
    void prepare(CURL* easy, const client_options& options,
                 socket_table& sockets, time_point now);

    /** @return True if it met a stale connection; nothing was sent then. */
    [[nodiscard]] bool met_stale_connection() const noexcept { return stale_; }

    /** @brief Makes ready to be prepared again, for a fresh connection. */
    void renew();

    /** @return Handle that the request goes through, or null. */
    [[nodiscard]] CURL* easy() const noexcept { return easy_; }

    /**
     * @brief Reports the result that libcurl gave.
     * @param code Result of the transfer.
     * @param now Present time.
     */
    void finish(CURLcode code, time_point now);

    /**
     * @brief Reports that no byte was sent.
     * @param error Text for people.
     * @param now Present time.
     */
    void finish_unsent(std::string error, time_point now);

private:
    static std::size_t on_header(char* data, std::size_t size, std::size_t n,
                                 void* self);
    static std::size_t on_body(char* data, std::size_t size, std::size_t n,
                               void* self);
    static int on_send(void* self, char* peer, char* local, int peer_port,
                       int local_port);
    static curl_socket_t on_open(void* self, curlsocktype purpose,
                                 curl_sockaddr* address);
    static int on_close(void* sockets, curl_socket_t socket);

    [[nodiscard]] bool take_header(std::string_view line);
    [[nodiscard]] bool take_end_of_head();
    [[nodiscard]] transport_result classify(CURLcode code) const;
    void add_headers();
    void report(transport_result result, std::string error, time_point now);

    client_request outgoing_;
    client::callback done_;
    response answer_;
    time_point start_;
    CURL* easy_{};
    socket_table* sockets_{};
    /** @brief Connection that it was sent on. */
    std::optional<connection_key> connection_;
    /** @brief Socket opened for this request, if any. */
    curl_socket_t opened_{CURL_SOCKET_BAD};
    curl_slist* lines_{};
    unsigned sends_{};
    bool stale_{false};
    bool too_large_{false};
    bool crossed_{false};
    bool endless_{false};
    char error_[CURL_ERROR_SIZE]{};
};

} // namespace rosemarytrail::http::internal

#endif
