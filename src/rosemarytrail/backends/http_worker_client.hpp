#ifndef ROSEMARYTRAIL_BACKENDS_HTTP_WORKER_CLIENT_HPP
#define ROSEMARYTRAIL_BACKENDS_HTTP_WORKER_CLIENT_HPP

#include <rosemarytrail/backends/worker_client.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/client.hpp>

#include <memory>

namespace rosemarytrail::backends {

/** @brief Settings of a client of the workers. */
struct http_worker_options
{
    /** @brief Time for one batch. */
    duration timeout{std::chrono::seconds{1}};
};

/**
 * @brief Makes a client of the workers' HTTP interface.
 *
 * The address of a worker is `ip:port`, or `ip:port/prefix` where one process
 * stands in for many. A batch that was never sent, or that a 4xx other than
 * 412 refused, ends as `worker_unreachable`: the worker did nothing. An answer
 * that does not parse ends as `worker_answer_malformed`, and one that is lost
 * or a 5xx as `worker_answer_unknown`: the worker may have obeyed.
 * @param client Sends the requests; outlives this. Callbacks come on its
 * threads.
 * @param options Its settings.
 * @return The client.
 */
[[nodiscard]] std::unique_ptr<worker_client>
make_http_worker_client(http::client& client,
                        const http_worker_options& options = {});

} // namespace rosemarytrail::backends

#endif
