#include <rosemarytrail/cell/node.hpp>

#include <rosemarytrail/cell/feed_reader.hpp>
#include <rosemarytrail/cell/internal/node_state.hpp>
#include <rosemarytrail/logging/event_log.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace rosemarytrail::cell {

namespace {

[[nodiscard]] std::int64_t unix_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/** @brief How often clean-up of old outcomes is tried. */
constexpr duration cleanup_period{std::chrono::seconds{5}};
/** @brief Time between two looks at what is due. */
constexpr duration tick_period{std::chrono::milliseconds{20}};
/** @brief An advice answer may come later than its policy says. */
constexpr duration advice_slack{std::chrono::milliseconds{1500}};
/** @brief Pause after the advice service gave no answer. */
constexpr duration advice_pause{std::chrono::milliseconds{200}};
/** @brief Time for an answer to be read back from the ledger. */
constexpr duration advice_settle{std::chrono::milliseconds{500}};
/** @brief Retry-After while the store turns this node away. */
constexpr duration store_retry_after{std::chrono::seconds{1}};
/** @brief Questions that are under way to the advice service at once. */
constexpr std::size_t advice_calls = 1;

} // namespace

struct node::internal_state::client_append
{
    fleet::ledger_entry entry;
    time_point deadline;
    answer_kind on_done;
    std::function<void(client_answer)> done;
    /** @brief An attempt got no answer, so it may be on record. */
    bool maybe_done{false};
    time_point sent;

    void answer(const client_answer& it)
    {
        if (done) {
            std::exchange(done, nullptr)(it);
        }
    }
};

node::internal_state::internal_state(const node_options& options_,
                                     http::event_loop& loop_, store& shared_,
                                     worker_port& workers_,
                                     advice_port& advice_,
                                     const decoder& formats_,
                                     metrics::registry& metrics_)
    : options{options_}
    , loop{loop_}
    , shared{shared_}
    , workers{workers_}
    , advice{advice_}
    , formats{formats_}
    , metrics{metrics_}
    , questions{{.member = options_.member,
                 .patience = options_.advice_patience}}
    , ledger{{.which = feed::ledger, .spacing = options_.follower_spacing},
             loop_,
             shared_,
             ledger_target}
    , configuration{{.which = feed::configuration},
                    loop_,
                    shared_,
                    configuration_target}
    , directory{{.which = feed::workers, .spacing = options_.directory_spacing},
                loop_,
                shared_,
                directory_target}
{
    patience = options.append_patience;
    ledger_target.owner = this;
    configuration_target.owner = this;
    directory_target.owner = this;
}

node::node(const node_options& options, http::event_loop& loop, store& shared,
           worker_port& workers, advice_port& advice, const decoder& formats,
           metrics::registry& metrics)
    : state_{std::make_unique<internal_state>(options, loop, shared, workers,
                                              advice, formats, metrics)}
{}

node::~node() = default;

void node::start()
{
    auto& it = *state_;
    it.loop.post([&it] {
        it.ledger.start();
        it.configuration.start();
        it.directory.start();
        it.tick();
        it.join();
        it.list_members();
    });
}

bool node::ready(time_point now) const noexcept
{
    const auto& it = *state_;
    const time_point seen{duration{it.last_tick.load()}};
    return it.ready_flag.load() && now - seen < it.options.store_silence;
}

void node::begin_shutdown()
{
    auto& it = *state_;
    it.ready_flag = false;
    it.loop.post([&it] { it.shut_down(); });
}

// --- feeds

void node::internal_state::ledger_listener::on_reset()
{
    owner->board = {};
    owner->loading_ledger = true;
}

void node::internal_state::ledger_listener::on_record(const feed_record& record)
{
    owner->on_ledger_record(record);
}

void node::internal_state::ledger_listener::on_caught_up()
{
    owner->loading_ledger = false;
    owner->on_ledger_caught_up();
}

