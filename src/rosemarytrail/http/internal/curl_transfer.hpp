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

/** @brief Request that is sent with one libcurl easy handle. */
class curl_transfer
{
public:
    /**
     * @brief Stores a request without sending it.
     * @param outgoing Request to send.
     * @param done Receives the result.
     * @param now Current time.
     */
    curl_transfer(client_request outgoing, client::callback done,
                  time_point now);
    curl_transfer(const curl_transfer&) = delete;
    curl_transfer& operator=(const curl_transfer&) = delete;
    ~curl_transfer();

    /** @return Host and port that the request goes to. */
    [[nodiscard]] std::string_view host() const noexcept;

    /** @return Time by which the response must be complete. */
    [[nodiscard]] time_point deadline() const noexcept;

    /** @return Why the request is invalid; empty if it is valid. */
    [[nodiscard]] std::string_view validation_error() const noexcept;

    /**
     * @brief Configures an easy handle for this request.
     * @param easy Handle with default options.
     * @param options Options of the client.
     * @param sockets Sockets of the connections; must outlive them.
     * @param now Current time.
     */
    void prepare(CURL* easy, const client_options& options,
                 socket_table& sockets, time_point now);

    /** @return True if it was aborted, unsent, on a stale connection. */
    [[nodiscard]] bool met_stale_connection() const noexcept { return stale_; }

    /** @brief Resets the state for another prepare() with a new connection. */
    void prepare_retry();

    /** @return Handle that the request is sent with, or null. */
    [[nodiscard]] CURL* easy() const noexcept { return easy_; }

    /**
     * @brief Reports the result of libcurl.
     * @param code Result of the transfer.
     * @param now Current time.
     */
    void finish(CURLcode code, time_point now);

    /**
     * @brief Reports that no byte was sent.
     * @param error Description of the error.
     * @param now Current time.
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

    [[nodiscard]] bool parse_header(std::string_view line);
    [[nodiscard]] bool on_head_end();
    [[nodiscard]] transport_result classify(CURLcode code) const;
    void add_headers();
    void report(transport_result result, std::string error, time_point now);

    client_request outgoing_;
    client::callback done_;
    response answer_;
    time_point start_;
    CURL* easy_{};
    socket_table* sockets_{};
    /** @brief Connection that the request was sent on. */
    std::optional<connection_key> connection_;
    /** @brief Socket opened for this request, if any. */
    curl_socket_t opened_{CURL_SOCKET_BAD};
    curl_slist* header_list_{};
    unsigned sends_{};
    bool stale_{false};
    bool too_large_{false};
    bool crossed_{false};
    bool unframed_{false};
    char error_[CURL_ERROR_SIZE]{};
};

} // namespace rosemarytrail::http::internal

#endif
