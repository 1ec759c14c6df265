#include <rosemarytrail/cell/node.hpp>

#include <rosemarytrail/cell/feed_reader.hpp>
#include <rosemarytrail/cell/internal/node_state.hpp>
#include <rosemarytrail/logging/event_log.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace rosemarytrail::cell {

namespace {

/** @brief Interval at which expired state is dropped. */
constexpr duration cleanup_period{std::chrono::seconds{5}};
/** @brief Interval at which the gauges are updated; metrics are scraped every 5
 * s. */
constexpr duration metrics_period{std::chrono::seconds{1}};
/** @brief Interval at which timeouts are checked. */
constexpr duration tick_period{std::chrono::milliseconds{20}};

/** @return Pacing of a node's reads; the jitter differs from node to node. */
[[nodiscard]] read_pacing_options pacing_of(const node_options& options)
{
    return {.seed = static_cast<std::uint32_t>(
                std::hash<std::string>{}(options.member))};
}

} // namespace

std::string age_text(time_point since, time_point now)
{
    return since == time_point{} ? "never"
                                 : std::to_string(to_milliseconds(now - since));
}

node::internal_state::internal_state(const node_options& options_,
                                     http::event_loop& loop_, store& shared_,
                                     worker_port& workers_, peer_link& peers_,
                                     advice_port& advice_,
                                     const decoder& formats_,
                                     metrics::registry& metrics_)
    : options{options_}
    , loop{loop_}
    , shared{shared_}
    , peers{peers_}
    , advice{advice_}
    , formats{formats_}
    , metrics{metrics_}
    , workers{{.message_bytes = relay_message_bytes(options_.link_mbps)},
              options_.member,
              workers_,
              peers_,
              metrics.relayed_calls,
              metrics.lost_relays}
    , relay{{.message_bytes = relay_message_bytes(options_.link_mbps)},
            options_.member,
            loop_,
            workers_,
            peers_}
    , entries{{.appends = options_.appends},
              [this](append_request request,
                     std::function<void(append_answer)> done) {
                  append_entries(std::move(request), std::move(done));
              }}
    , forwarder{options_.forwarding, options_.member, loop_, peers_,
                call_target}
    , advice_requests{{.member = options_.member,
                       .slow_threshold_ms = options_.dispatcher.slow_advice_ms,
                       .slow_share = options_.dispatcher.slow_advice_share}}
    , ledger{{.which = feed::ledger,
              .min_interval = options_.follower_read_interval,
              .pacing = pacing_of(options_)},
             loop_,
             shared,
             ledger_target}
    , configuration{{.which = feed::configuration,
                     .wait = options_.configuration_wait,
                     .pacing = pacing_of(options_)},
                    loop_,
                    shared,
                    configuration_target}
    , directory{{.which = feed::workers,
                 .min_interval = options_.follower_directory_interval,
                 .pacing = pacing_of(options_)},
                loop_,
                shared,
                directory_target}
    , announcements{{.which = feed::leader,
                     .wait = options_.leader_wait,
                     .pacing = pacing_of(options_)},
                    loop_,
                    shared,
                    announcement_target}
    , monitor{{.member = options_.member}}
{
    call_target.owner = this;
    ledger_target.owner = this;
    configuration_target.owner = this;
    directory_target.owner = this;
    announcement_target.owner = this;
    ledger_target.which = feed::ledger;
    configuration_target.which = feed::configuration;
    directory_target.which = feed::workers;
    announcement_target.which = feed::leader;
}

void node::internal_state::listener::on_read_failed(store_result result,
                                                    std::size_t failures)
{
    owner->metrics.feed_read_failures.add();
    // The first failure and then each tenth one.
    constexpr std::size_t log_each = 10;
    if (failures % log_each == 1) {
        logging::event(
            logging::level::warning, "feed_read_failing",
            {{"feed", to_text(which)},
             {"result", std::to_string(static_cast<int>(result))},
             {"failures", std::to_string(failures)},
             {"config",
              owner->config ? std::to_string(owner->config->version) : "none"},
             {"ledger_age_ms",
              age_text(owner->ledger.fresh_as_of(), boot_clock::now())}});
    }
}

