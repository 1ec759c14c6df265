#ifndef ROSEMARYTRAIL_PROXY_REFUSAL_HPP
#define ROSEMARYTRAIL_PROXY_REFUSAL_HPP

#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/http/message.hpp>

#include <string_view>

namespace rosemarytrail::proxy {

/**
 * @brief Writes a refusal as docs/API.md describes it.
 * @param why Numbered reason; its wait becomes `Retry-After`.
 * @param not_run True only if it is certain that the request did not run.
 * @param request_id Id of the request; empty if it has none.
 * @return Answer with the status of docs/ERRORS.md.
 */
[[nodiscard]] http::response refusal(const reason& why, bool not_run,
                                     std::string_view request_id);

} // namespace rosemarytrail::proxy

#endif
