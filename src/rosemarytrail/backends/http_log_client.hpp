#ifndef ROSEMARYTRAIL_BACKENDS_HTTP_LOG_CLIENT_HPP
#define ROSEMARYTRAIL_BACKENDS_HTTP_LOG_CLIENT_HPP

#include <rosemarytrail/backends/log_client.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/client.hpp>

#include <memory>
#include <string>

namespace rosemarytrail::backends {

/** @brief Settings of a client of the log. */
struct http_log_options
{
    /** @brief Time for an append, and for a read beyond its own wait. */
    duration timeout{std::chrono::seconds{2}};
};

/**
 * @brief Makes a client of the log's HTTP interface.
 *
 * It never repeats an append. A refusal (429, 503, other 4xx) and a request
 * that was never sent are `refused`; all else without an offset is `unknown`.
 * @param client Sends the requests; outlives this. Callbacks come on its
 * threads.
 * @param base_url Address such as `http://10.0.0.9:7000`.
 * @param options Its settings.
 * @return The client.
 */
[[nodiscard]] std::unique_ptr<log_client>
make_http_log_client(http::client& client, std::string base_url,
                     const http_log_options& options = {});

} // namespace rosemarytrail::backends

#endif
