#ifndef ROSEMARYTRAIL_DAEMON_REFUSAL_HPP
#define ROSEMARYTRAIL_DAEMON_REFUSAL_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/http/message.hpp>

#include <optional>
#include <string>

namespace rosemarytrail::daemon {

/** @brief Refusal as a caller gets it. */
struct refusal
{
    reason why{};
    /** @brief Whether it is certain that nothing was done. */
    bool not_run{true};
    /** @brief Revision in force, for the loser of a race. */
    std::optional<record_number> current{};
};

/**
 * @brief Writes a refusal as docs/API.md shows it, with the status of its
 * code, and when to come back where that is worth it.
 * @param value Refusal to write.
 * @return Answer without a request id.
 */
[[nodiscard]] http::response to_response(const refusal& value);

/**
 * @brief Id of a request: the caller's if it is well formed, else a fresh one.
 * @param head Request.
 * @return The id.
 */
[[nodiscard]] std::string request_id_of(const http::request& head);

} // namespace rosemarytrail::daemon

#endif
