#ifndef ROSEMARYTRAIL_BACKENDS_HTTP_VM_LIST_CLIENT_HPP
#define ROSEMARYTRAIL_BACKENDS_HTTP_VM_LIST_CLIENT_HPP

#include <rosemarytrail/backends/vm_list_client.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/client.hpp>

#include <memory>
#include <string>

namespace rosemarytrail::backends {

/** @brief Settings of a client of the VM list. */
struct http_vm_list_options
{
    /** @brief Time for the whole list. */
    duration timeout{std::chrono::seconds{2}};
};

/**
 * @brief Makes a client of the VM list's HTTP interface; a list with one
 * malformed row counts as not answered. Where the list bears an `ETag`, the
 * next call asks only for a change, and an answer of 304 gives the same list
 * again.
 * @param client Sends the requests; outlives this. Callbacks come on its
 * threads.
 * @param base_url Address such as `http://10.0.0.9:7001`.
 * @param options Its settings.
 * @return The client.
 */
[[nodiscard]] std::unique_ptr<vm_list_client>
make_http_vm_list_client(http::client& client, std::string base_url,
                         const http_vm_list_options& options = {});

} // namespace rosemarytrail::backends

#endif
