#include <rosemarytrail/proxy/internal/call.hpp>

#include <rosemarytrail/proxy/forwarding.hpp>
#include <rosemarytrail/request/authenticator.hpp>
#include <rosemarytrail/request/retry_policy.hpp>

#include <utility>

namespace rosemarytrail::proxy {

namespace {

using request::intent_status;
using request::response_status;

constexpr duration short_retry_delay{std::chrono::milliseconds{100}};

http::response replay_response(const request::stored_response& kept,
                               std::string_view id)
{
    http::response answer{.status = kept.status, .body = kept.body};
    if (!kept.content_type.empty()) {
        answer.headers.push_back({"Content-Type", kept.content_type});
    }
    answer.headers.push_back({"X-Request-Id", std::string{id}});
    answer.headers.push_back({"X-Kept-Answer", "1"});
    return answer;
}

request::stored_response make_stored_response(const http::response& answer)
{
    const auto type = http::find_header(answer.headers, "Content-Type");
    return {.status = answer.status,
            .content_type = std::string{type.value_or("")},
            .body = answer.body};
}

bool has_request_id(response_status status)
{
    return status == response_status::whole ||
           status == response_status::failed ||
           status == response_status::stale;
}

} // namespace

call::call(std::shared_ptr<proxy_core> core,
           std::shared_ptr<http::exchange> exchange)
    : core_{std::move(core)}
    , exchange_{std::move(exchange)}
    , table_{core_->table()}
    , id_{core_->request_id(exchange_->incoming())}
    , started_{core_->clock.now()}
    , sent_before_{was_sent_before(exchange_->incoming())}
{}

void call::start()
{
    core_->requests.add();
    reason why;
    if (!check(why) || !core_->admission.enter(account_, why)) {
        refuse(why, true);
        return;
    }
    entered_ = true;
    deadline_ = started_ + target_.timeout;
    if (target_.idempotent) {
        dispatch();
    } else {
        open_intent();
    }
}

bool call::check(reason& why)
{
    const auto& incoming = exchange_->incoming();
    if (!table_) {
        why = {.code = result_code::catching_up,
               .retry_after = short_retry_delay};
        return false;
    }
    if (core_->draining) {
        why = {.code = result_code::draining, .retry_after = short_retry_delay};
        return false;
    }
    const auto authorization =
        http::find_header(incoming.headers, "Authorization");
    const auto* const key =
        request::authenticate(*table_, authorization, started_, why);
    if (key == nullptr) {
        return false;
    }
    team_ = key->team;
    account_ = key->account;
    const auto target =
        parse_service_request(incoming, core_->options.request_timeout, why);
    if (!target) {
        return false;
    }
    target_ = *target;
    if (!table_->services.contains(target_.service)) {
        why = {.code = result_code::service_unknown};
        return false;
    }
    return true;
}

void call::open_intent()
{
    reason why;
    if (!core_->admission.has_slot(make_slot(), table_->weights, why)) {
        refuse(why, true);
        return;
    }
    intent_ = {.team = team_,
               .service = target_.service,
               .key = target_.idempotency_key,
               .fingerprint = fingerprint(exchange_->incoming())};
    core_->intents.open(intent_, deadline_,
                        [self = shared_from_this()](auto outcome) {
                            self->on_intent(std::move(outcome));
                        });
}

void call::on_intent(request::intent_outcome outcome)
{
    switch (outcome.status) {
    case intent_status::run:
        intent_open_ = true;
        dispatch();
        return;
    case intent_status::answered:
        finish(replay_response(outcome.answer, id_));
        return;
    case intent_status::in_progress:
    case intent_status::unknown:
        refuse(outcome.why, false);
        return;
    case intent_status::not_run:
        break;
    }
    if (sent_before_ && outcome.why.code != result_code::request_id_reused) {
        outcome.why.code = result_code::outcome_unknown;
    }
    refuse(outcome.why, true);
}

void call::dispatch()
{
    reason why;
    slot_ = make_slot();
    const auto answer = core_->admission.enter_service(
        slot_, table_->weights, core_->clock.now(),
        [self = shared_from_this()](bool taken) {
            reason timed_out{.code = result_code::overloaded,
                             .retry_after = short_retry_delay};
            self->on_slot(taken, timed_out);
        },
        why);
    if (answer != request::slot_result::waiting) {
        on_slot(answer == request::slot_result::taken, why);
    }
}

void call::on_slot(bool taken, const reason& why)
{
    if (!taken) {
        close_unsent_intent();
        refuse(why, true);
        return;
    }
    in_service_ = true;
    core_->selector.record_request(target_.service);
    attempt();
}

void call::attempt()
{
    const auto now = core_->clock.now();
    reason why{.code = result_code::deadline_passed};
    std::optional<request::upstream_choice> choice;
    if (now < deadline_) {
        choice = core_->selector.choose(table_,
                                        {.service = target_.service,
                                         .tried = tried_,
                                         .read_offset = target_.read_offset,
                                         .preferred = target_.read_upstream},
                                        now, why);
    }
    if (!choice) {
        if (attempts_ > 0) {
            conclude(last_status_, std::move(last_answer_));
            return;
        }
        close_unsent_intent();
        refuse(why, true);
        return;
    }
    ++attempts_;
    core_->attempts.add();
    auto upstream_id = core_->make_id();
    auto outgoing =
        make_upstream_request(exchange_->incoming(), target_,
                              {.address = choice->address,
                               .upstream_id = upstream_id,
                               .request_id = id_,
                               .team = team_,
                               .remaining = attempt_timeout(now),
                               .retried = target_.retried || attempts_ > 1,
                               .answer_bytes = core_->options.answer_bytes});
    core_->upstreams.fetch(
        std::move(outgoing),
        [self = shared_from_this(), it = std::move(*choice),
         sent_id = std::move(upstream_id)](http::client_response result) {
            self->on_result(it, sent_id, std::move(result));
        });
}

void call::on_result(const request::upstream_choice& choice,
                     const std::string& upstream_id,
                     http::client_response result)
{
    const auto status =
        request::check_response(result, {.request_id = upstream_id,
                                         .read_offset = target_.read_offset,
                                         .known_offset = choice.known_offset});
    request::upstream_result report{.status = status,
                                    .elapsed = result.elapsed};
    if (has_request_id(status)) {
        report.write_offset =
            request::find_offset(result.answer.headers, "X-Write-Offset");
    }
    if (core_->selector.release(choice, report, core_->clock.now())) {
        core_->ejections.add();
    }
    core_->upstream_time.add(result.elapsed);
    upstream_time_ += result.elapsed;
    last_status_ = status;
    may_have_run_ = may_have_run_ || !request::certainly_not_run(status);
    if (status != response_status::whole) {
        core_->faults.add(request::code_of(status));
        tried_.push_back(choice.vm);
    }
    last_answer_ = std::move(result.answer);
    last_upstream_ = choice.vm;
    if (claim_retry(status)) {
        attempt();
        return;
    }
    conclude(status, std::move(last_answer_));
}

bool call::claim_retry(response_status status)
{
    const bool safe =
        request::may_retry({.idempotent = target_.idempotent,
                            .status = status,
                            .attempts = attempts_,
                            .max_attempts = core_->options.attempts,
                            .retried_by_caller = target_.retried,
                            .remaining = deadline_ - core_->clock.now()});
    if (!safe) {
        return false;
    }
    const auto code = request::code_of(status);
    if (!core_->selector.take_retry(target_.service)) {
        core_->retries_withheld.add(code);
        return false;
    }
    core_->retries.add(code);
    return true;
}

void call::conclude(response_status status, http::response answer)
{
    close_intent(status, answer);
    const bool forwardable =
        status == response_status::whole || status == response_status::failed;
    if (forwardable) {
        core_->answered.add();
        finish(make_caller_response(std::move(answer), id_, last_upstream_));
        return;
    }
    const auto code = request::code_of(status);
    reason why{.code = code};
    if (!target_.idempotent && may_have_run_) {
        why = {.code = result_code::outcome_unknown,
               .detail = std::string{describe(code).meaning}};
    } else {
        why.retry_after = short_retry_delay;
    }
    refuse(why, !may_have_run_);
}

void call::close_intent(response_status status, const http::response& answer)
{
    if (!std::exchange(intent_open_, false)) {
        return;
    }
    const bool known =
        status == response_status::whole || status == response_status::failed;
    core_->intents.close(intent_, may_have_run_,
                         known ? make_stored_response(answer)
                               : request::stored_response{});
}

void call::close_unsent_intent()
{
    if (std::exchange(intent_open_, false)) {
        core_->intents.close(intent_, false, {});
    }
}

void call::refuse(const reason& why, bool not_run)
{
    finish(core_->refuse(why, not_run && !sent_before_, id_));
}

void call::finish(http::response answer)
{
    std::vector<request::slot_notification> notifications;
    if (in_service_) {
        notifications =
            core_->admission.leave_service(slot_, core_->clock.now());
    }
    if (entered_) {
        core_->admission.leave(account_);
    }
    if (attempts_ > 0) {
        core_->added.add(core_->clock.now() - started_ - upstream_time_);
    }
    exchange_->respond(std::move(answer));
    core_->in_flight_gauge.add(-1);
    core_->in_flight.fetch_sub(1);
    notify(notifications);
}

request::service_slot call::make_slot()
{
    const auto now = core_->clock.now();
    return {.service = target_.service,
            .team = team_,
            .capacity = core_->selector.capacity(table_, target_.service, now)};
}

duration call::attempt_timeout(time_point now) const
{
    const auto remaining = deadline_ - now;
    const bool may_retry_after = target_.idempotent && !target_.retried &&
                                 attempts_ < core_->options.attempts;
    return may_retry_after ? remaining / 2 : remaining;
}

} // namespace rosemarytrail::proxy