void node::internal_state::listener::on_read_regained(duration outage)
{
    owner->metrics.feed_reads_regained.add();
    logging::event(logging::level::info, "feed_read_regained",
                   {{"feed", to_text(which)},
                    {"outage_ms", std::to_string(to_milliseconds(outage))}});
}

node::node(const node_options& options, http::event_loop& loop, store& shared,
           worker_port& workers, peer_link& peers, advice_port& advice,
           const decoder& formats, metrics::registry& metrics)
    : state_{std::make_unique<internal_state>(options, loop, shared, workers,
                                              peers, advice, formats, metrics)}
{}

node::~node() = default;

void node::start()
{
    auto& it = *state_;
    it.loop.post([&it] {
        it.started_at = boot_clock::now();
        it.configuration.start();
        it.announcements.start();
        it.tick();
        it.join();
        it.schedule_listing();
    });
}

bool node::ready(time_point now) const noexcept
{
    const auto& it = *state_;
    const time_point seen{duration{it.last_tick.load()}};
    return it.ready_flag.load() && now - seen < it.options.store_timeout;
}

std::int64_t node::internal_state::unix_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

leader_status node::leadership_status(time_point now) const
{
    const auto& it = *state_;
    return {.leading = it.leadership != nullptr && !it.shutting_down &&
                       may_lead(it.members, it.options.cpu_millis,
                                it.options.followers.min_cpu_share),
            .epoch = it.leadership ? it.leadership->epoch : 0,
            .store_age = now - it.shared.served()};
}

void node::begin_shutdown()
{
    auto& it = *state_;
    it.ready_flag = false;
    it.loop.post([&it] { it.shut_down(); });
}

void node::internal_state::ledger_listener::on_reset()
{
    owner->jobs = {};
    // The newest records are not a consistent snapshot: a claim among them does
    // not show that all that was recorded before it has been read.
    owner->claim.reset();
    owner->unanswered_claim.reset();
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
    const auto* before = find_job_by_key(record.key);
    const bool new_job = before == nullptr || !before->record;
    const bool had_started = before != nullptr && before->has_started();
    const auto about = jobs.apply(
        record.key,
        record.value ? std::optional<std::string_view>{*record.value}
                     : std::nullopt,
        now,
        loading_ledger ? std::optional{unix_milliseconds()} : std::nullopt);
    if (!about) {
        metrics.unreadable.add();
        logging::event(logging::level::warning, "ledger_record_unreadable",
                       {{"key", record.key}});
        return;
    }
    entries.confirm(record.key);
    track_job_entry(*about, new_job, had_started, now);
    if (about->kind == fleet::entry_kind::batch_mark) {
        const auto mark = record.value ? fleet::decode_batch_mark(*record.value)
                                       : std::nullopt;
        if (leadership && leadership->batch &&
            mark == fleet::batch_mark{.epoch = leadership->epoch,
                                      .sequence = leadership->sequence}) {
            on_batch_recorded();
        }
        return;
    }
    if (about->kind == fleet::entry_kind::leader) {
        logging::event(logging::level::info, "leader_changed",
                       {{"leader", jobs.leader().node},
                        {"epoch", std::to_string(jobs.leader().epoch)}});
        if (leadership && jobs.leader().epoch > leadership->epoch) {
            step_down("a newer leader claimed leadership");
        }
        resend_grants();
        return;
    }
    if (!leadership || about->kind == fleet::entry_kind::progress ||
        about->kind == fleet::entry_kind::occurrences ||
        about->kind == fleet::entry_kind::outcome) {
        return;
    }
    if (const auto* entry = jobs.find(about->step.job)) {
        leadership->decisions.on_job_changed(about->step.job, *entry, now,
                                             unix_milliseconds());
    }
}

const fleet::job_entry*
node::internal_state::find_job_by_key(std::string_view key) const
{
    const auto about = fleet::decode_key(key);
    return about ? jobs.find(about->step.job) : nullptr;
}

