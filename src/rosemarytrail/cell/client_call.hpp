#ifndef ROSEMARYTRAIL_CELL_CLIENT_CALL_HPP
#define ROSEMARYTRAIL_CELL_CLIENT_CALL_HPP

#include <rosemarytrail/core/result_code.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/job.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace rosemarytrail::cell {

/** @brief Operation that a client requests. */
enum class call_kind : std::uint8_t
{
    submit,
    status,
    cancel,
    /** @brief Number of jobs in a queue that have not started. */
    pending
};

/**
 * @brief Returns the name of a call kind for log lines.
 * @param kind Kind of call.
 * @return Name of the kind.
 */
[[nodiscard]] constexpr std::string_view to_text(call_kind kind) noexcept
{
    switch (kind) {
    case call_kind::submit:
        return "submit";
    case call_kind::status:
        return "status";
    case call_kind::cancel:
        return "cancel";
    case call_kind::pending:
        break;
    }
    return "pending";
}

/** @brief Identifies a call that one node forwards to another. */
struct call_number
{
    /** @brief Name of the incarnation that forwards the call; empty if the call
     * has no number. */
    std::string origin;
    /** @brief Number that is unique within the incarnation. */
    std::uint64_t value{};

    // clang-tidy mistakes the rewritten comparison for a null pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const call_number&,
                                          const call_number&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

/** @brief Decoded call of a client. */
struct client_call
{
    call_kind kind{call_kind::status};
    std::string host;
    /** @brief Request path: the prefix of a queue, followed by the job id. */
    std::string path;
    /** @brief API key of the caller; empty if none was sent. */
    std::string key;
    /** @brief Submitted job; absent if the body is not valid. */
    std::optional<fleet::job_spec> job;
    /** @brief Time at which the caller stops waiting. */
    time_point deadline;
    /** @brief The call was forwarded by another node and is not forwarded
     * again. */
    bool forwarded{false};
    /** @brief Minimum configuration version for serving the call. */
    std::int64_t min_config{};
    /** @brief Number by which the origin of a forwarded call queries its
     * status. */
    call_number number{};
};

/** @brief Kind of response to a client. */
enum class answer_kind : std::uint8_t
{
    accepted,
    cancelled,
    state,
    pending,
    no_such_job,
    no_such_queue,
    not_authorised,
    malformed,
    /** @brief Not executed; the caller may retry. */
    unavailable,
    /** @brief Not executed: the client account exceeds its share. */
    too_many,
    /** @brief The call may have taken effect. */
    outcome_unknown
};

/**
 * @brief Checks whether a response states that a call was not executed because
 * of the state of the node that rejected it; another node may have executed it.
 * @param kind Kind of response.
 * @return True if it does. A malformed call is malformed at every node.
 */
[[nodiscard]] constexpr bool is_rejection(answer_kind kind) noexcept
{
    switch (kind) {
    case answer_kind::no_such_queue:
    case answer_kind::not_authorised:
    case answer_kind::unavailable:
    case answer_kind::too_many:
        return true;
    case answer_kind::accepted:
    case answer_kind::cancelled:
    case answer_kind::state:
    case answer_kind::pending:
    case answer_kind::no_such_job:
    case answer_kind::malformed:
    case answer_kind::outcome_unknown:
        break;
    }
    return false;
}

/** @brief Response to a client. */
struct client_answer
{
    answer_kind kind{answer_kind::unavailable};
    fleet::job_state state{fleet::job_state::queued};
    std::size_t pending{};
    result_code code{result_code::ok};
    /** @brief Delay after which a retry is worthwhile. */
    std::optional<duration> retry_after;
    /** @brief Version of the configuration that the response is based on; zero
     * for none. */
    std::int64_t config{};
};

} // namespace rosemarytrail::cell

#endif
