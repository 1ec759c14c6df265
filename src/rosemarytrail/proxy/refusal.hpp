#ifndef ROSEMARYTRAIL_PROXY_REFUSAL_HPP
#define ROSEMARYTRAIL_PROXY_REFUSAL_HPP

#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/http/message.hpp>

#include <string_view>

namespace rosemarytrail::proxy {

/**
 * @brief Builds the response of a refused request as described in docs/API.md.
 * @param why Reason with its result code; its retry delay becomes
 * `Retry-After`.
 * @param not_run True only if the request was certainly not executed.
 * @param request_id Id of the request; empty if there is none.
 * @return Response with the HTTP status listed in docs/ERRORS.md.
 */
[[nodiscard]] http::response refusal(const reason& why, bool not_run,
                                     std::string_view request_id);

} // namespace rosemarytrail::proxy

#endif
