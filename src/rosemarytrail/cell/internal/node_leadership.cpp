#include <rosemarytrail/cell/internal/node_state.hpp>

#include <rosemarytrail/logging/event_log.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rosemarytrail::cell {

void node::internal_state::join()
{
    if (shutting_down) {
        return;
    }
    const auto sent = boot_clock::now();
    if (configuration.loaded()) {
        shared.join(node_group::members, options.member, generation,
                    options.member_lifetime, [this](const membership& it) {
                        generation = std::max(generation, it.generation);
                        if (it.result == store_result::done) {
                            is_listed = it.listed;
                        }
                        if (it.result == store_result::done && !joined) {
                            joined = true;
                            list_members();
                        }
                    });
    }
    if (ledger.loaded() && directory.loaded()) {
        join_candidates(sent);
        check_leader();
    }
    loop.post_at(sent + options.join_period, [this] { join(); });
}

void node::internal_state::join_candidates(time_point sent)
{
    if (may_lead(members, options.cpu_millis,
                 options.followers.min_cpu_share)) {
        candidate = true;
        shared.join(node_group::candidates, options.member,
                    candidate_generation, options.member_lifetime,
                    [this, sent](const membership& it) { on_join(it, sent); });
    } else {
        leave_candidates();
    }
}

void node::internal_state::leave_candidates()
{
    if (candidate) {
        candidate = false;
        elected = false;
        shared.leave(node_group::candidates, options.member,
                     [](store_result) {});
    }
}

void node::internal_state::list_members()
{
    shared.members([this](std::optional<std::vector<std::string>> it) {
        if (it) {
            on_members(std::move(*it));
        }
    });
}

void node::internal_state::schedule_listing()
{
    const auto now = boot_clock::now();
    list_at(now + listing_interval(options.listing, ledger.running(),
                                   now - started_at));
}

void node::internal_state::list_at(time_point at)
{
    next_listing = at;
    loop.post_at(at, [this, at] {
        // Otherwise, the list was brought forward.
        if (next_listing == at) {
            list_members();
            schedule_listing();
        }
    });
}

// Called when a peer fails: the list of members may be outdated.
void node::internal_state::list_soon()
{
    const auto soon = boot_clock::now() + options.listing.settling;
    if (soon < next_listing) {
        list_at(soon);
    }
}

void node::internal_state::on_members(std::vector<std::string> listed)
{
    members = newest_incarnations(listed);
    followers = ledger_followers(members, options.followers);
    if (leadership) {
        leadership->decisions.set_members(advice_nodes());
        assign_relays();
    }
    // The list may still name a previous incarnation of this node.
    const auto self_address = address_of(options.member);
    const bool selected =
        std::ranges::any_of(followers, [&self_address](const auto& it) {
            return address_of(it) == self_address;
        });
    if (selected) {
        start_following();
    } else if (!leadership && !claim && !shutting_down) {
        stop_following();
    }
}

void node::internal_state::assign_relays()
{
    workers.set_plan(
        cell::assign_relays(vm_list, members, options.member, options.relays));
}

void node::internal_state::start_following()
{
    if (!ledger.running()) {
        logging::event(logging::level::info, "following_started",
                       {{"members", std::to_string(members.size())}});
        ledger.start();
        directory.start();
    }
}

void node::internal_state::stop_following()
{
    if (!ledger.running()) {
        return;
    }
    logging::event(logging::level::info, "following_stopped",
                   {{"members", std::to_string(members.size())}});
    leave_candidates();
    ledger.stop();
    directory.stop();
    jobs = {};
    vms.clear();
    vm_list.clear();
}

bool node::internal_state::all_follow() const
{
    return members.size() <= options.followers.small_cell;
}

// The leader has the highest load, so the other nodes of a large cell send the
// advice requests.
std::vector<std::string> node::internal_state::advice_nodes() const
{
    auto result =
        leadership ? leadership->unlisted_nodes.add_to(members) : members;
    if (!all_follow()) {
        std::erase(result, jobs.leader().node);
    }
    return result;
}

void node::internal_state::on_join(const membership& it, time_point sent)
{
    if (it.result != store_result::done || sent < last_join) {
        return;
    }
    last_join = sent;
    candidate_generation = std::max(candidate_generation, it.generation);
    if (elected == it.elected) {
        return;
    }
    elected = it.elected;
    // A leader that is no longer elected continues as long as it responds to
    // the elected node, and until that node's claim fences it.
    if (elected) {
        monitor.on_elected(boot_clock::now());
        check_leader();
    }
}

