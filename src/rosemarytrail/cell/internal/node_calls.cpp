#include <rosemarytrail/cell/internal/node_state.hpp>

#include <rosemarytrail/cell/retry_delay.hpp>
#include <rosemarytrail/fleet/admission.hpp>
#include <rosemarytrail/logging/event_log.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::cell {

namespace {

/** @brief Retry-After of rejections that no outage of the store causes. */
constexpr duration short_retry_after{std::chrono::seconds{1}};
/** @brief Retry-After while the cell holds as many tasks as it can track. */
constexpr duration full_retry_after{std::chrono::seconds{5}};
/** @brief Maximum number of peers that a call is forwarded to, one after
 * another. */
constexpr std::size_t max_forward_attempts = 2;
/** @brief Response to a forwarded call that is not served, since its origin was
 * told so or too many are in progress. */
constexpr client_answer peer_call_refused{.kind = answer_kind::unavailable,
                                          .code = result_code::queue_full,
                                          .retry_after = short_retry_after};

/** @return Job id in the path of a call; empty if there is none. */
[[nodiscard]] std::string_view job_of(std::string_view path)
{
    return path.substr(std::min(path.rfind('/') + 1, path.size()));
}

} // namespace

void node::internal_state::serve(client_call call,
                                 std::function<void(client_answer)> done)
{
    const auto now = boot_clock::now();
    if (call.forwarded && !call.number.origin.empty()) {
        if (!peer_calls.begin(call.number, now)) {
            log_answer(call.kind, call.path, peer_call_refused, now, now);
            done(peer_call_refused);
            return;
        }
        done = [this, number = call.number,
                done = std::move(done)](const client_answer& it) {
            peer_calls.finish(number, it, boot_clock::now());
            done(it);
        };
    }
    auto reply = [this, kind = call.kind, path = call.path, now,
                  done = std::move(done)](client_answer it) {
        const auto answered = boot_clock::now();
        metrics.client_call.add(answered - now);
        it.config = std::max(it.config, config ? config->version : 0);
        log_answer(kind, path, it, now, answered);
        done(it);
    };
    // The store may reject the calls of this node and serve those of others.
    const bool outdated = config && config->version < peer_config;
    // A node that has just started knows only the jobs that it accepted itself.
    const bool uncounted = call.kind == call_kind::pending && !ledger.loaded();
    const bool suspect = shared.is_suspect(now, options.store_suspect_after);
    if (!call.forwarded && !ledger.running() && !outdated && !suspect) {
        if (const auto rejection = check_call(call)) {
            reply(*rejection);
            return;
        }
    }
    if (!call.forwarded &&
        (!ledger.running() || outdated || uncounted || suspect)) {
        call.min_config = std::max(peer_config, config ? config->version : 0);
        forwarder.forward(std::move(call), pick_peers(), std::move(reply));
        return;
    }
    serve_here(std::move(call), std::move(reply));
}

// A node that does not follow the ledger prefers the leader, which answers
// without a read.
std::vector<std::string> node::internal_state::pick_peers() const
{
    std::vector<std::string> result;
    const auto leader = leader_address();
    const auto self_address = address_of(options.member);
    for (const auto& it : followers) {
        auto address = address_of(it);
        if (address != self_address && address != leader && !address.empty()) {
            result.push_back(std::move(address));
        }
    }
    // Each node starts with a different follower, which spreads the load.
    const auto self = std::ranges::find(members, options.member);
    const auto shift = self - members.begin();
    if (!result.empty()) {
        std::rotate(result.begin(),
                    result.begin() +
                        shift % static_cast<std::ptrdiff_t>(result.size()),
                    result.end());
    }
    if (!leader.empty() && leader != self_address) {
        result.insert(ledger.running() ? result.end() : result.begin(), leader);
    }
    result.resize(std::min(result.size(), max_forward_attempts));
    return result;
}

