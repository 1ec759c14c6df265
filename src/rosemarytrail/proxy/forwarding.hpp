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

/** @brief Parameters of one attempt to forward a request. */
struct attempt_options
{
    /** @brief Address of the upstream, `ip:port`. */
    std::string_view address;
    /** @brief Request id that the response must carry. */
    std::string_view upstream_id;
    /** @brief Request id known to the caller. */
    std::string_view request_id;
    const team_id& team;
    /**
     * @brief Time remaining for the attempt; also sent to the upstream as its
     * deadline.
     */
    duration remaining{};
    /** @brief The request was sent before, by this proxy or by the caller. */
    bool retried{false};
    /**
     * @brief Maximum size of the response, in bytes; a larger one is treated as
     * cut off.
     */
    std::size_t answer_bytes{};
};

/**
 * @brief Builds the request to send to an upstream.
 *
 * Credentials, hop-by-hop headers and headers that only an entry VM may set are
 * removed.
 * @param incoming Request of the caller.
 * @param target Parsed request head.
 * @param options Parameters of this attempt.
 * @return Request to send.
 */
[[nodiscard]] http::client_request
make_upstream_request(const http::request& incoming,
                      const service_request& target,
                      const attempt_options& options);

/**
 * @brief Builds the response to the caller from that of an upstream.
 * @param answer Complete response of the upstream.
 * @param request_id Request id known to the caller.
 * @param upstream Upstream that sent the response.
 * @return Response without hop-by-hop headers.
 */
[[nodiscard]] http::response make_caller_response(http::response answer,
                                                  std::string_view request_id,
                                                  const vm_id& upstream);

} // namespace rosemarytrail::proxy

#endif