void node::internal_state::check_leader()
{
    if (!elected || leadership || claim || leader_query_in_flight ||
        shutting_down || !ledger.loaded()) {
        return;
    }
    if (monitor.may_claim(jobs.leader(), elected)) {
        try_claim();
        return;
    }
    leader_query_in_flight = true;
    peers.query_leader(
        leader_address(), options.leader_query_timeout,
        [this, epoch = jobs.leader().epoch](leader_query_result how,
                                            const leader_status& status) {
            leader_query_in_flight = false;
            const bool was_lost = monitor.may_claim(jobs.leader(), elected);
            monitor.on_query_result(epoch, how, status, boot_clock::now(),
                                    shared.serving_since());
            if (!was_lost && monitor.may_claim(jobs.leader(), elected)) {
                log_lost_leader(how, status);
            }
            try_claim();
        });
}

void node::internal_state::log_lost_leader(leader_query_result result,
                                           const leader_status& status) const
{
    const bool reported = result == leader_query_result::reported;
    logging::event(
        logging::level::info, "leader_lost",
        {{"leader", jobs.leader().node},
         {"epoch", std::to_string(jobs.leader().epoch)},
         {"query", to_text(result)},
         {"leading", reported ? (status.leading ? "true" : "false") : "none"},
         {"store_age_ms",
          reported ? std::to_string(to_milliseconds(status.store_age))
                   : "none"}});
}

void node::internal_state::try_claim()
{
    if (leadership || claim || shutting_down || !ledger.loaded() ||
        !directory.loaded() || !config ||
        !monitor.may_claim(jobs.leader(), elected)) {
        return;
    }
    const auto epoch = jobs.leader().epoch + 1;
    const auto sent = boot_clock::now();
    metrics.claims.add();
    if (attempts.sent++ == 0) {
        attempts.since = sent;
    }
    claim = pending_claim{.epoch = epoch, .sent = sent};
    // The claim does not depend on the end of the ledger, which other nodes
    // move: reading it back includes all that was recorded before it.
    append_request request{
        .entries = {{.key =
                         fleet::encode_key({.kind = fleet::entry_kind::leader}),
                     .value = fleet::encode(fleet::leader_record{
                         .epoch = epoch, .node = options.member})}},
        .writer = fenced_writer{.epoch = epoch, .sequence = 0}};
    shared.append(std::move(request), [this, sent](const append_answer& it) {
        // Otherwise, the claim was read back from the ledger before.
        if (claim && claim->sent == sent) {
            on_claim_result(it.result);
        }
    });
}

void node::internal_state::on_claim_result(store_result result)
{
    switch (result) {
    case store_result::done:
        ledger.catch_up([this](bool) { confirm_claim(); });
        return;
    case store_result::fenced:
    case store_result::out_of_sequence:
        // The ledger names a newer leader, or another one of this epoch.
        on_claim_failed(result, metrics.claims_outdated);
        ledger.catch_up([this, sent = claim->sent](bool complete) {
            if (!claim || claim->sent != sent) {
                return;
            }
            const bool outdated = jobs.leader().epoch >= claim->epoch;
            if (complete && outdated) {
                claim.reset();
                try_claim();
            } else {
                withdraw_claim();
            }
        });
        return;
    case store_result::unknown:
        on_claim_failed(result, metrics.claims_unanswered);
        ledger.catch_up([this, sent = claim->sent](bool) {
            confirm_claim();
            if (claim && claim->sent == sent) {
                if (!unanswered_claim ||
                    unanswered_claim->epoch != claim->epoch) {
                    unanswered_claim = claim;
                }
                withdraw_claim();
            }
        });
        return;
    default:
        on_claim_failed(result, metrics.claims_refused);
        withdraw_claim();
    }
}

// The claim is repeated after the next successful join. The store treats it as
// a repeat of this one, if that takes effect later.
void node::internal_state::withdraw_claim()
{
    claim.reset();
    elected = false;
}

void node::internal_state::on_claim_failed(store_result result,
                                           metrics::counter& counter) const
{
    const auto now = boot_clock::now();
    counter.add();
    logging::event(logging::level::info, "claim_failed",
                   {{"epoch", std::to_string(claim->epoch)},
                    {"result", to_text(result)},
                    {"took_ms", age_text(claim->sent, now)},
                    {"attempts", std::to_string(attempts.sent)},
                    {"claiming_for_ms", age_text(attempts.since, now)}});
}

