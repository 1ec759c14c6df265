#include <rosemarytrail/cell/internal/node_state.hpp>

#include <rosemarytrail/logging/event_log.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::cell {

void node::internal_state::join()
{
    if (shutting_down) {
        return;
    }
    const auto sent = boot_clock::now();
    if (ledger.loaded() && configuration.loaded()) {
        shared.join(node_group::members, options.member, generation,
                    options.member_lifetime, [this](const membership& it) {
                        generation = std::max(generation, it.generation);
                    });
        join_candidates(sent);
        watch_leader();
    }
    loop.post_at(sent + options.join_period, [this] { join(); });
}

void node::internal_state::join_candidates(time_point sent)
{
    if (members.empty()) {
        return;
    }
    if (may_lead(members, options.cpu_millis, options.lead_share)) {
        candidate = true;
        shared.join(node_group::candidates, options.member, lead_generation,
                    options.member_lifetime,
                    [this, sent](const membership& it) { on_join(it, sent); });
    } else if (candidate) {
        candidate = false;
        chosen = false;
        shared.leave(node_group::candidates, options.member,
                     [](store_result) {});
    }
}

void node::internal_state::list_members()
{
    shared.members([this](std::optional<std::vector<std::string>> it) {
        if (it) {
            members = std::move(*it);
            if (lead) {
                lead->decisions.set_members(askers());
            }
        }
    });
    loop.post_at(boot_clock::now() + options.members_period,
                 [this] { list_members(); });
}

// The leader has the most to do, so that the other nodes ask for advice.
std::vector<std::string> node::internal_state::askers() const
{
    if (members.size() < options.askers_without_leader) {
        return members;
    }
    auto result = members;
    std::erase(result, board.leader().node);
    return result;
}

void node::internal_state::on_join(const membership& it, time_point sent)
{
    if (it.result != store_result::done || sent < last_join) {
        return;
    }
    last_join = sent;
    lead_generation = std::max(lead_generation, it.generation);
    if (chosen == it.chosen) {
        return;
    }
    chosen = it.chosen;
    // A leader that is no longer chosen goes on as long as it answers the
    // chosen node, and until that one's claim fences it.
    if (chosen) {
        watch.on_chosen(boot_clock::now());
        watch_leader();
    }
}

void node::internal_state::watch_leader()
{
    if (!chosen || lead || claiming || claim || asking_leader ||
        shutting_down || !ledger.loaded()) {
        return;
    }
    if (watch.may_claim(board.leader(), chosen)) {
        try_lead();
        return;
    }
    asking_leader = true;
    peers.ask_lead(leader_address(), options.lead_patience,
                   [this, epoch = board.leader().epoch](
                       lead_answer how, const lead_report& report) {
                       asking_leader = false;
                       watch.on_answer(epoch, how, report, boot_clock::now());
                       try_lead();
                   });
}

void node::internal_state::try_lead()
{
    if (lead || claiming || claim || shutting_down || !ledger.loaded() ||
        !directory.loaded() || !config ||
        !watch.may_claim(board.leader(), chosen)) {
        return;
    }
    claiming = true;
    const auto epoch = board.leader().epoch + 1;
    const auto at = ledger.offset();
    const auto sent = boot_clock::now();
    append_request request{
        .entries = {{.key =
                         fleet::encode_key({.kind = fleet::entry_kind::leader}),
                     .value = fleet::encode(fleet::leader_record{
                         .epoch = epoch, .node = options.member})}},
        .expected_end = at,
        .writer = fenced_writer{.epoch = epoch, .sequence = 0}};
    shared.append(
        std::move(request), [this, epoch, at, sent](append_answer it) {
            claiming = false;
            if (it.result == store_result::done) {
                claim = claim_made{.epoch = epoch, .at = at, .sent = sent};
                ledger.catch_up([this](bool) { confirm_claim(); });
                return;
            }
            // The next page of the ledger shows who leads; without
            // one, the claim is tried again at the next sign of life.
            if (it.result == store_result::conflict) {
                ledger.catch_up([this](bool whole) {
                    if (whole) {
                        try_lead();
                    }
                });
            } else {
                chosen = false;
            }
        });
}

// Two nodes may claim the same epoch at the same moment; to the store the
// second append is a repeat of the first, which it answers alike. The ledger
// holds one of the claims and tells whose.
void node::internal_state::confirm_claim()
{
    if (!claim || board.leader().epoch < claim->epoch) {
        return;
    }
    const auto made = *std::exchange(claim, std::nullopt);
    if (board.leader().epoch == made.epoch &&
        board.leader().node == options.member) {
        take_lead(made.epoch, made.at, made.sent);
        return;
    }
    logging::event(logging::level::info, "claim_lost",
                   {{"epoch", std::to_string(made.epoch)},
                    {"leader", board.leader().node}});
    chosen = false;
}

void node::internal_state::take_lead(std::uint64_t epoch, std::int64_t at,
                                     time_point sent)
{
    if (shutting_down) {
        return;
    }
    const auto now = boot_clock::now();
    auto with_epoch = options.dispatcher;
    with_epoch.epoch = epoch;
    lead = std::make_unique<leadership>(with_epoch, board, now,
                                        unix_milliseconds());
    lead->decisions.set_config(config);
    lead->decisions.set_workers(vm_list, now);
    lead->decisions.set_members(askers());
    lead->epoch = epoch;
    lead->news = sent;
    choose_spacing();
    const auto counts = lead->decisions.count(now);
    logging::event(logging::level::info, "lead_taken",
                   {{"epoch", std::to_string(epoch)},
                    {"ledger_offset", std::to_string(at)},
                    {"jobs", std::to_string(counts.jobs)},
                    {"placed", std::to_string(counts.placed)},
                    {"workers", std::to_string(counts.workers)}});
    run();
}

