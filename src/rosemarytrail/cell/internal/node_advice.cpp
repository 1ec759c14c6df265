#include <rosemarytrail/cell/internal/node_state.hpp>

#include <rosemarytrail/logging/event_log.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::cell {

namespace {

/** @brief How much later than its policy states an advice response may arrive.
 */
constexpr duration advice_slack{std::chrono::milliseconds{1500}};
/** @brief Delay after a call to the advice service that got no response. */
constexpr duration advice_retry_delay{std::chrono::milliseconds{200}};
/** @brief How long no further request is sent for a step after its response,
 * which may still be on its way to the leader. */
constexpr duration advice_settle_time{std::chrono::milliseconds{500}};
/** @brief Concurrent calls to the advice service; it serves one at a time per
 * node. */
constexpr std::size_t max_advice_calls = 1;

/** @brief Maximum time that entries wait for an append of the leader; the next
 * leader is known within it. */
constexpr duration max_leader_wait{std::chrono::seconds{3}};
/** @brief Time for the leader's report on entries that it did not append; well
 * above the interval at which it checks their deadlines. */
constexpr duration leader_reply_time{std::chrono::milliseconds{100}};

} // namespace

const fleet::leader_record& node::internal_state::current_leader() const
{
    return jobs.leader().epoch >= announced.epoch ? jobs.leader() : announced;
}

std::string node::internal_state::leader_address() const
{
    return address_of(current_leader().node);
}

void node::internal_state::send_advice_assignments(
    std::span<const fleet::advice_assignment> assignments)
{
    for (const auto& it : assignments) {
        if (it.member == options.member) {
            assigned_requests.push_back(it.request);
            continue;
        }
        peers.send(
            address_of(it.member),
            {.entries = {}, .advice_requests = {it.request}},
            options.peer_timeout,
            [this, it, number = leadership_number](message_result result) {
                if (leadership && number == leadership_number &&
                    result == message_result::refused) {
                    leadership->decisions.on_assignment_lost(it,
                                                             boot_clock::now());
                }
            });
    }
}

// In a small cell, nodes assigned to slow advice requests forward the fast
// requests of the jobs that they accept to the other nodes.
void node::internal_state::forward_fast_requests(const fleet::job_entry& entry)
{
    const auto& record = *entry.record;
    const auto& policy = record.queue.advice;
    // Jobs beyond the share of their account are scheduled by the leader.
    if (!policy || record.beyond_share || !all_follow() ||
        !record.spec.due(0, unix_milliseconds()) ||
        policy->base_ms > options.dispatcher.slow_advice_ms) {
        return;
    }
    const auto node = fleet::fast_advice_node(
        advice_nodes(), options.dispatcher.slow_advice_share, record);
    if (!node || *node == options.member) {
        return;
    }
    peer_message message;
    for (std::uint32_t i = 0; i < record.spec.steps.size(); ++i) {
        if (!record.spec.steps[i].depends_on.empty()) {
            continue;
        }
        const fleet::step_key key{.job = record.id, .step = i};
        if (auto it = advice_requests.make_request(key, entry, vm_list)) {
            message.advice_requests.push_back(std::move(*it));
        }
    }
    // If the message is lost, the leader assigns the requests.
    peers.send(address_of(*node), message, options.peer_timeout,
               [](message_result) {});
}

std::optional<fleet::advice_request>
node::internal_state::next_advice_request(time_point now)
{
    while (!assigned_requests.empty()) {
        auto it = std::move(assigned_requests.front());
        assigned_requests.pop_front();
        // The leader reads the ledger more often than this node, so a job that
        // it assigned may not be known here yet.
        const auto* entry = jobs.find(it.step.job);
        if (entry == nullptr || (!entry->cancelled && !entry->outcome)) {
            return it;
        }
    }
    return all_follow() && ledger.loaded()
               ? advice_requests.next(jobs, vm_list, advice_nodes(), now,
                                      unix_milliseconds())
               : std::nullopt;
}