void node::internal_state::on_ledger_record(const feed_record& record)
{
    const auto now = boot_clock::now();
    const auto about = board.apply(
        record.key,
        record.value ? std::optional<std::string_view>{*record.value}
                     : std::nullopt,
        now,
        loading_ledger ? std::optional{unix_milliseconds()} : std::nullopt);
    if (!about) {
        metrics
            .make_counter("rosemarytrail_ledger_records_unreadable_total",
                          "entries of the ledger that cannot be read")
            .add();
        logging::event(logging::level::warning, "ledger_record_unreadable",
                       {{"key", record.key}});
        return;
    }
    confirm(record.key);
    if (about->kind == fleet::entry_kind::question) {
        if (record.value && !loading_ledger) {
            on_question(about->step, *record.value);
        }
        return;
    }
    if (about->kind == fleet::entry_kind::batch_mark) {
        const auto mark = record.value ? fleet::decode_batch_mark(*record.value)
                                       : std::nullopt;
        if (lead && lead->batch &&
            mark == fleet::batch_mark{.epoch = lead->epoch,
                                      .sequence = lead->sequence}) {
            batch_recorded();
        }
        return;
    }
    if (about->kind == fleet::entry_kind::leader) {
        logging::event(logging::level::info, "leader_changed",
                       {{"leader", board.leader().node},
                        {"epoch", std::to_string(board.leader().epoch)}});
        if (lead && board.leader().epoch > lead->epoch) {
            step_down("a newer leader has claimed");
        }
        return;
    }
    if (!lead || about->kind == fleet::entry_kind::progress ||
        about->kind == fleet::entry_kind::outcome) {
        return;
    }
    if (const auto* entry = board.find(about->step.job)) {
        lead->decisions.on_job_changed(about->step.job, *entry, now,
                                       unix_milliseconds());
    }
}

void node::internal_state::confirm(std::string_view key)
{
    const auto [first, last] = awaited.equal_range(std::string{key});
    std::vector<std::shared_ptr<client_append>> found;
    for (auto it = first; it != last; ++it) {
        found.push_back(it->second);
    }
    awaited.erase(first, last);
    for (const auto& it : found) {
        it->answer({.kind = it->on_done});
    }
}

void node::internal_state::on_ledger_caught_up()
{
    try_lead();
    run();
}

void node::internal_state::configuration_listener::on_reset() {}

void node::internal_state::configuration_listener::on_record(
    const feed_record& record)
{
    auto found = owner->formats.configuration(record);
    if (!found) {
        return;
    }
    auto& current = owner->config;
    if (current && found->version <= current->version) {
        return;
    }
    logging::event(logging::level::info, "configuration_in_force",
                   {{"version", std::to_string(found->version)},
                    {"queues", std::to_string(found->queues.size())},
                    {"accounts", std::to_string(found->accounts.size())}});
    current = std::make_shared<const fleet::cell_config>(std::move(*found));
    if (owner->lead) {
        owner->lead->decisions.set_config(current);
    }
}

void node::internal_state::configuration_listener::on_caught_up()
{
    owner->run();
}

void node::internal_state::directory_listener::on_reset()
{
    owner->vms.clear();
}

void node::internal_state::directory_listener::on_record(
    const feed_record& record)
{
    auto vm = owner->formats.worker(record);
    if (!vm) {
        if (owner->vms.erase(record.key) > 0) {
            logging::event(logging::level::info, "worker_unlisted",
                           {{"worker", record.key}});
        }
        return;
    }
    auto& slot = owner->vms[record.key];
    if (slot.id.empty() || slot.draining != vm->draining ||
        slot.incarnation != vm->incarnation) {
        logging::event(logging::level::info, "worker_listed",
                       {{"worker", vm->id},
                        {"draining", vm->draining ? "true" : "false"},
                        {"incarnation", std::to_string(vm->incarnation)}});
    }
    slot = std::move(*vm);
}

void node::internal_state::directory_listener::on_caught_up()
{
    auto& it = *owner;
    it.vm_list.clear();
    for (const auto& [id, vm] : it.vms) {
        it.vm_list.push_back(vm);
    }
    if (it.lead) {
        it.lead->decisions.set_workers(it.vm_list, boot_clock::now());
    }
    it.run();
}

// --- the lead

void node::internal_state::join()
{
    if (shutting_down) {
        return;
    }
    const auto sent = boot_clock::now();
    if (ledger.loaded() && configuration.loaded()) {
        shared.join(options.member, generation, options.member_lifetime,
                    [this, sent](const membership& it) { on_join(it, sent); });
    }
    loop.post_at(sent + options.join_period, [this] { join(); });
}

void node::internal_state::list_members()
{
    shared.members([this](std::optional<std::vector<std::string>> it) {
        if (it) {
            members = std::move(*it);
            if (lead) {
                lead->decisions.set_members(members);
            }
        }
    });
    loop.post_at(boot_clock::now() + options.members_period,
                 [this] { list_members(); });
}