void node::internal_state::track_job_entry(const fleet::entry_key& about,
                                           bool new_job, bool had_started,
                                           time_point now)
{
    const auto* entry = jobs.find(about.step.job);
    if (loading_ledger || entry == nullptr || !entry->record) {
        return;
    }
    const auto& record = *entry->record;
    if (about.kind == fleet::entry_kind::job && new_job) {
        shares.record(record.account, weight_of(record.account), now);
    } else if (about.kind == fleet::entry_kind::progress && !had_started &&
               entry->has_started()) {
        auto& times = recent_starts[record.queue.name];
        times.push_back(now);
        trim_starts(times, now);
    }
}

void node::internal_state::on_ledger_caught_up()
{
    confirm_claim();
    try_claim();
    run();
}

void node::internal_state::announcement_listener::on_reset() {}

void node::internal_state::announcement_listener::on_record(
    const feed_record& record)
{
    const auto it =
        record.value ? fleet::decode_leader(*record.value) : std::nullopt;
    if (!it || it->epoch <= owner->announced.epoch) {
        return;
    }
    owner->announced = *it;
    logging::event(
        logging::level::info, "leader_announced",
        {{"leader", it->node}, {"epoch", std::to_string(it->epoch)}});
    owner->resend_grants();
}

void node::internal_state::announcement_listener::on_caught_up() {}

// The newest record of each key follows; a request that was withdrawn while
// history was lost has none.
void node::internal_state::configuration_listener::on_reset()
{
    owner->evacuated_zones.clear();
}

void node::internal_state::configuration_listener::on_record(
    const feed_record& record)
{
    if (const auto evacuation = owner->formats.evacuation(record)) {
        owner->on_evacuation(*evacuation);
    } else if (auto found = owner->formats.configuration(record)) {
        owner->on_configuration(std::move(*found));
    }
}

void node::internal_state::on_configuration(fleet::cell_config found)
{
    if (config && found.version <= config->version) {
        return;
    }
    logging::event(logging::level::info, "configuration_in_force",
                   {{"version", std::to_string(found.version)},
                    {"queues", std::to_string(found.queues.size())},
                    {"accounts", std::to_string(found.accounts.size())}});
    config = std::make_shared<const fleet::cell_config>(std::move(found));
    if (leadership) {
        leadership->decisions.set_config(config);
    }
}

bool node::internal_state::is_known_zone(std::string_view zone) const
{
    return std::ranges::any_of(
               vm_list, [zone](const auto& it) { return it.zone == zone; }) ||
           std::ranges::any_of(members, [zone](const auto& it) {
               const auto name = parse_member_name(it);
               return name && name->zone == zone;
           });
}

void node::internal_state::on_evacuation(const fleet::zone_evacuation& it)
{
    if (it.state == fleet::evacuation_state::malformed) {
        metrics.evacuations_unreadable.add();
        logging::event(logging::level::warning, "evacuation_unreadable",
                       {{"zone", it.zone}});
        return;
    }
    const bool requested = it.state == fleet::evacuation_state::requested;
    const bool changed = requested ? evacuated_zones.insert(it.zone).second
                                   : evacuated_zones.erase(it.zone) > 0;
    if (!changed) {
        return;
    }
    // A node that has just started does not know the zones yet.
    const bool unknown = !members.empty() && !is_known_zone(it.zone);
    if (unknown) {
        metrics.evacuations_unknown_zone.add();
    }
    logging::event(
        unknown ? logging::level::warning : logging::level::info,
        requested ? "evacuation_requested" : "evacuation_withdrawn",
        {{"zone", it.zone},
         {"zone_known", unknown ? "false" : "true"},
         {"evacuated_zones", std::to_string(evacuated_zones.size())}});
}

void node::internal_state::configuration_listener::on_caught_up()
{
    if (owner->leadership) {
        owner->leadership->decisions.set_evacuated_zones(
            owner->evacuated_zones);
    }
    owner->try_claim();
    owner->run();
}

void node::internal_state::directory_listener::on_reset()
{
    owner->vms.clear();
}