void node::internal_state::ask_advice(time_point now)
{
    if (now < advice_paused_until || advice_in_flight >= max_advice_calls) {
        return;
    }
    auto advice_request = next_advice_request(now);
    if (!advice_request) {
        return;
    }
    ++advice_in_flight;
    const auto timeout = advice_request->expected * 2 + advice_slack;
    advice_requests.on_request_sent(advice_request->step, now + timeout);
    advice.advise(advice_request->step, advice_request->workers, timeout,
                  [this, step = advice_request->step,
                   requested = advice_request->workers.size(),
                   sent = now](advice_answer it) {
                      --advice_in_flight;
                      on_advice(step, requested, std::move(it), sent);
                  });
}

void node::internal_state::on_advice(const fleet::step_key& step,
                                     std::size_t requested, advice_answer it,
                                     time_point sent)
{
    const auto now = boot_clock::now();
    logging::event(logging::level::info, "advice",
                   {{"job", fleet::to_text(step.job)},
                    {"step", fleet::to_text(step)},
                    {"answered", it.answered ? "true" : "false"},
                    {"requested", std::to_string(requested)},
                    {"granted", std::to_string(it.grant.rows.size())},
                    {"took_ms", std::to_string(to_milliseconds(now - sent))}});
    if (!it.answered) {
        advice_paused_until = now + advice_retry_delay;
        advice_requests.on_request_sent(step, now + advice_retry_delay);
        return;
    }
    advice_requests.on_request_sent(step, now + advice_settle_time);
    metrics.advice.add(now - sent);
    it.grant.granted_unix_ms = unix_milliseconds();
    const auto until = now + std::chrono::milliseconds{it.grant.valid_ms};
    own_grants.push_back({.key = ++last_grant,
                          .step = step,
                          .grant = std::move(it.grant),
                          .until = until});
    apply_grant(own_grants.back().entry(now));
    send_waiting_grants(now);
    run();
}

fleet::ledger_entry node::internal_state::own_grant::entry(time_point now) const
{
    auto left = grant;
    left.valid_ms = std::max<std::int64_t>(to_milliseconds(until - now), 0);
    return {.key = fleet::encode_key(
                {.kind = fleet::entry_kind::advice, .step = step}),
            .value = fleet::encode(left)};
}

// Tickets are valid for seconds only, so they are sent to the leader directly
// and never recorded: after the loss of a leader, the appends of all nodes that
// hold grants would delay those of its successor.
void node::internal_state::send_grant_to_leader(own_grant& grant,
                                                time_point now)
{
    const auto address = leader_address();
    if (leadership || address.empty()) {
        return;
    }
    grant.next_send = now + options.grant_retry_delay;
    peers.send(address, {.entries = {grant.entry(now)}, .advice_requests = {}},
               options.peer_timeout,
               [this, key = grant.key, address](message_result result) {
                   on_grant_sent(key, address, result);
               });
}

void node::internal_state::on_grant_sent(std::uint64_t key,
                                         const std::string& address,
                                         message_result result)
{
    // The response of a previous leader says nothing about the present one.
    if (address != leader_address()) {
        return;
    }
    const auto found = std::ranges::find(own_grants, key, &own_grant::key);
    if (found == own_grants.end()) {
        return;
    }
    if (result == message_result::accepted) {
        found->next_send = time_point::max();
    } else {
        metrics.grants_not_taken.add();
    }
}

// A new leader receives the grants that are still valid.
void node::internal_state::resend_grants()
{
    const auto now = boot_clock::now();
    for (auto& it : own_grants) {
        it.next_send = now;
    }
    send_waiting_grants(now);
}

void node::internal_state::send_waiting_grants(time_point now)
{
    std::erase_if(own_grants,
                  [now](const own_grant& it) { return it.until < now; });
    for (auto& it : own_grants) {
        if (it.next_send <= now) {
            send_grant_to_leader(it, now);
        }
    }
}

void node::internal_state::apply_grant(const fleet::ledger_entry& entry)
{
    if (ledger.running()) {
        on_ledger_record({.key = entry.key, .value = entry.value});
    }
}

