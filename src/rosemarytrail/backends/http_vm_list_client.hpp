#ifndef ROSEMARYTRAIL_BACKENDS_HTTP_VM_LIST_CLIENT_HPP
#define ROSEMARYTRAIL_BACKENDS_HTTP_VM_LIST_CLIENT_HPP

#include <rosemarytrail/backends/vm_list_client.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/client.hpp>

#include <memory>
#include <string>

namespace rosemarytrail::backends {

/** @brief Options of the HTTP VM list client. */
struct http_vm_list_options
{
    /** @brief Timeout for the complete list. */
    duration timeout{std::chrono::seconds{2}};
};

/**
 * @brief Creates a client of the VM list's HTTP interface.
 *
 * A list with a malformed row counts as not answered. If a list carries an
 * `ETag`, the next request is conditional, and a 304 response returns the same
 * list again.
 * @param client Sends the requests; must outlive the result. Callbacks run on
 * its threads.
 * @param base_url URL such as `http://10.0.0.9:7001`.
 * @param options Options of the client.
 * @return The client.
 */
[[nodiscard]] std::unique_ptr<vm_list_client>
make_http_vm_list_client(http::client& client, std::string base_url,
                         const http_vm_list_options& options = {});

} // namespace rosemarytrail::backends

#endif
