#include <rosemarytrail/request/internal/intent_log_state.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::request {

namespace {

constexpr duration down_retry_delay{std::chrono::seconds{1}};
constexpr duration busy_retry_delay{std::chrono::milliseconds{200}};

intent_name name_of(const intent_key& key)
{
    return {.team = key.team, .service = key.service, .key = key.key};
}

intent_outcome not_run(result_code code, std::string detail, duration wait)
{
    return {.status = intent_status::not_run,
            .why = {.code = code,
                    .detail = std::move(detail),
                    .retry_after = wait}};
}

} // namespace

void intent_log::internal_state::perform(actions todo)
{
    const auto weak = weak_from_this();
    if (todo.append) {
        log.append(options.stream, std::move(todo.append->payload),
                   [weak](const backends::append_outcome& outcome) {
                       if (const auto self = weak.lock()) {
                           self->on_append(outcome);
                       }
                   });
    }
    if (todo.read) {
        log.read(std::move(*todo.read),
                 [weak](const backends::read_outcome& outcome) {
                     if (const auto self = weak.lock()) {
                         self->on_read(outcome);
                     }
                 });
    }
    for (auto& [done, outcome] : todo.calls) {
        done(std::move(outcome));
    }
}

void intent_log::internal_state::plan_io(actions& todo, time_point now)
{
    push_unsent_closes();
    if (!append_in_flight) {
        todo.append = queue.next(now);
        append_in_flight = todo.append.has_value();
    }
    if (!read_in_flight && now >= next_read) {
        read_in_flight = true;
        const auto wait = caught_up ? options.read_wait : duration{};
        todo.read = backends::read_options{
            .stream = options.stream, .from = next_offset, .wait = wait};
    }
}

void intent_log::internal_state::on_append(
    const backends::append_outcome& outcome)
{
    actions todo;
    {
        const std::lock_guard lock{mutex};
        const auto now = clock.now();
        append_in_flight = false;
        if (outcome.result == backends::append_result::appended) {
            append_failures = 0;
            queue.appended(now);
        } else {
            queue.failed(outcome.retry_after, now);
            append_failures += outcome.retry_after ? 0 : 1;
            abandon_opens_if_down(todo);
        }
        plan_io(todo, now);
    }
    perform(std::move(todo));
}

void intent_log::internal_state::on_read(const backends::read_outcome& outcome)
{
    actions todo;
    {
        const std::lock_guard lock{mutex};
        const auto now = clock.now();
        read_in_flight = false;
        switch (outcome.result) {
        case backends::read_result::read:
            read_failures = 0;
            for (const auto& entry : outcome.entries) {
                apply(entry, todo, now);
            }
            caught_up = caught_up || next_offset >= outcome.next_offset;
            break;
        case backends::read_result::trimmed:
            skip_trimmed(outcome.first_offset, todo);
            break;
        case backends::read_result::failed:
            ++read_failures;
            next_read = now + options.read_retry;
            abandon_opens_if_down(todo);
            break;
        }
        plan_io(todo, now);
    }
    perform(std::move(todo));
}

void intent_log::internal_state::apply(const backends::log_entry& entry,
                                       actions& todo, time_point now)
{
    if (entry.offset < next_offset) {
        return;
    }
    next_offset = entry.offset + 1;
    std::uint64_t unknown = 0;
    reason why;
    const auto batch = state::decode(entry.payload, unknown, why);
    if (!batch) {
        return;
    }
    const auto result = table.apply(entry.offset, *batch);
    if (batch->writer != options.appends.writer || result.repeated) {
        return;
    }
    for (const auto& name : result.closed) {
        const auto it = pending_closes.find(name);
        if (it != pending_closes.end() &&
            it->second.sequence == batch->sequence) {
            pending_closes.erase(it);
        }
    }
    for (const auto& it : result.opened) {
        resolve(it, batch->sequence, todo, now);
    }
}

void intent_log::internal_state::resolve(const intent_open_result& it,
                                         std::uint64_t sequence, actions& todo,
                                         time_point now)
{
    const auto found = pending_opens.find(it.name);
    if (found == pending_opens.end() || found->second.sequence != sequence) {
        return;
    }
    auto waiting = std::move(found->second);
    pending_opens.erase(found);
    if (it.won && now >= waiting.deadline) {
        abandon(waiting, result_code::deadline_passed, todo);
        return;
    }
    const auto* const state = table.find(it.name);
    auto outcome = it.won || state == nullptr
                       ? intent_outcome{.status = intent_status::run}
                       : evaluate(*state, waiting.key.fingerprint);
    if (!it.won && state == nullptr) {
        outcome =
            not_run(result_code::request_not_run,
                    "another entry VM opened the intent and did not run it",
                    busy_retry_delay);
    }
    todo.calls.emplace_back(std::move(waiting.done), std::move(outcome));
}

void intent_log::internal_state::skip_trimmed(std::uint64_t from, actions& todo)
{
    // The trimmed records were never read, so none of this daemon's intents
    // among them was dispatched.
    for (auto& [name, it] : pending_opens) {
        abandon(it, result_code::log_trimmed, todo);
    }
    pending_opens.clear();
    next_offset = std::max(from, next_offset + 1);
}