// Two nodes may claim the same epoch concurrently: the store treats the second
// append as a repeat of the first and confirms both. The ledger holds only one
// of the claims, which decides who leads.
void node::internal_state::confirm_claim()
{
    // A store with a long queue executes a claim after its timeout.
    if (!claim && unanswered_claim && !leadership && directory.loaded() &&
        config && jobs.leader().epoch >= unanswered_claim->epoch) {
        claim = unanswered_claim;
    }
    if (claim && jobs.leader().epoch >= claim->epoch) {
        unanswered_claim.reset();
    }
    if (!claim || jobs.leader().epoch < claim->epoch) {
        return;
    }
    const auto own_claim = *std::exchange(claim, std::nullopt);
    if (jobs.leader().epoch == own_claim.epoch &&
        jobs.leader().node == options.member) {
        assume_leadership(own_claim.epoch, own_claim.sent);
        return;
    }
    logging::event(logging::level::info, "claim_lost",
                   {{"epoch", std::to_string(own_claim.epoch)},
                    {"leader", jobs.leader().node}});
    attempts = {};
    elected = false;
}

void node::internal_state::assume_leadership(std::uint64_t epoch,
                                             time_point sent)
{
    if (shutting_down) {
        return;
    }
    const auto now = boot_clock::now();
    // The first batch follows at once and is as slow as the claim.
    entries.observe_append(true, now - sent);
    auto with_epoch = options.dispatcher;
    with_epoch.epoch = epoch;
    leadership = std::make_unique<leader_state>(with_epoch, options.appends,
                                                jobs, now, unix_milliseconds());
    jobs.discard_progress();
    leadership->decisions.set_config(config);
    leadership->decisions.set_evacuated_zones(evacuated_zones);
    leadership->decisions.set_workers(vm_list, now);
    leadership->decisions.set_members(advice_nodes());
    leadership->epoch = epoch;
    leadership->confirmed_at = sent;
    update_read_intervals();
    const auto counts = leadership->decisions.count(now);
    logging::event(logging::level::info, "lead_taken",
                   {{"epoch", std::to_string(epoch)},
                    {"ledger_offset", std::to_string(ledger.offset())},
                    {"jobs", std::to_string(counts.jobs)},
                    {"placed", std::to_string(counts.placed)},
                    {"workers", std::to_string(counts.workers)},
                    {"claims", std::to_string(attempts.sent)},
                    {"claiming_for_ms", age_text(attempts.since, now)}});
    attempts = {};
    assign_relays();
    announce();
    run();
}

// Tells the nodes that do not follow the ledger who leads.
void node::internal_state::announce()
{
    append_request request{
        .which = feed::leader,
        .entries = {
            {.key = fleet::encode_key({.kind = fleet::entry_kind::leader}),
             .value = fleet::encode(fleet::leader_record{
                 .epoch = leadership->epoch, .node = options.member})}}};
    shared.append(std::move(request), [this, number = leadership_number](
                                          const append_answer& it) {
        if (it.result == store_result::done || !leadership ||
            number != leadership_number) {
            return;
        }
        loop.post_at(boot_clock::now() + options.append_retry_delay,
                     [this, number] {
                         if (leadership && number == leadership_number) {
                             announce();
                         }
                     });
    });
}

void node::internal_state::step_down(std::string_view why)
{
    logging::event(
        logging::level::info, "lead_lost",
        {{"epoch", std::to_string(leadership->epoch)}, {"why", why}});
    const auto previous = std::move(leadership);
    ++leadership_number;
    workers.clear();
    for (const auto& peer : previous->waiting_peer_entries) {
        peer.done({.result = store_result::refused,
                   .expected_sequence = std::nullopt,
                   .not_sent = true});
    }
    for (const auto& peer : previous->batch_peer_entries) {
        peer.done({.result = store_result::unknown,
                   .expected_sequence = std::nullopt});
    }
    update_read_intervals();
    // The index holds no progress of the time in which this node led.
    ledger.stop();
    jobs = {};
    if (!shutting_down) {
        ledger.start();
    }
}

// The leader reads the feeds at short intervals; followers read at longer
// intervals and on demand.
void node::internal_state::update_read_intervals()
{
    ledger.set_min_interval(leadership ? options.leader_read_interval
                                       : options.follower_read_interval);
    directory.set_min_interval(leadership
                                   ? options.leader_directory_interval
                                   : options.follower_directory_interval);
}

