#include <rosemarytrail/request/internal/intent_log_state.hpp>

#include <string>
#include <utility>

namespace rosemarytrail::request {

namespace {

constexpr duration busy_wait{std::chrono::milliseconds{200}};

intent_outcome with_verdict(intent_verdict verdict, result_code code,
                            std::string detail)
{
    return {.verdict = verdict,
            .why = {.code = code, .detail = std::move(detail)}};
}

intent_outcome reused()
{
    return with_verdict(
        intent_verdict::not_run, result_code::request_id_reused,
        "the key was used with another method, path, query or body");
}

intent_outcome in_progress()
{
    auto it = with_verdict(intent_verdict::in_progress,
                           result_code::request_in_progress, {});
    it.why.retry_after = busy_wait;
    return it;
}

intent_outcome ran_without_answer(int status)
{
    return with_verdict(intent_verdict::unknown, result_code::outcome_unknown,
                        "the request ran with status " +
                            std::to_string(status) +
                            "; its response is not stored");
}

} // namespace

intent_outcome
intent_log::internal_state::judge(const intent_state& it,
                                  std::uint64_t fingerprint) const
{
    if (it.fingerprint != fingerprint) {
        return reused();
    }
    switch (it.phase) {
    case intent_phase::answered:
        return {.verdict = intent_verdict::answered, .answer = it.answer};
    case intent_phase::ran:
        return ran_without_answer(it.answer.status);
    case intent_phase::unknown:
        return with_verdict(intent_verdict::unknown,
                            result_code::outcome_unknown, {});
    case intent_phase::open:
        break;
    }
    if (it.writer == options.appends.writer || alive(it.writer)) {
        return in_progress();
    }
    return with_verdict(
        intent_verdict::unknown, result_code::outcome_unknown,
        "the entry VM that may have run the request is no longer alive");
}

std::optional<intent_outcome>
intent_log::internal_state::known(const intent_name& name,
                                  std::uint64_t fingerprint) const
{
    const auto waiting = opens.find(name);
    if (waiting != opens.end()) {
        const bool same = waiting->second.key.fingerprint == fingerprint;
        return same ? in_progress() : reused();
    }
    const auto closed = closes.find(name);
    if (closed != closes.end() && closed->second.ran) {
        return judge(closed->second, fingerprint);
    }
    const auto* const state = table.find(name);
    if (state == nullptr) {
        return std::nullopt;
    }
    // This daemon's own pending close frees the key before the log confirms it.
    const bool own = state->writer == options.appends.writer;
    if (own && closed != closes.end()) {
        return std::nullopt;
    }
    return judge(*state, fingerprint);
}

intent_outcome
intent_log::internal_state::judge(const pending_close& it,
                                  std::uint64_t fingerprint) const
{
    if (it.fingerprint != fingerprint) {
        return reused();
    }
    if (it.answer.status == 0) {
        return with_verdict(intent_verdict::unknown,
                            result_code::outcome_unknown, {});
    }
    return {.verdict = intent_verdict::answered, .answer = it.answer};
}

} // namespace rosemarytrail::request
