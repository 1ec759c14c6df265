#include <rosemarytrail/request/internal/intent_log_state.hpp>

#include <string>
#include <utility>

namespace rosemarytrail::request {

namespace {

constexpr duration busy_retry_delay{std::chrono::milliseconds{200}};

intent_outcome with_status(intent_status status, result_code code,
                           std::string detail)
{
    return {.status = status,
            .why = {.code = code, .detail = std::move(detail)}};
}

intent_outcome key_reused()
{
    return with_status(
        intent_status::not_run, result_code::request_id_reused,
        "the key was used with another method, path, query or body");
}

intent_outcome in_progress()
{
    auto it = with_status(intent_status::in_progress,
                          result_code::request_in_progress, {});
    it.why.retry_after = busy_retry_delay;
    return it;
}

intent_outcome ran_without_stored_response(int status)
{
    return with_status(intent_status::unknown, result_code::outcome_unknown,
                       "the request ran with status " + std::to_string(status) +
                           "; its response is not stored");
}

} // namespace

intent_outcome
intent_log::internal_state::evaluate(const intent_state& it,
                                     std::uint64_t fingerprint) const
{
    if (it.fingerprint != fingerprint) {
        return key_reused();
    }
    switch (it.phase) {
    case intent_phase::answered:
        return {.status = intent_status::answered, .answer = it.answer};
    case intent_phase::ran:
        return ran_without_stored_response(it.answer.status);
    case intent_phase::unknown:
        return with_status(intent_status::unknown, result_code::outcome_unknown,
                           {});
    case intent_phase::open:
        break;
    }
    if (it.writer == options.appends.writer || alive(it.writer)) {
        return in_progress();
    }
    return with_status(
        intent_status::unknown, result_code::outcome_unknown,
        "the entry VM that may have run the request is no longer alive");
}

std::optional<intent_outcome>
intent_log::internal_state::find_outcome(const intent_name& name,
                                         std::uint64_t fingerprint) const
{
    const auto waiting = pending_opens.find(name);
    if (waiting != pending_opens.end()) {
        const bool same = waiting->second.key.fingerprint == fingerprint;
        return same ? in_progress() : key_reused();
    }
    const auto closed = pending_closes.find(name);
    if (closed != pending_closes.end() && closed->second.ran) {
        return evaluate(closed->second, fingerprint);
    }
    const auto* const state = table.find(name);
    if (state == nullptr) {
        return std::nullopt;
    }
    // This daemon's own pending close frees the key before the log confirms it.
    const bool own = state->writer == options.appends.writer;
    if (own && closed != pending_closes.end()) {
        return std::nullopt;
    }
    return evaluate(*state, fingerprint);
}

intent_outcome
intent_log::internal_state::evaluate(const pending_close& it,
                                     std::uint64_t fingerprint) const
{
    if (it.fingerprint != fingerprint) {
        return key_reused();
    }
    if (it.answer.status == 0) {
        return with_status(intent_status::unknown, result_code::outcome_unknown,
                           {});
    }
    return {.status = intent_status::answered, .answer = it.answer};
}

} // namespace rosemarytrail::request
