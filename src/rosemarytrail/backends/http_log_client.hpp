#ifndef ROSEMARYTRAIL_BACKENDS_HTTP_LOG_CLIENT_HPP
#define ROSEMARYTRAIL_BACKENDS_HTTP_LOG_CLIENT_HPP

#include <rosemarytrail/backends/log_client.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/client.hpp>

#include <memory>
#include <string>

namespace rosemarytrail::backends {

/** @brief Options of the HTTP log client. */
struct http_log_options
{
    /** @brief Timeout of an append, and of a read in addition to its `wait`. */
    duration timeout{std::chrono::seconds{2}};
};

/**
 * @brief Creates a client of the log's HTTP interface.
 *
 * It never retries an append. A rejection (503 or 4xx, such as 429) and a
 * request that was not sent are `refused`; any other result without an offset
 * is `unknown`.
 * @param client Sends the requests; must outlive the result. Callbacks run on
 * its threads.
 * @param base_url URL such as `http://10.0.0.9:7000`.
 * @param options Options of the client.
 * @return The client.
 */
[[nodiscard]] std::unique_ptr<log_client>
make_http_log_client(http::client& client, std::string base_url,
                     const http_log_options& options = {});

} // namespace rosemarytrail::backends

#endif