void node::internal_state::call_listener::on_forward(const client_call& call,
                                                     std::string_view address)
{
    owner->metrics.calls_forwarded.add();
    // Nodes that do not follow the ledger forward every call.
    if (!owner->ledger.running()) {
        return;
    }
    logging::event(
        logging::level::info, "call_handed_on",
        {{"job", job_of(call.path)},
         {"call", to_text(call.kind)},
         {"peer", address},
         {"config",
          owner->config ? std::to_string(owner->config->version) : "none"},
         {"peer_config", std::to_string(owner->peer_config)},
         {"store_served_ms_ago",
          age_text(owner->shared.served(), boot_clock::now())}});
}

void node::internal_state::call_listener::on_status_query()
{
    owner->metrics.call_status_queries.add();
}

void node::internal_state::call_listener::on_peer_answer(
    const client_answer& answer)
{
    owner->peer_config = std::max(owner->peer_config, answer.config);
}

void node::internal_state::call_listener::on_peer_failed(
    const client_call& call, std::string_view address, std::string_view reason,
    duration waited)
{
    owner->metrics.peer_calls_failed.add();
    logging::event(logging::level::warning, "peer_call_failed",
                   {{"job", job_of(call.path)},
                    {"call", to_text(call.kind)},
                    {"peer", address},
                    {"reason", reason},
                    {"waited_ms", std::to_string(to_milliseconds(waited))},
                    {"left_ms", std::to_string(to_milliseconds(
                                    call.deadline - boot_clock::now()))}});
    owner->list_soon();
}

void node::internal_state::call_listener::serve_here(
    client_call call, std::function<void(client_answer)> done)
{
    owner->serve_here(std::move(call), std::move(done));
}

double node::internal_state::weight_of(const std::string& account) const
{
    const auto* found = config ? config->find_account(account) : nullptr;
    return found == nullptr ? 0 : found->weight;
}

void node::internal_state::trim_starts(std::deque<time_point>& times,
                                       time_point now) const
{
    while (!times.empty() && now - times.front() > options.drain_window) {
        times.pop_front();
    }
}

std::optional<duration>
node::internal_state::check_admission(const fleet::job_record& record,
                                      time_point now)
{
    if (!record.beyond_share) {
        return std::nullopt;
    }
    auto& times = recent_starts[record.queue.name];
    trim_starts(times, now);
    const std::chrono::duration<double> window = options.drain_window;
    return fleet::rejection_retry_after(
        {.beyond_share = true,
         .pending = jobs.due(record.queue.name, unix_milliseconds()),
         .starts_per_s = static_cast<double>(times.size()) / window.count(),
         .slack = std::chrono::milliseconds{record.queue.target_latency_ms},
         .job = record.id});
}

void node::internal_state::log_answer(call_kind kind, std::string_view path,
                                      const client_answer& answer,
                                      time_point asked_at, time_point now)
{
    const auto job = job_of(path);
    const auto took_ms = std::to_string(to_milliseconds(now - asked_at));
    if (answer.code == result_code::ok) {
        // Status queries change nothing and are not logged.
        if (kind == call_kind::submit || kind == call_kind::cancel) {
            logging::event(
                logging::level::info, "call_answered",
                {{"job", job}, {"call", to_text(kind)}, {"took_ms", took_ms}});
        }
        return;
    }
    metrics.refusals.add(answer.code);
    logging::event(
        logging::level::info, "call_refused",
        {{"job", job},
         {"call", to_text(kind)},
         {"code", std::to_string(static_cast<int>(answer.code))},
         {"reason", describe(answer.code).name},
         {"took_ms", took_ms},
         {"retry_after_ms", answer.retry_after ? std::to_string(to_milliseconds(
                                                     *answer.retry_after))
                                               : "none"},
         {"config", config ? std::to_string(config->version) : "none"},
         {"store_served_ms_ago", age_text(shared.served(), now)},
         {"ledger_age_ms", age_text(ledger.fresh_as_of(), now)}});
}

std::optional<client_answer>
node::internal_state::check_call(const client_call& call) const
{
    const auto min_version = std::max(call.min_config, peer_config);
    if (!config || config->version < min_version) {
        return client_answer{.kind = answer_kind::unavailable,
                             .code = result_code::catching_up,
                             .retry_after = short_retry_after};
    }
    const auto* queue = config->find_queue(call.host, call.path);
    if (queue == nullptr) {
        return client_answer{.kind = answer_kind::no_such_queue,
                             .code = result_code::path_unknown};
    }
    if (!config->account_of_key.contains(call.key) && !queue->is_public) {
        return client_answer{.kind = answer_kind::not_authorised,
                             .code = call.key.empty()
                                         ? result_code::key_missing
                                         : result_code::key_unknown};
    }
    return std::nullopt;
}