void node::internal_state::directory_listener::on_record(
    const feed_record& record)
{
    std::string why;
    auto vm = owner->formats.worker(record, why);
    owner->track_ignored_entry(record.key, why);
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
    const bool repeated = slot.read_at && slot.draining == vm->draining &&
                          slot.remaining_ms == vm->remaining_ms &&
                          slot.cold_left_ms == vm->cold_left_ms &&
                          slot.incarnation == vm->incarnation;
    vm->read_at = repeated ? slot.read_at : std::optional{boot_clock::now()};
    slot = std::move(*vm);
}

void node::internal_state::track_ignored_entry(const std::string& key,
                                               const std::string& why)
{
    constexpr std::size_t max_tracked = 1000;
    constexpr std::size_t max_logged_bytes = 64;
    if (why.empty()) {
        ignored_entries.erase(key);
        return;
    }
    metrics.worker_entries_ignored.add();
    const auto it = ignored_entries.find(key);
    if (it == ignored_entries.end() ? ignored_entries.size() >= max_tracked
                                    : it->second == why) {
        return;
    }
    ignored_entries.insert_or_assign(key, why);
    logging::event(
        logging::level::warning, "worker_entry_ignored",
        {{"worker", key.substr(0, max_logged_bytes)}, {"reason", why}});
}

void node::internal_state::directory_listener::on_caught_up()
{
    auto& it = *owner;
    it.vm_list.clear();
    for (const auto& [id, vm] : it.vms) {
        it.vm_list.push_back(vm);
    }
    if (it.leadership) {
        it.leadership->decisions.set_workers(it.vm_list, boot_clock::now());
        it.assign_relays();
    }
    it.try_claim();
    it.run();
}

bool node::internal_state::is_store_reachable(time_point now) const
{
    return now - shared.served() < options.store_timeout;
}

void node::internal_state::run()
{
    if (run_posted) {
        return;
    }
    run_posted = true;
    const auto again = [this] {
        run_posted = false;
        run_now();
    };
    // Workers send thousands of responses per second; each run handles all that
    // have arrived since the last one.
    const auto due = last_run + options.min_run_interval;
    if (boot_clock::now() < due) {
        loop.post_at(due, again);
    } else {
        loop.post(again);
    }
}

void node::internal_state::run_now()
{
    const auto now = boot_clock::now();
    last_run = now;
    if (leadership) {
        // Only calls that would have revealed a newer claim extend the
        // leadership.
        const auto seen =
            std::max(leadership->confirmed_at, ledger.fresh_as_of());
        if (leadership->decisions.superseded()) {
            step_down("a worker reported a newer epoch");
        } else if (now - seen > options.dispatcher.renewal_timeout) {
            step_down("the store was unreachable for too long");
        }
    }
    if (leadership) {
        drop_expired_entries(now);
        leadership->decisions.plan(now, unix_milliseconds());
        append_batch();
        send_worker_requests(now);
        metrics.add(leadership->decisions.take_timings());
        metrics.add(leadership->decisions.take_relocation_counts());
        metrics.add(leadership->decisions.take_withheld_starts());
        metrics.add(leadership->decisions.take_restart_counts());
        for (const auto& it : leadership->decisions.take_decisions()) {
            logging::event(logging::level::info, "decision",
                           {{"job", fleet::to_text(it.job)},
                            {"what", it.what},
                            {"detail", it.detail}});
        }
    }
    workers.run(now);
    ask_advice(now);
}