void node::internal_state::on_join(const membership& it, time_point sent)
{
    if (it.result != store_result::done || sent < last_join) {
        return;
    }
    last_join = sent;
    note_store(sent);
    generation = std::max(generation, it.generation);
    if (chosen == it.chosen) {
        return;
    }
    chosen = it.chosen;
    // A leader that is no longer chosen goes on until its successor's claim
    // fences it, so that there is no time without a leader.
    try_lead();
}

void node::internal_state::try_lead()
{
    if (!chosen || lead || claiming || shutting_down || !ledger.loaded() ||
        !directory.loaded() || !config) {
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
    shared.append(std::move(request),
                  [this, epoch, at, sent](append_answer it) {
                      claiming = false;
                      if (it.result == store_result::done) {
                          take_lead(epoch, at, sent);
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

void node::internal_state::take_lead(std::uint64_t epoch, std::int64_t at,
                                     time_point sent)
{
    if (!chosen || shutting_down) {
        return;
    }
    const auto now = boot_clock::now();
    auto with_epoch = options.dispatcher;
    with_epoch.epoch = epoch;
    lead = std::make_unique<leadership>(with_epoch, board, now,
                                        unix_milliseconds());
    lead->decisions.set_config(config);
    lead->decisions.set_workers(vm_list, now);
    lead->decisions.set_members(members);
    lead->epoch = epoch;
    lead->news = sent;
    ledger.set_spacing(options.leader_spacing);
    const auto counts = lead->decisions.count();
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
    lead.reset();
    ++lead_number;
    ledger.set_spacing(options.follower_spacing);
}

// A lost answer would stall all starts, so an append is sent again soon: the
// store drops a repeat by its sequence number. Under a slow store the patience
// grows until answers come in time.
void node::internal_state::note_append(bool answered, duration took)
{
    constexpr int factor = 4;
    if (answered) {
        latest_append = took;
        patience = std::max(options.append_patience, latest_append * factor);
    } else {
        patience *= 2;
    }
    patience = std::min(patience, options.append_patience_most);
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
                           .patience = patience};
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
        note_store(now);
        note_append(true, now - lead->append_sent);
        lead->news = lead->append_sent;
        batch_recorded();
        return;
    }
    if (it.result == store_result::fenced ||
        it.result == store_result::out_of_sequence) {
        step_down("a newer leader writes");
        return;
    }
    metrics
        .make_counter("rosemarytrail_append_retries_total",
                      "appends of the leader that were sent again")
        .add();
    if (it.result == store_result::unknown) {
        note_append(false, {});
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
    for (const auto& it : orders.stops) {
        workers.stop(it, [this, it, number = lead_number](bool answered) {
            if (lead && number == lead_number) {
                lead->decisions.on_stop_result(it, answered, boot_clock::now());
                run();
            }
        });
    }
    for (const auto& it : orders.starts) {
        workers.start(it, [this, it,
                           number = lead_number](fleet::start_result result) {
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

// --- what is due

void node::internal_state::note_store(time_point sent)
{
    store_seen = std::max(store_seen, sent);
}

bool node::internal_state::store_reached(time_point now) const
{
    return now - std::max(store_seen, ledger.fresh_as_of()) <
           options.store_silence;
}

void node::internal_state::run()
{
    if (run_posted) {
        return;
    }
    run_posted = true;
    loop.post([this] {
        run_posted = false;
        run_now();
    });
}

void node::internal_state::run_now()
{
    const auto now = boot_clock::now();
    if (lead) {
        // Only what would show a newer claim counts as news.
        const auto seen = std::max(lead->news, ledger.fresh_as_of());
        if (lead->decisions.deposed()) {
            step_down("a worker knows a newer epoch");
        } else if (now - seen > options.dispatcher.renewal_bound) {
            step_down("the store was not reached");
        }
    }
    if (lead) {
        lead->decisions.plan(now, unix_milliseconds());
        append_batch();
        send_orders(now);
        for (const auto& it : lead->decisions.take_decisions()) {
            logging::event(logging::level::info, "decision",
                           {{"job", fleet::to_text(it.job)},
                            {"what", it.what},
                            {"detail", it.detail}});
        }
    }
    ask_advice(now);
}

void node::internal_state::tick()
{
    const auto now = boot_clock::now();
    last_tick = now.time_since_epoch().count();
    const bool reached = ledger.loaded() && config && store_reached(now);
    if (reached != ready_flag.load() && !shutting_down) {
        logging::event(logging::level::info,
                       reached ? "store_regained" : "store_lost", {});
        ready_flag = reached;
    }
    if (lead && now - last_cleanup > cleanup_period) {
        last_cleanup = now;
        drop_old_outcomes();
    }
    run_now();
    loop.post_at(now + tick_period, [this] { tick(); });
}

void node::internal_state::drop_old_outcomes()
{
    const auto before =
        unix_milliseconds() - to_milliseconds(options.outcome_retention);
    append_request request;
    for (const auto id : board.outcomes_before(before)) {
        for (const auto kind :
             {fleet::entry_kind::outcome, fleet::entry_kind::job,
              fleet::entry_kind::cancellation}) {
            request.entries.push_back(
                {.key = fleet::encode_key({.kind = kind, .step = {.job = id}}),
                 .value = std::nullopt});
        }
    }
    if (!request.entries.empty()) {
        shared.append(std::move(request), [](const append_answer&) {});
    }
}

void node::internal_state::on_question(const fleet::step_key& step,
                                       std::string_view value)
{
    const auto question = fleet::decode_question(value);
    if (question && question->member == options.member) {
        given_questions.push_back(step);
    }
}

std::optional<fleet::advice_question>
node::internal_state::next_question(time_point now)
{
    while (!given_questions.empty()) {
        const auto step = given_questions.front();
        given_questions.pop_front();
        const auto* entry = board.find(step.job);
        if (entry != nullptr && entry->record && !entry->cancelled &&
            !entry->outcome) {
            if (auto it = questions.question(step, *entry, vm_list)) {
                return it;
            }
        }
    }
    return questions.next(board, vm_list, members, lead != nullptr, now);
}

void node::internal_state::ask_advice(time_point now)
{
    if (!ledger.loaded() || now < advice_paused_until ||
        advice_in_flight >= advice_calls) {
        return;
    }
    auto question = next_question(now);
    if (!question) {
        return;
    }
    ++advice_in_flight;
    const auto longest = question->expected * 2 + advice_slack;
    questions.asked(question->step, now + longest);
    advice.advise(question->step, question->workers, longest,
                  [this, step = question->step, sent = now](advice_answer it) {
                      --advice_in_flight;
                      on_advice(step, std::move(it), sent);
                  });
}

void node::internal_state::on_advice(const fleet::step_key& step,
                                     advice_answer it, time_point sent)
{
    const auto now = boot_clock::now();
    logging::event(logging::level::info, "advice",
                   {{"job", fleet::to_text(step.job)},
                    {"step", fleet::to_text(step)},
                    {"answered", it.answered ? "true" : "false"},
                    {"granted", std::to_string(it.grant.rows.size())},
                    {"took_ms", std::to_string(to_milliseconds(now - sent))}});
    if (!it.answered) {
        advice_paused_until = now + advice_pause;
        questions.asked(step, now + advice_pause);
        return;
    }
    questions.asked(step, now + advice_settle);
    it.grant.granted_unix_ms = unix_milliseconds();
    append_request request;
    request.entries.push_back(
        {.key = fleet::encode_key(
             {.kind = fleet::entry_kind::advice, .step = step}),
         .value = fleet::encode(it.grant)});
    shared.append(std::move(request),
                  [](const append_answer& /*read back from the ledger*/) {});
    run();
}

void node::internal_state::shut_down()
{
    shutting_down = true;
    ready_flag = false;
    if (lead) {
        step_down("shutting down");
    }
    shared.leave(options.member, [](store_result) {});
}

// --- callers

void node::serve(client_call call, std::function<void(client_answer)> done)
{
    state_->serve(std::move(call), std::move(done));
}

void node::internal_state::serve(client_call call,
                                 std::function<void(client_answer)> done)
{
    if (!config) {
        done({.kind = answer_kind::unavailable,
              .code = result_code::catching_up,
              .retry_after = store_retry_after});
        return;
    }
    const auto* queue = config->find_queue(call.host, call.path);
    if (queue == nullptr) {
        done({.kind = answer_kind::no_such_queue,
              .code = result_code::path_unknown});
        return;
    }
    const auto account = config->account_of_key.find(call.key);
    const bool known = account != config->account_of_key.end();
    if (!known && !queue->is_public) {
        done({.kind = answer_kind::not_authorised,
              .code = call.key.empty() ? result_code::key_missing
                                       : result_code::key_unknown});
        return;
    }
    if (call.kind == call_kind::pending) {
        done({.kind = answer_kind::pending,
              .pending = board.pending(queue->policy.name)});
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
    if (const auto* entry = board.find(*id);
        entry != nullptr && (entry->record || entry->outcome)) {
        answer_known(*id, call, std::move(done));
        return;
    }
    // Another node may have accepted it a moment ago.
    ledger.catch_up([this, id = *id, call = std::move(call),
                     done = std::move(done)](bool whole) mutable {
        const auto* entry = board.find(id);
        if (entry != nullptr && (entry->record || entry->outcome)) {
            answer_known(id, call, std::move(done));
        } else if (whole) {
            done({.kind = answer_kind::no_such_job,
                  .code = result_code::job_unknown});
        } else {
            done({.kind = answer_kind::unavailable,
                  .code = result_code::submission_log_down,
                  .retry_after = store_retry_after});
        }
    });
}

void node::internal_state::answer_known(std::uint64_t id,
                                        const client_call& call,
                                        std::function<void(client_answer)> done)
{
    const auto& entry = *board.find(id);
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
        {.key = fleet::encode_key(
             {.kind = fleet::entry_kind::cancellation, .step = {.job = id}}),
         .value = "1"},
        call.deadline, answer_kind::cancelled, std::move(done));
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
    if (const auto* entry = board.find(id);
        entry != nullptr && (entry->record || entry->outcome)) {
        done({.kind = answer_kind::accepted});
        return;
    }
    if (!store_reached(now)) {
        done({.kind = answer_kind::unavailable,
              .code = result_code::submission_log_down,
              .retry_after = store_retry_after});
        return;
    }
    const fleet::job_record record{.id = id,
                                   .account = std::move(account),
                                   .acceptor = shutting_down ? std::string{}
                                                             : options.member,
                                   .accepted_unix_ms = unix_milliseconds(),
                                   .queue = queue.policy,
                                   .spec = std::move(*call.job)};
    logging::event(logging::level::info, "submit",
                   {{"job", fleet::to_text(id)},
                    {"queue", record.queue.name},
                    {"account", record.account},
                    {"config", std::to_string(config->version)},
                    {"steps", std::to_string(record.spec.steps.size())}});
    append_for_client({.key = fleet::encode_key({.kind = fleet::entry_kind::job,
                                                 .step = {.job = id}}),
                       .value = fleet::encode(record)},
                      call.deadline, answer_kind::accepted, std::move(done));
}

void node::internal_state::append_for_client(
    fleet::ledger_entry entry, time_point deadline, answer_kind on_done,
    std::function<void(client_answer)> done)
{
    auto it =
        std::make_shared<client_append>(client_append{.entry = std::move(entry),
                                                      .deadline = deadline,
                                                      .on_done = on_done,
                                                      .done = std::move(done)});
    awaited.emplace(it->entry.key, it);
    try_append(it);
}

void node::internal_state::give_up(const std::shared_ptr<client_append>& it,
                                   const client_answer& answer)
{
    std::erase_if(awaited,
                  [&it](const auto& other) { return other.second == it; });
    it->answer(answer);
}

void node::internal_state::try_append(const std::shared_ptr<client_append>& it)
{
    it->sent = boot_clock::now();
    append_request request{
        .entries = {it->entry}, .writer = std::nullopt, .patience = patience};
    shared.append(std::move(request), [this, it](append_answer answer) {
        const auto now = boot_clock::now();
        if (answer.result == store_result::done) {
            note_store(now);
            note_append(true, now - it->sent);
            // Taken in before the ledger is read again, so that the question
            // for advice goes out at once. This also answers the client.
            on_ledger_record({.key = it->entry.key, .value = it->entry.value});
            run();
            return;
        }
        if (!it->done) {
            return;
        }
        if (answer.result == store_result::unknown) {
            it->maybe_done = true;
            note_append(false, {});
        }
        if (!it->maybe_done) {
            give_up(it, {.kind = answer_kind::unavailable,
                         .code = result_code::submission_log_down,
                         .retry_after = store_retry_after});
        } else if (now + options.answer_margin + options.append_retry <
                   it->deadline) {
            // It must not be called refused any more; sent again, the same
            // entry changes nothing.
            loop.post_at(now + options.append_retry,
                         [this, it] { try_append(it); });
        } else {
            give_up(it, {.kind = answer_kind::outcome_unknown,
                         .code = result_code::submission_outcome_unknown});
        }
    });
}

} // namespace rosemarytrail::cell
