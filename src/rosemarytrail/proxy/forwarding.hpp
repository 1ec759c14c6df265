#ifndef ROSEMARYTRAIL_PROXY_FORWARDING_HPP
#define ROSEMARYTRAIL_PROXY_FORWARDING_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/http/message.hpp>
#include <rosemarytrail/proxy/service_request.hpp>

#include <string>
#include <string_view>

namespace rosemarytrail::proxy {

/** @brief What one attempt adds to a request. */
struct forward_options
{
    /** @brief Address of the upstream, `ip:port`. */
    std::string_view address;
    /** @brief Id that the answer must bear. */
    std::string_view upstream_id;
    /** @brief Id that the caller knows the request by. */
    std::string_view request_id;
    const team_id& team;
    /** @brief Time until the caller's deadline. */
    duration left{};
    /** @brief It was sent before, here or by the caller. */
    bool retried{false};
    /** @brief Largest answer, in bytes. */
    std::size_t answer_bytes{};
};

/**
 * @brief Makes the request that an upstream gets.
 *
 * Keys and headers of the connection are left out; so are headers that only an
 * entry VM may set.
 * @param incoming Request of the caller.
 * @param target What its head says.
 * @param options What this attempt adds.
 * @return Request to send.
 */
[[nodiscard]] http::client_request forward(const http::request& incoming,
                                           const service_request& target,
                                           const forward_options& options);

/**
 * @brief Makes the answer that the caller gets from that of an upstream.
 * @param answer Whole answer of the upstream.
 * @param request_id Id that the caller knows the request by.
 * @param upstream Upstream that gave it.
 * @return Answer without the headers of the connection.
 */
[[nodiscard]] http::response give_back(http::response answer,
                                       std::string_view request_id,
                                       const vm_id& upstream);

} // namespace rosemarytrail::proxy

#endif
