#ifndef ROSEMARYTRAIL_BACKENDS_HTTP_WORKER_CLIENT_HPP
#define ROSEMARYTRAIL_BACKENDS_HTTP_WORKER_CLIENT_HPP

#include <rosemarytrail/backends/worker_client.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/client.hpp>

#include <memory>

namespace rosemarytrail::backends {

/** @brief Options of the HTTP worker client. */
struct http_worker_options
{
    /** @brief Timeout of a batch. */
    duration timeout{std::chrono::seconds{1}};
};

/**
 * @brief Creates a client of the workers' HTTP interface.
 *
 * The address of a worker is `ip:port`, or `ip:port/prefix` where one process
 * simulates many workers. A batch that was not sent, or that was rejected with
 * a 4xx other than 412, results in `worker_unreachable`: the worker executed
 * nothing. A response that cannot be parsed results in
 * `worker_answer_malformed`; a lost response or a 5xx results in
 * `worker_answer_unknown`: the worker may have executed the batch.
 * @param client Sends the requests; must outlive the result. Callbacks run on
 * its threads.
 * @param options Options of the client.
 * @return The client.
 */
[[nodiscard]] std::unique_ptr<worker_client>
make_http_worker_client(http::client& client,
                        const http_worker_options& options = {});

} // namespace rosemarytrail::backends

#endif