std::optional<intent_outcome> intent_log::internal_state::refuse() const
{
    if (!caught_up) {
        return not_run(result_code::catching_up,
                       "the intent stream is still being read",
                       busy_retry_delay);
    }
    if (is_down()) {
        return not_run(result_code::log_down,
                       "the log is down, so the intent cannot be recorded",
                       down_retry_delay);
    }
    // Half of the queue is reserved for closes, which must not be lost.
    if (queue.waiting() >= options.appends.max_queued_records / 2) {
        return not_run(result_code::queue_full, "too many intents are queued",
                       busy_retry_delay);
    }
    return std::nullopt;
}

void intent_log::internal_state::open(intent_key key, time_point deadline,
                                      callback done, actions& todo)
{
    const auto name = name_of(key);
    auto outcome = find_outcome(name, key.fingerprint);
    if (!outcome) {
        outcome = refuse();
    }
    if (outcome) {
        todo.calls.emplace_back(std::move(done), std::move(*outcome));
        return;
    }
    reason why;
    const auto sequence =
        queue.push(state::intent_opened{.team = key.team,
                                        .service = key.service,
                                        .key = key.key,
                                        .fingerprint = key.fingerprint},
                   why);
    if (!sequence) {
        todo.calls.emplace_back(
            std::move(done), not_run(why.code, why.detail, busy_retry_delay));
        return;
    }
    const auto limit = clock.now() + options.open_timeout;
    pending_opens.insert_or_assign(
        name, pending_open{.key = std::move(key),
                           .sequence = *sequence,
                           .deadline = std::min(deadline, limit),
                           .done = std::move(done)});
}

void intent_log::internal_state::close(const intent_key& key, bool ran,
                                       stored_response answer)
{
    const bool small = answer.body.size() <= options.max_stored_body_bytes;
    const bool answered = ran && answer.status != 0 && small;
    state::intent_closed record{.team = key.team,
                                .service = key.service,
                                .key = key.key,
                                .ran = ran,
                                .answered = answered,
                                .status =
                                    static_cast<std::uint32_t>(answer.status)};
    if (answered) {
        record.content_type = answer.content_type;
        record.body = answer.body;
    }
    pending_closes.insert_or_assign(
        name_of(key), pending_close{.fingerprint = key.fingerprint,
                                    .ran = ran,
                                    .answer = std::move(answer)});
    unsent_closes.push_back(std::move(record));
    push_unsent_closes();
}

void intent_log::internal_state::push_unsent_closes()
{
    while (!unsent_closes.empty()) {
        auto& record = unsent_closes.front();
        const intent_name name{
            .team = record.team, .service = record.service, .key = record.key};
        reason why;
        const auto sequence = queue.push(record, why);
        if (!sequence) {
            return;
        }
        const auto it = pending_closes.find(name);
        if (it != pending_closes.end()) {
            it->second.sequence = *sequence;
        }
        unsent_closes.pop_front();
    }
}

void intent_log::internal_state::abandon(const pending_open& it,
                                         result_code code, actions& todo)
{
    // The request was never dispatched; the close follows the opening record in
    // the log.
    close(it.key, false, {});
    todo.calls.emplace_back(
        it.done,
        not_run(code,
                "the intent was not recorded in time; this attempt was not run",
                down_retry_delay));
}

void intent_log::internal_state::expire(actions& todo, time_point now)
{
    std::erase_if(pending_opens, [&](const auto& it) {
        if (now < it.second.deadline) {
            return false;
        }
        abandon(it.second, result_code::log_slow, todo);
        return true;
    });
}

void intent_log::internal_state::abandon_opens_if_down(actions& todo)
{
    if (!is_down()) {
        return;
    }
    for (const auto& [name, it] : pending_opens) {
        abandon(it, result_code::log_down, todo);
    }
    pending_opens.clear();
}

intent_log::intent_log(const intent_log_options& options,
                       backends::log_client& log, const time_source& clock,
                       liveness alive)
    : state_{std::make_shared<internal_state>(options, log, clock,
                                              std::move(alive))}
{}

intent_log::~intent_log() = default;

void intent_log::open(intent_key key, time_point deadline,
                      std::function<void(intent_outcome)> done)
{
    internal_state::actions todo;
    {
        const std::lock_guard lock{state_->mutex};
        state_->open(std::move(key), deadline, std::move(done), todo);
        state_->plan_io(todo, state_->clock.now());
    }
    state_->perform(std::move(todo));
}

void intent_log::close(const intent_key& key, bool ran, stored_response answer)
{
    internal_state::actions todo;
    {
        const std::lock_guard lock{state_->mutex};
        state_->close(key, ran, std::move(answer));
        state_->plan_io(todo, state_->clock.now());
    }
    state_->perform(std::move(todo));
}

void intent_log::tick(time_point now)
{
    internal_state::actions todo;
    {
        const std::lock_guard lock{state_->mutex};
        state_->expire(todo, now);
        state_->plan_io(todo, now);
    }
    state_->perform(std::move(todo));
}

bool intent_log::caught_up() const
{
    const std::lock_guard lock{state_->mutex};
    return state_->caught_up;
}

bool intent_log::log_down() const
{
    const std::lock_guard lock{state_->mutex};
    return state_->is_down();
}

bool intent_log::flushed() const
{
    const std::lock_guard lock{state_->mutex};
    return state_->unsent_closes.empty() && state_->queue.waiting() == 0 &&
           state_->pending_opens.empty();
}

} // namespace rosemarytrail::request