void node::internal_state::step_down(std::string_view why)
{
    logging::event(logging::level::info, "lead_lost",
                   {{"epoch", std::to_string(lead->epoch)}, {"why", why}});
    const auto former = std::move(lead);
    ++lead_number;
    for (const auto& guest : former->waiting_guests) {
        guest.done({.result = store_result::refused,
                    .expected_sequence = std::nullopt});
    }
    for (const auto& guest : former->batch_guests) {
        guest.done({.result = store_result::unknown,
                    .expected_sequence = std::nullopt});
    }
    choose_spacing();
}

// Who leads follows the feeds closely; the others read on demand.
void node::internal_state::choose_spacing()
{
    ledger.set_spacing(lead ? options.leader_spacing
                            : options.follower_spacing);
    directory.set_spacing(lead ? options.directory_spacing
                               : options.follower_directory_spacing);
}

void node::internal_state::append_batch()
{
    if (!lead || lead->in_flight) {
        return;
    }
    const auto now = boot_clock::now();
    if (!lead->batch) {
        if (now < lead->next_append) {
            return;
        }
        auto batch = lead->decisions.take_batch(unix_milliseconds());
        lead->batch_guests = std::exchange(lead->waiting_guests, {});
        for (const auto& guest : lead->batch_guests) {
            batch.entries.insert(batch.entries.end(), guest.entries.begin(),
                                 guest.entries.end());
        }
        if (batch.entries.empty()) {
            lead->decisions.on_recorded(batch.number, now);
            return;
        }
        ++lead->sequence;
        batch.entries.push_back(
            {.key = fleet::encode_key(
                 {.kind = fleet::entry_kind::batch_mark, .step = {}}),
             .value = fleet::encode(fleet::batch_mark{
                 .epoch = lead->epoch, .sequence = lead->sequence})});
        lead->batch = std::move(batch);
    }
    lead->in_flight = true;
    lead->append_sent = now;
    lead->next_append = now + options.append_spacing;
    append_request request{.entries = lead->batch->entries,
                           .expected_end = std::nullopt,
                           .writer = fenced_writer{.epoch = lead->epoch,
                                                   .sequence = lead->sequence},
                           .patience = entries.patience()};
    shared.append(std::move(request),
                  [this, number = lead_number,
                   sequence = lead->sequence](append_answer it) {
                      if (lead && number == lead_number) {
                          on_batch_appended(it, sequence);
                      }
                  });
}

void node::internal_state::batch_recorded()
{
    const auto now = boot_clock::now();
    lead->decisions.on_recorded(lead->batch->number, now);
    lead->batch.reset();
    lead->in_flight = false;
    const auto guests = std::exchange(lead->batch_guests, {});
    for (const auto& guest : guests) {
        for (const auto& it : guest.entries) {
            on_ledger_record({.key = it.key, .value = it.value});
        }
        guest.done(
            {.result = store_result::done, .expected_sequence = std::nullopt});
    }
    run();
}

void node::internal_state::on_batch_appended(const append_answer& it,
                                             std::uint64_t sequence)
{
    if (!lead->batch || sequence != lead->sequence) {
        // It was read back from the ledger before its answer came.
        return;
    }
    const auto now = boot_clock::now();
    lead->in_flight = false;
    // A repeat of an append whose answer was lost finds the next number due.
    const bool there = it.result == store_result::out_of_sequence &&
                       it.expected_sequence == lead->sequence + 1;
    if (it.result == store_result::done || there) {
        entries.learn(true, now - lead->append_sent);
        metrics.append.add(now - lead->append_sent);
        lead->news = lead->append_sent;
        batch_recorded();
        return;
    }
    if (it.result == store_result::fenced ||
        it.result == store_result::out_of_sequence) {
        step_down("a newer leader writes");
        return;
    }
    metrics.append_retries.add();
    if (it.result == store_result::unknown) {
        entries.learn(false, {});
        append_batch();
        return;
    }
    loop.post_at(now + options.append_retry, [this, number = lead_number] {
        if (lead && number == lead_number) {
            append_batch();
        }
    });
}

void node::internal_state::send_orders(time_point now)
{
    auto orders = lead->decisions.take_orders(now);
    send_questions(orders.questions);
    for (const auto& it : orders.stops) {
        workers.stop(it, [this, it, number = lead_number](bool answered) {
            if (lead && number == lead_number) {
                lead->decisions.on_stop_result(it, answered, boot_clock::now());
                run();
            }
        });
    }
    for (const auto& it : orders.starts) {
        workers.start(it, [this, it, sent = now,
                           number = lead_number](fleet::start_result result) {
            if (result == fleet::start_result::started) {
                metrics.start_call.add(boot_clock::now() - sent);
            }
            if (lead && number == lead_number) {
                lead->decisions.on_start_result(it, result, boot_clock::now());
                run();
            }
        });
    }
    for (const auto& it : orders.paces) {
        workers.pace(it, [](bool) {});
    }
    for (const auto& it : orders.holds) {
        workers.hold(it, [this, it, sent = now, number = lead_number](
                             fleet::hold_result result,
                             const fleet::hold_answer& answer) {
            if (lead && number == lead_number) {
                lead->decisions.on_hold_result(it, result, answer, sent,
                                               boot_clock::now());
                run();
            }
        });
    }
}

} // namespace rosemarytrail::cell
