#ifndef ROSEMARYTRAIL_CELL_CLIENT_CALL_HPP
#define ROSEMARYTRAIL_CELL_CLIENT_CALL_HPP

#include <rosemarytrail/core/result_code.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/job.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace rosemarytrail::cell {

/** @brief What a client wants. */
enum class call_kind : std::uint8_t
{
    submit,
    status,
    cancel,
    /** @brief Number of jobs of a queue that have not begun. */
    pending
};

/**
 * @brief Names a kind of call in log lines.
 * @param kind Kind of call.
 * @return Its name.
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

/** @brief Call of a client, decoded. */
struct client_call
{
    call_kind kind{call_kind::status};
    std::string host;
    /** @brief Path as written; a queue's prefix and the job's id. */
    std::string path;
    /** @brief Key that the caller shows; empty for none. */
    std::string key;
    /** @brief Job handed in; absent if the body cannot be read. */
    std::optional<fleet::job_spec> job;
    /** @brief When the caller stops waiting. */
    time_point deadline;
    /** @brief Came from another node, so it is not handed on again. */
    bool forwarded{false};
    /** @brief Another node was asked and may have carried it out. */
    bool maybe_applied{false};
    /** @brief It must not be served by an older configuration. */
    std::int64_t min_config{};
};

/** @brief Kind of answer to a client. */
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
    /** @brief Not run; the caller may come back. */
    unavailable,
    /** @brief Not run: the account sends more than its share. */
    too_many,
    /** @brief The call may have taken effect. */
    outcome_unknown
};

/** @brief Answer to a client. */
struct client_answer
{
    answer_kind kind{answer_kind::unavailable};
    fleet::job_state state{fleet::job_state::queued};
    std::size_t pending{};
    result_code code{result_code::ok};
    /** @brief When it is worth coming back. */
    std::optional<duration> retry_after;
    /** @brief Configuration that it was decided on; zero for none. */
    std::int64_t config{};
};

} // namespace rosemarytrail::cell

#endif
