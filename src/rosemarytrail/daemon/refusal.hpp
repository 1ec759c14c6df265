#ifndef ROSEMARYTRAIL_DAEMON_REFUSAL_HPP
#define ROSEMARYTRAIL_DAEMON_REFUSAL_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/http/message.hpp>

#include <optional>
#include <string>

namespace rosemarytrail::daemon {

/** @brief Refusal that is sent to a caller. */
struct refusal
{
    reason why{};
    /** @brief True if the request definitely had no effect. */
    bool not_run{true};
    /** @brief Current revision, if a concurrent publication won. */
    std::optional<record_number> current{};
};

/**
 * @brief Formats a refusal as specified in docs/API.md, with the status of its
 * code and a retry-after time where a retry can succeed.
 * @param value Refusal to format.
 * @return Response without a request id.
 */
[[nodiscard]] http::response to_response(const refusal& value);

/**
 * @brief Returns the caller's request id if well formed, else a new one.
 * @param head Request.
 * @return Request id.
 */
[[nodiscard]] std::string request_id_of(const http::request& head);

} // namespace rosemarytrail::daemon

#endif