void node::internal_state::serve_here(client_call call,
                                      std::function<void(client_answer)> done)
{
    if (const auto rejection = check_call(call)) {
        done(*rejection);
        return;
    }
    const auto* queue = config->find_queue(call.host, call.path);
    const auto account = config->account_of_key.find(call.key);
    const bool known = account != config->account_of_key.end();
    if (call.kind == call_kind::pending) {
        if (!ledger.loaded()) {
            done({.kind = answer_kind::unavailable,
                  .code = result_code::catching_up,
                  .retry_after = short_retry_after});
            return;
        }
        done({.kind = answer_kind::pending,
              .pending = jobs.pending(queue->policy.name)});
        return;
    }
    const auto id = fleet::parse_job_id(
        std::string_view{call.path}.substr(queue->path_prefix.size()));
    if (!id) {
        done({.kind = call.kind == call_kind::submit ? answer_kind::malformed
                                                     : answer_kind::no_such_job,
              .code = result_code::job_unknown});
        return;
    }
    if (call.kind == call_kind::submit) {
        submit(*id, *queue, known ? account->second : std::string{},
               std::move(call), std::move(done));
        return;
    }
    if (const auto* entry = jobs.find(*id);
        entry != nullptr && (entry->outcome || leadership)) {
        serve_known_job(*id, call, std::move(done));
        return;
    }
    // Another node may have accepted or ended the job since the last read.
    catch_up([this, id = *id, priority = queue->policy.priority,
              call = std::move(call),
              done = std::move(done)](bool complete) mutable {
        const auto* entry = jobs.find(id);
        if (entry != nullptr && (entry->record || entry->outcome)) {
            serve_known_job(id, call, std::move(done));
        } else if (complete) {
            done({.kind = answer_kind::no_such_job,
                  .code = result_code::job_unknown});
        } else {
            done(store_unavailable(id, priority));
        }
    });
}

// Calls that arrive while a read is in flight share the next one.
void node::internal_state::catch_up(std::function<void(bool)> done)
{
    catch_up_waiters.push_back(std::move(done));
    if (catch_up_in_flight) {
        return;
    }
    catch_up_in_flight = true;
    auto waiting = std::exchange(catch_up_waiters, {});
    ledger.catch_up([this, waiting = std::move(waiting)](bool complete) {
        catch_up_in_flight = false;
        for (const auto& it : waiting) {
            it(complete);
        }
        if (!catch_up_waiters.empty()) {
            auto next = std::move(catch_up_waiters.back());
            catch_up_waiters.pop_back();
            catch_up(std::move(next));
        }
    });
}

void node::internal_state::serve_known_job(
    std::uint64_t id, const client_call& call,
    std::function<void(client_answer)> done)
{
    const auto& entry = *jobs.find(id);
    if (call.kind == call_kind::status) {
        done({.kind = answer_kind::state, .state = entry.state()});
        return;
    }
    if (entry.cancelled) {
        done({.kind = answer_kind::cancelled});
        return;
    }
    if (entry.outcome) {
        done({.kind = answer_kind::no_such_job,
              .code = result_code::job_unknown});
        return;
    }
    logging::event(logging::level::info, "cancel",
                   {{"job", fleet::to_text(id)}});
    append_for_client(
        id, entry.record ? entry.record->queue : fleet::queue_policy{},
        {.key = fleet::encode_key(
             {.kind = fleet::entry_kind::cancellation, .step = {.job = id}}),
         .value = "1"},
        call, answer_kind::cancelled, std::move(done));
}