// A slow store serializes the appends of all nodes, so entries are sent to the
// leader, which includes all of them in its next append.
void node::internal_state::append_entries(
    append_request request, std::function<void(append_answer)> done)
{
    const bool slow = entries.timeout() > options.slow_append * 4;
    const auto address = leader_address();
    if (slow && leadership) {
        leadership->waiting_peer_entries.push_back(
            {.entries = std::move(request.entries),
             .send_by = request.send_by,
             .done = std::move(done)});
        run();
        return;
    }
    if (!slow || address.empty() || members.empty()) {
        shared.append(std::move(request), std::move(done));
        return;
    }
    // The leader reports entries that it does not append by their deadline, so
    // a shorter timeout would only make their outcome unknown.
    const auto now = boot_clock::now();
    const auto left =
        std::clamp<duration>(request.send_by - now, {}, max_leader_wait);
    const peer_message message{
        .entries = request.entries, .send_within = left, .advice_requests = {}};
    const auto timeout = std::max(request.timeout, left + leader_reply_time);
    peers.send(address, message, timeout,
               [this, request = std::move(request), dropped_at = now + left,
                done = std::move(done)](message_result result) mutable {
                   if (result == message_result::refused &&
                       boot_clock::now() >= dropped_at) {
                       done({.result = store_result::refused,
                             .expected_sequence = std::nullopt,
                             .not_sent = true});
                       return;
                   }
                   if (result == message_result::refused) {
                       shared.append(std::move(request), std::move(done));
                       return;
                   }
                   done({.result = result == message_result::accepted
                                       ? store_result::done
                                       : store_result::unknown,
                         .expected_sequence = std::nullopt});
               });
}

// Protects against bursts: a node sends advice requests in order of arrival,
// whereas the leader assigns them by priority. A node whose backlog is long
// enough therefore rejects further fast requests, which the leader then
// assigns.
bool node::internal_state::is_too_busy_for(
    std::span<const fleet::advice_request> more) const
{
    const duration slow_advice = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{
            options.dispatcher.slow_advice_ms});
    const bool all_slow = std::ranges::all_of(
        more, [&](const auto& it) { return it.expected > slow_advice; });
    duration work{};
    for (const auto& it : assigned_requests) {
        work += it.expected;
    }
    return !all_slow && work > options.dispatcher.max_fast_work_per_node;
}

void node::internal_state::receive(peer_message message,
                                   std::function<void(message_result)> done)
{
    if (!message.advice_node.empty()) {
        done(receive_report(message.advice_node, boot_clock::now())
                 ? message_result::accepted
                 : message_result::refused);
        return;
    }
    if (message.entries.empty()) {
        if (is_too_busy_for(message.advice_requests)) {
            done(message_result::refused);
            return;
        }
        assigned_requests.insert(assigned_requests.end(),
                                 message.advice_requests.begin(),
                                 message.advice_requests.end());
        run();
        done(message_result::accepted);
        return;
    }
    if (!leadership) {
        done(message_result::refused);
        return;
    }
    std::vector<fleet::ledger_entry> to_record;
    for (auto& it : message.entries) {
        const auto about = fleet::decode_key(it.key);
        if (about && about->kind == fleet::entry_kind::advice) {
            apply_grant(it);
        } else if (about) {
            to_record.push_back(std::move(it));
        }
    }
    run();
    if (to_record.empty()) {
        done(message_result::accepted);
        return;
    }
    leadership->waiting_peer_entries.push_back(
        {.entries = std::move(to_record),
         .send_by = message.send_within
                        ? boot_clock::now() + *message.send_within
                        : time_point::max(),
         .done = [done = std::move(done)](const append_answer& it) {
             done(it.result == store_result::done ? message_result::accepted
                  : it.result == store_result::refused ||
                          it.result == store_result::rejected
                      ? message_result::refused
                      : message_result::unknown);
         }});
}

void node::receive(peer_message message,
                   std::function<void(message_result)> done)
{
    state_->receive(std::move(message), std::move(done));
}

} // namespace rosemarytrail::cell
