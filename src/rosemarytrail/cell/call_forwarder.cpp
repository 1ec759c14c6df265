#include <rosemarytrail/cell/call_forwarder.hpp>

#include <utility>

namespace rosemarytrail::cell {

namespace {

using answer_callback = std::function<void(client_answer)>;

[[nodiscard]] bool changes_job(call_kind kind)
{
    return kind == call_kind::submit || kind == call_kind::cancel;
}

} // namespace

/** @brief Call that is tried at one peer after another. */
struct call_forwarder::forwarded_call
{
    client_call call;
    std::vector<std::string> candidates;
    answer_callback done;
    /** @brief Number of abandoned peers that may have executed the call. */
    std::size_t uncertain{};

    [[nodiscard]] bool answered() const { return !done; }

    // A call that an abandoned peer may have executed is not reported as not
    // executed, also if the next peer, which need not know of it yet, rejects
    // it.
    void complete(client_answer answer)
    {
        if (uncertain > 0 && changes_job(call.kind) &&
            is_rejection(answer.kind)) {
            answer.kind = answer_kind::outcome_unknown;
            answer.code = result_code::submission_outcome_unknown;
        }
        if (auto callback = std::exchange(done, nullptr)) {
            callback(answer);
        }
    }
};

/** @brief Call that was sent to one peer. */
struct call_forwarder::attempt
{
    std::shared_ptr<forwarded_call> of;
    std::string address;
    call_number number;
    forward_plan plan;
    time_point sent;
    /** @brief Another peer was tried. */
    bool abandoned{false};
    /** @brief The abandoned peer may have executed the call. */
    bool uncertain{false};
};

call_forwarder::call_forwarder(const forward_options& options,
                               std::string origin, http::event_loop& loop,
                               peer_link& peers, forward_listener& listener)
    : options_{options}
    , origin_{std::move(origin)}
    , loop_{loop}
    , peers_{peers}
    , listener_{listener}
{}

void call_forwarder::forward(client_call call,
                             std::vector<std::string> candidates,
                             answer_callback done)
{
    try_next(std::make_shared<forwarded_call>(
        forwarded_call{.call = std::move(call),
                       .candidates = std::move(candidates),
                       .done = std::move(done)}));
}

void call_forwarder::try_next(const std::shared_ptr<forwarded_call>& of)
{
    const auto now = boot_clock::now();
    if (of->candidates.empty() || now + options_.min_time > of->call.deadline) {
        listener_.serve_here(of->call, [of](const client_answer& answer) {
            of->complete(answer);
        });
        return;
    }
    const bool changes = changes_job(of->call.kind);
    auto it = std::make_shared<attempt>(
        attempt{.of = of,
                .address = std::move(of->candidates.front()),
                .number = {},
                .plan = forward_plan{options_, changes, of->call.deadline, now},
                .sent = now});
    of->candidates.erase(of->candidates.begin());
    auto call = of->call;
    if (changes) {
        it->number = {.origin = origin_, .value = ++last_number_};
        call.number = it->number;
    } else {
        // The peer responds before this node stops waiting for it.
        call.deadline = it->plan.give_up_at();
    }
    listener_.on_forward(of->call, it->address);
    peers_.forward(
        it->address, call, it->plan.give_up_at() - now,
        [this, it](const forward_result& result) { on_result(it, result); });
    run(it);
}

void call_forwarder::on_result(const std::shared_ptr<attempt>& it,
                               const forward_result& result)
{
    if (result.answer) {
        on_answer(it, *result.answer);
        return;
    }
    if (result.refused) {
        it->plan.on_refused();
    } else {
        it->plan.on_lost(boot_clock::now());
    }
    run(it);
}

void call_forwarder::on_answer(const std::shared_ptr<attempt>& it,
                               const client_answer& answer)
{
    listener_.on_peer_answer(answer);
    auto& of = *it->of;
    if (of.answered()) {
        return;
    }
    if (!it->abandoned) {
        if (answer.kind == answer_kind::unavailable) {
            abandon(it, describe(answer.code).name, false);
        } else {
            of.complete(answer);
        }
        return;
    }
    // The peer was only slow. If it executed the call, that is the result.
    if (is_rejection(answer.kind)) {
        of.uncertain -= std::exchange(it->uncertain, false) ? 1U : 0U;
    } else if (answer.kind != answer_kind::outcome_unknown) {
        of.complete(answer);
    }
}

void call_forwarder::run(const std::shared_ptr<attempt>& it)
{
    if (it->of->answered() || it->abandoned) {
        return;
    }
    const auto next = it->plan.decide(boot_clock::now());
    switch (next.action) {
    case forward_action::query:
        query(it);
        return;
    case forward_action::next_peer:
        abandon(it, it->plan.maybe_executed() ? "no response" : "refused",
                it->plan.maybe_executed());
        return;
    case forward_action::give_up:
        report_failure(*it, "deadline");
        it->of->complete({.kind = answer_kind::outcome_unknown,
                          .code = result_code::submission_outcome_unknown});
        return;
    case forward_action::wait:
        loop_.post_at(next.until, [this, it] { run(it); });
        return;
    }
}

void call_forwarder::query(const std::shared_ptr<attempt>& it)
{
    it->plan.on_query_sent(boot_clock::now());
    listener_.on_status_query();
    peers_.query_call(it->address, it->number, options_.query_timeout,
                      [this, it](const call_report& report) {
                          if (report.answer) {
                              on_answer(it, *report.answer);
                              return;
                          }
                          it->plan.on_report(report.progress,
                                             boot_clock::now());
                          run(it);
                      });
    run(it);
}

void call_forwarder::abandon(const std::shared_ptr<attempt>& it,
                             std::string_view reason, bool maybe_executed)
{
    it->abandoned = true;
    it->uncertain = maybe_executed;
    it->of->uncertain += maybe_executed ? 1U : 0U;
    report_failure(*it, reason);
    // Calls are idempotent, so another peer may be tried.
    try_next(it->of);
}

void call_forwarder::report_failure(const attempt& it, std::string_view reason)
{
    listener_.on_peer_failed(it.of->call, it.address, reason,
                             boot_clock::now() - it.sent);
}

} // namespace rosemarytrail::cell