void node::internal_state::submit(std::uint64_t id, const fleet::queue& queue,
                                  std::string account, client_call call,
                                  std::function<void(client_answer)> done)
{
    if (!call.job || call.job->steps.empty()) {
        done({.kind = answer_kind::malformed,
              .code = result_code::document_field_type});
        return;
    }
    const auto now = boot_clock::now();
    if (const auto code = fleet::check_limits(*call.job, options.jobs);
        code != result_code::ok) {
        done({.kind = answer_kind::malformed, .code = code});
        return;
    }
    if (const auto* entry = jobs.find(id);
        entry != nullptr && (entry->record || entry->outcome)) {
        done({.kind = answer_kind::accepted});
        return;
    }
    if (!is_store_reachable(now)) {
        done(store_unavailable(id, queue.policy.priority));
        return;
    }
    if (options.max_live_tasks > 0 &&
        jobs.live_tasks() + fleet::count_tasks(*call.job) >
            options.max_live_tasks) {
        done({.kind = answer_kind::unavailable,
              .code = result_code::queue_full,
              .retry_after = full_retry_after});
        return;
    }
    fleet::job_record record{.id = id,
                             .account = std::move(account),
                             .acceptor = shutting_down || !all_follow()
                                             ? std::string{}
                                             : options.member,
                             .accepted_unix_ms = unix_milliseconds(),
                             .queue = queue.policy,
                             .spec = std::move(*call.job)};
    record.beyond_share =
        shares.beyond(record.account, weight_of(record.account), now);
    if (const auto after = check_admission(record, now)) {
        done({.kind = answer_kind::too_many,
              .code = result_code::account_over_limit,
              .retry_after = after});
        return;
    }
    fleet::ledger_entry entry{
        .key = fleet::encode_key(
            {.kind = fleet::entry_kind::job, .step = {.job = id}}),
        .value = fleet::encode(record)};
    if (record_size(entry) > options.appends.record_bytes) {
        done({.kind = answer_kind::malformed,
              .code = result_code::job_too_large});
        return;
    }
    logging::event(logging::level::info, "submit",
                   {{"job", fleet::to_text(id)},
                    {"queue", record.queue.name},
                    {"account", record.account},
                    {"config", std::to_string(config->version)},
                    {"steps", std::to_string(record.spec.steps.size())}});
    append_for_client(id, queue.policy, std::move(entry), call,
                      answer_kind::accepted, std::move(done));
}

client_answer
node::internal_state::store_unavailable(std::uint64_t id,
                                        std::int32_t priority) const
{
    // A node that has just started has made no call in an earlier outage.
    return {.kind = answer_kind::unavailable,
            .code = result_code::submission_log_down,
            .retry_after = retry_delay(
                {.store_served = std::max(shared.served(), started_at),
                 .priority = priority,
                 .job = id},
                boot_clock::now())};
}

void node::internal_state::append_for_client(
    std::uint64_t id, const fleet::queue_policy& queue,
    fleet::ledger_entry entry, const client_call& call, answer_kind on_done,
    std::function<void(client_answer)> done)
{
    const auto recorded_entry = entry;
    const auto priority = queue.priority;
    entries.add(
        std::move(entry), call.deadline - options.answer_margin,
        [this, id, recorded_entry, on_done, priority,
         done = std::move(done)](entry_result it) {
            if (it == entry_result::recorded) {
                // Applied without waiting for the next read of the ledger, so
                // that the advice request is sent at once.
                const auto* before = jobs.find(id);
                const bool is_new = before == nullptr || !before->record;
                if (ledger.running() &&
                    (before == nullptr || !before->outcome)) {
                    on_ledger_record({.key = recorded_entry.key,
                                      .value = recorded_entry.value});
                    const auto* known = jobs.find(id);
                    if (is_new && known != nullptr && known->record) {
                        forward_fast_requests(*known);
                    }
                    run();
                }
                done({.kind = on_done});
                return;
            }
            if (it == entry_result::rejected) {
                done({.kind = answer_kind::malformed,
                      .code = result_code::job_too_large});
                return;
            }
            if (it == entry_result::unknown) {
                done({.kind = answer_kind::outcome_unknown,
                      .code = result_code::submission_outcome_unknown,
                      .retry_after = short_retry_after});
                return;
            }
            done(store_unavailable(id, priority));
        },
        boot_clock::now());
}

} // namespace rosemarytrail::cell