void node::internal_state::append_batch()
{
    if (!leadership || leadership->in_flight) {
        return;
    }
    const auto now = boot_clock::now();
    if (!leadership->batch) {
        if (now < leadership->next_append) {
            return;
        }
        drop_expired_entries(now);
        auto batch = leadership->decisions.take_batch(unix_milliseconds());
        leadership->batch_peer_entries =
            std::exchange(leadership->waiting_peer_entries, {});
        if (batch.entries.empty() && leadership->batch_peer_entries.empty()) {
            leadership->decisions.on_recorded(batch.number, now);
            return;
        }
        ++leadership->sequence;
        leadership->batch_maybe_recorded = false;
        leadership->batch_own_entries = batch.entries.size();
        split_batch(std::move(batch.entries));
        leadership->batch = batch.number;
    } else {
        drop_expired_entries_of_batch(now);
    }
    leadership->in_flight = true;
    leadership->append_sent = now;
    leadership->next_append = now + options.min_append_interval;
    const auto part = leadership->parts.part();
    append_request request{.entries = {part.begin(), part.end()},
                           .writer =
                               fenced_writer{.epoch = leadership->epoch,
                                             .sequence = leadership->sequence},
                           .timeout = entries.timeout()};
    request.entries.push_back(current_batch_mark());
    shared.append(std::move(request),
                  [this, number = leadership_number,
                   sequence = leadership->sequence](append_answer it) {
                      if (leadership && number == leadership_number) {
                          on_batch_appended(it, sequence);
                      }
                  });
}

// Adds the entries of other nodes to the leader's own entries.
void node::internal_state::split_batch(std::vector<fleet::ledger_entry> own)
{
    for (const auto& peer : leadership->batch_peer_entries) {
        own.insert(own.end(), peer.entries.begin(), peer.entries.end());
    }
    leadership->parts.assign(std::move(own));
    drop_rejected_entries();
}

fleet::ledger_entry node::internal_state::current_batch_mark() const
{
    return {.key = fleet::encode_key(
                {.kind = fleet::entry_kind::batch_mark, .step = {}}),
            .value = fleet::encode(fleet::batch_mark{
                .epoch = leadership->epoch, .sequence = leadership->sequence})};
}

void node::internal_state::drop_rejected_entries()
{
    for (const auto& it : leadership->parts.take_dropped()) {
        metrics.entries_rejected.add();
        logging::event(
            logging::level::error, "ledger_entry_rejected",
            {{"key", it.key}, {"bytes", std::to_string(record_size(it))}});
        leadership->decisions.on_rejected(it.key, boot_clock::now());
        leadership->dropped_keys.insert(it.key);
    }
}

std::vector<node::internal_state::leader_state::peer_entries>
node::internal_state::take_expired(
    std::vector<leader_state::peer_entries>& from, time_point now)
{
    const auto kept_end =
        std::stable_partition(from.begin(), from.end(), [now](const auto& it) {
            return it.send_by > now;
        });
    std::vector<leader_state::peer_entries> result{
        std::make_move_iterator(kept_end), std::make_move_iterator(from.end())};
    from.erase(kept_end, from.end());
    return result;
}

// The callers of expired entries are told that they are not executed, so no
// append may include them any more.
void node::internal_state::drop_expired_entries(time_point now)
{
    const auto expired = take_expired(leadership->waiting_peer_entries, now);
    if (expired.empty()) {
        return;
    }
    std::size_t count = 0;
    for (const auto& it : expired) {
        count += it.entries.size();
        it.done({.result = store_result::refused,
                 .expected_sequence = std::nullopt,
                 .not_sent = true});
    }
    metrics.entries_expired.add(count);
    logging::event(
        logging::level::warning, "entries_expired",
        {{"entries", std::to_string(count)},
         {"left", std::to_string(leadership->waiting_peer_entries.size())},
         {"append_in_flight_ms", leadership->in_flight
                                     ? age_text(leadership->append_sent, now)
                                     : "none"},
         {"store_served_ms_ago", age_text(shared.served(), now)}});
}