void node::internal_state::tick()
{
    const auto now = boot_clock::now();
    last_tick = now.time_since_epoch().count();
    relay.on_tick(now);
    // A node that follows nothing needs a follower that serves its calls.
    const bool has_jobs =
        ledger.running() ? ledger.loaded() : !followers.empty();
    const bool reached = has_jobs && config && is_store_reachable(now);
    if (reached != ready_flag.load() && !shutting_down) {
        logging::event(logging::level::info,
                       reached ? "store_regained" : "store_lost", {});
        ready_flag = reached;
    }
    entries.run(now);
    send_waiting_grants(now);
    report_to_leader(now);
    drop_expired_reports(now);
    if (now - last_metrics_update > metrics_period) {
        last_metrics_update = now;
        metrics.leading.set(leadership ? 1 : 0);
        metrics.reported_nodes.set(
            leadership
                ? static_cast<std::int64_t>(leadership->unlisted_nodes.size())
                : 0);
        const auto counts = leadership ? leadership->decisions.count(now)
                                       : fleet::dispatcher_counts{};
        metrics.update(counts);
        metrics.update_log_losses();
        if (leadership) {
            log_counts(counts);
        }
        if (counts.tasks_in_evacuated_zones > 0) {
            const auto& left = counts.evacuation_left;
            logging::event(
                logging::level::info, "evacuation_progress",
                {{"zones", std::to_string(counts.evacuated_zones)},
                 {"tasks_left",
                  std::to_string(counts.tasks_in_evacuated_zones)},
                 {"waiting_for_capacity", std::to_string(left.no_capacity)},
                 {"waiting_for_max_unavailable",
                  std::to_string(left.max_unavailable)},
                 {"waiting_for_rate", std::to_string(left.rate)},
                 {"in_transition", std::to_string(left.in_transition)},
                 {"staying", std::to_string(left.staying)}});
        }
    }
    if (now - last_cleanup > cleanup_period) {
        last_cleanup = now;
        advice_requests.forget_ended(jobs);
        if (leadership) {
            drop_old_outcomes();
        }
    }
    run_now();
    loop.post_at(now + tick_period, [this] { tick(); });
}

void node::internal_state::log_counts(
    const fleet::dispatcher_counts& counts) const
{
    logging::event(
        logging::level::info, "books",
        {{"jobs", std::to_string(counts.jobs)},
         {"waiting", std::to_string(counts.waiting)},
         {"waiting_for_limit", std::to_string(counts.waiting_for_limit)},
         {"waiting_for_advice", std::to_string(counts.waiting_for_advice)},
         {"longest_advice_wait_ms",
          std::to_string(to_milliseconds(counts.longest_advice_wait))},
         {"longest_advice_wait_step",
          counts.longest_advice_wait > duration{}
              ? fleet::to_text(counts.longest_advice_wait_step)
              : "none"},
         {"placed", std::to_string(counts.placed)},
         {"workers", std::to_string(counts.workers)},
         {"usable", std::to_string(counts.usable_workers)},
         {"fenced", std::to_string(counts.fenced_workers)},
         {"unanswered", std::to_string(counts.unanswered_workers)},
         {"unrecorded", std::to_string(counts.unrecorded_workers)},
         {"relayed_calls_open", std::to_string(workers.open_calls())},
         {"cpu_millis", std::to_string(counts.capacity.cpu_millis)},
         {"cpu_millis_used", std::to_string(counts.used.cpu_millis)}});
}

void node::internal_state::drop_old_outcomes()
{
    const auto before =
        unix_milliseconds() - to_milliseconds(options.outcome_retention);
    append_request request;
    std::size_t bytes = 0;
    for (const auto id : jobs.outcomes_before(before)) {
        // The next cleanup continues. All entries of a job go together: without
        // its outcome, its record would start it again.
        if (bytes > options.appends.append_bytes / 2) {
            break;
        }
        for (const auto kind :
             {fleet::entry_kind::outcome, fleet::entry_kind::job,
              fleet::entry_kind::cancellation}) {
            request.entries.push_back(
                {.key = fleet::encode_key({.kind = kind, .step = {.job = id}}),
                 .value = std::nullopt});
            bytes += record_size(request.entries.back());
        }
    }
    if (!request.entries.empty()) {
        shared.append(std::move(request), [](const append_answer&) {});
    }
}

void node::internal_state::shut_down()
{
    shutting_down = true;
    ready_flag = false;
    if (leadership) {
        step_down("shutting down");
    }
    for (const auto group : {node_group::members, node_group::candidates}) {
        shared.leave(group, options.member, [](store_result) {});
    }
}

bool node::relay(const worker_call_batch& batch)
{
    return state_->relay.receive(batch, boot_clock::now());
}

bool node::receive(worker_result_batch batch)
{
    return state_->workers.receive(std::move(batch));
}

call_report node::call_status(const call_number& number, time_point now)
{
    return state_->peer_calls.query(number, now);
}

void node::serve(client_call call, std::function<void(client_answer)> done)
{
    state_->serve(std::move(call), std::move(done));
}

} // namespace rosemarytrail::cell
