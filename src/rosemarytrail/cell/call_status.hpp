#ifndef ROSEMARYTRAIL_CELL_CALL_STATUS_HPP
#define ROSEMARYTRAIL_CELL_CALL_STATUS_HPP

#include <rosemarytrail/cell/client_call.hpp>

#include <cstdint>
#include <optional>

namespace rosemarytrail::cell {

/** @brief What is known of a forwarded call after a query for its status. */
enum class call_progress : std::uint8_t
{
    /** @brief The peer is still serving the call. */
    in_progress,
    /** @brief The peer has responded to the call. */
    answered,
    /** @brief The peer does not know the call and will not serve it. */
    unknown,
    /** @brief Nothing listens at the address of the peer. */
    refused,
    /** @brief The peer did not respond to the query. */
    unanswered,
    /** @brief The peer runs a build that cannot be queried. */
    unsupported
};

/** @brief Status of a forwarded call. */
struct call_report
{
    call_progress progress{call_progress::unanswered};
    /** @brief Response to the call, if it is `answered`. */
    std::optional<client_answer> answer;
};

/** @brief Result of forwarding a call. */
struct forward_result
{
    /** @brief The call was not sent, so the peer did not execute it. */
    bool refused{false};
    /** @brief Response; nothing if none arrived. */
    std::optional<client_answer> answer;
};

} // namespace rosemarytrail::cell

#endif