// A batch that the store has refused each time may be changed.
void node::internal_state::drop_expired_entries_of_batch(time_point now)
{
    if (leadership->batch_maybe_recorded || !leadership->parts.untouched()) {
        return;
    }
    auto expired = take_expired(leadership->batch_peer_entries, now);
    if (expired.empty()) {
        return;
    }
    auto own = leadership->parts.take();
    own.resize(leadership->batch_own_entries);
    split_batch(std::move(own));
    auto& waiting = leadership->waiting_peer_entries;
    waiting.insert(waiting.end(), std::make_move_iterator(expired.begin()),
                   std::make_move_iterator(expired.end()));
    drop_expired_entries(now);
}

void node::internal_state::on_batch_recorded()
{
    const auto now = boot_clock::now();
    leadership->in_flight = false;
    leadership->batch_maybe_recorded = false;
    const auto recorded = leadership->parts.on_appended();
    drop_rejected_entries();
    std::vector<leader_state::peer_entries> done;
    std::set<std::string> dropped;
    if (leadership->parts.complete()) {
        done.swap(leadership->batch_peer_entries);
        dropped.swap(leadership->dropped_keys);
        leadership->decisions.on_recorded(*leadership->batch, now);
        leadership->batch.reset();
    } else {
        ++leadership->sequence;
    }
    for (const auto& it : recorded) {
        on_ledger_record({.key = it.key, .value = it.value});
    }
    for (const auto& peer : done) {
        const bool rejected =
            std::ranges::any_of(peer.entries, [&dropped](const auto& it) {
                return dropped.contains(it.key);
            });
        peer.done(
            {.result = rejected ? store_result::rejected : store_result::done,
             .expected_sequence = std::nullopt});
    }
    run();
}

void node::internal_state::retry_append(time_point now)
{
    loop.post_at(now + options.append_retry_delay,
                 [this, number = leadership_number] {
                     if (leadership && number == leadership_number) {
                         append_batch();
                     }
                 });
}

void node::internal_state::on_batch_appended(const append_answer& it,
                                             std::uint64_t sequence)
{
    if (!leadership->batch || sequence != leadership->sequence) {
        // The batch was read back from the ledger before the response arrived.
        return;
    }
    const auto now = boot_clock::now();
    leadership->in_flight = false;
    // The store has applied an append whose response was lost if it expects the
    // next sequence number.
    const bool there = it.result == store_result::out_of_sequence &&
                       it.expected_sequence == leadership->sequence + 1;
    if (it.result == store_result::done || there) {
        entries.observe_append(true, now - leadership->append_sent);
        metrics.append.add(now - leadership->append_sent);
        leadership->confirmed_at = leadership->append_sent;
        on_batch_recorded();
        return;
    }
    if (it.result == store_result::fenced ||
        it.result == store_result::out_of_sequence) {
        step_down("a newer leader has appended");
        return;
    }
    metrics.append_retries.add();
    if (it.result == store_result::unknown) {
        leadership->batch_maybe_recorded = true;
        entries.observe_append(false, {});
        append_batch();
        return;
    }
    if (it.result == store_result::rejected &&
        leadership->parts.on_rejected() == after_rejection::append) {
        append_batch();
        return;
    }
    retry_append(now);
}

void node::internal_state::send_worker_requests(time_point now)
{
    auto requests = leadership->decisions.take_requests(now);
    send_advice_assignments(requests.advice_assignments);
    // A worker that has executed the starts refuses these polls.
    for (const auto& it : requests.polls) {
        workers.poll(it, [this, it, sent = now, number = leadership_number](
                             fleet::poll_result result,
                             const fleet::poll_response& response) {
            if (leadership && number == leadership_number) {
                leadership->decisions.on_poll_result(it, result, response, sent,
                                                     boot_clock::now());
                run();
            }
        });
    }
    for (const auto& it : requests.stops) {
        workers.stop(it, [this, it, number = leadership_number](bool answered) {
            if (leadership && number == leadership_number) {
                leadership->decisions.on_stop_result(it, answered,
                                                     boot_clock::now());
                run();
            }
        });
    }
    for (const auto& it : requests.starts) {
        workers.start(it, [this, it, sent = now, number = leadership_number](
                              const fleet::start_response& response) {
            if (response.result == fleet::start_result::started) {
                metrics.start_call.add(boot_clock::now() - sent);
            }
            if (leadership && number == leadership_number) {
                leadership->decisions.on_start_result(it, response,
                                                      boot_clock::now());
                run();
            }
        });
    }
    for (const auto& it : requests.throttles) {
        workers.throttle(it, [](bool) {});
    }
}

} // namespace rosemarytrail::cell
