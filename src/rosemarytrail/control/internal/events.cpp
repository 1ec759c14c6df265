#include <rosemarytrail/control/internal/controller_state.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace rosemarytrail::control {

namespace {

/** Writer id of records written on behalf of callers and operators. */
constexpr const char* caller_suffix = "/callers";

} // namespace

controller::internal_state::internal_state(controller_options opts,
                                           controller_ports dependencies)
    : options{std::move(opts)}
    , ports{std::move(dependencies)}
    , task_ends{ports.metrics.make_code_counters(
          "rosemarytrail_task_ends_total", "Task ends and refusals by reason")}
    , void_records{ports.metrics.make_code_counters(
          "rosemarytrail_records_void_total", "Records that the fold voided")}
    , starts{ports.metrics.make_counter("rosemarytrail_task_starts_total",
                                        "Task starts that a worker confirmed")}
    , jobs_accepted{ports.metrics.make_counter(
          "rosemarytrail_jobs_accepted_total",
          "Jobs accepted through this entry VM")}
    , records_applied{ports.metrics.make_counter(
          "rosemarytrail_records_applied_total", "Records that took effect")}
    , relayed_entries{ports.metrics.make_counter(
          "rosemarytrail_entries_relayed_total",
          "Log entries learnt from a peer")}
    , claims{ports.metrics.make_counter("rosemarytrail_claims_total",
                                        "Claims written by this entry VM")}
    , held_partitions{ports.metrics.make_gauge("rosemarytrail_partitions_held",
                                               "Partitions held")}
    , may_act_gauge{ports.metrics.make_gauge(
          "rosemarytrail_fresh", "1 while this entry VM may start and renew")}
    , log_down_gauge{ports.metrics.make_gauge(
          "rosemarytrail_log_down", "1 while the log does not answer")}
    , appends_gauge{ports.metrics.make_gauge("rosemarytrail_appends",
                                             "Appends sent since the start")}
    , append_bytes_gauge{ports.metrics.make_gauge(
          "rosemarytrail_append_bytes", "Bytes appended since the start")}
    , start_waits{ports.metrics.make_summary(
          "rosemarytrail_start_wait",
          "Time from acceptance of a job to the start of each task")}
    , log{ports.log, ports.clock, options.stream, *this}
    , writer{{.writer = options.self,
              .appends_per_second = options.appends_per_second},
             ports.log,
             ports.clock,
             options.stream}
    , caller_writer{{.writer =
                         incarnation_id{options.self.str() + caller_suffix},
                     .appends_per_second = options.appends_per_second},
                    ports.log,
                    ports.clock,
                    options.stream}
    , fresh{options.freshness}
    , peers{options.peer_timeout}
{}

bool controller::internal_state::may_act(time_point now) const
{
    return log.caught_up() && !left &&
           fresh.may_act(options.self, region_members(), cell().next_offset(),
                         now);
}

bool controller::internal_state::log_down() const noexcept
{
    constexpr std::uint32_t append_failures = 2;
    return log.down() || writer.failures() >= append_failures ||
           caller_writer.failures() >= append_failures;
}

void controller::internal_state::on_tail(time_point sent_at,
                                         std::uint64_t next_offset)
{
    fresh.log_tail_read(sent_at, next_offset);
}

void controller::internal_state::on_applied(const applied_entry& entry)
{
    const auto& records = entry.records.records;
    for (std::size_t n = 0; n < entry.results.size() && n < records.size();
         ++n) {
        const auto& result = entry.results[n];
        if (result.code != result_code::ok) {
            void_records.add(result.code);
            continue;
        }
        records_applied.add();
        on_record(records[n], result.number, entry.records.writer);
    }
    if (entry.results.empty()) {
        return;
    }
    if (entry.records.writer == options.self) {
        writer.applied(entry.records.sequence, entry.results);
    } else if (entry.records.writer.str() ==
               options.self.str() + caller_suffix) {
        caller_writer.applied(entry.records.sequence, entry.results);
    }
}

void controller::internal_state::on_record(const state::record& value,
                                           record_number number,
                                           const incarnation_id& by)
{
    if (const auto* claim = std::get_if<state::partition_claimed>(&value)) {
        on_claimed(*claim, number, by);
        return;
    }
    if (const auto* leave = std::get_if<state::member_left>(&value)) {
        on_left(leave->member, by);
        return;
    }
    std::visit([this](const auto& it) { on_event(it); }, value);
}

void controller::internal_state::on_left(const incarnation_id& member,
                                         const incarnation_id& by)
{
    for (auto& [partition, holder] : holders) {
        if (member == by) {
            holder->proof().left_voluntarily(member, ports.clock.now());
        }
    }
    left = left || (member == options.self && leaving);
    removing.erase(member);
}

void controller::internal_state::on_event(const state::vm_assigned& it)
{
    assigning.erase(it.vm);
    if (auto* holder = holder_of(it.partition)) {
        holder->add_vm(it.vm);
    }
    next_refresh = ports.clock.now();
}

void controller::internal_state::on_event(const state::vm_handed_over& it)
{
    on_vm_moved(it.vm, it.from, it.to);
}

void controller::internal_state::on_event(const state::job_accepted& it)
{
    if (auto* holder = holder_of(it.partition)) {
        holder->add_job(*cell().find_job(it.job), ports.clock.now());
    }
}

void controller::internal_state::on_event(const state::job_handed_over& it)
{
    on_job_moved(it);
}

void controller::internal_state::on_event(const state::job_cancelled& it)
{
    on_job_ended(it.job);
}

void controller::internal_state::on_event(const state::job_rejected& it)
{
    on_job_ended(it.job);
}

void controller::internal_state::on_event(const state::tasks_finished& it)
{
    for (const auto& task : it.tasks) {
        on_job_ended(task.task.job);
    }
}

void controller::internal_state::on_event(const state::vm_declared_lost& it)
{
    for (auto& [partition, holder] : holders) {
        holder->proof().declared_lost(it.vm);
    }
}

partition_holder* controller::internal_state::holder_of(partition_id partition)
{
    const auto it = holders.find(partition);
    return it == holders.end() ? nullptr : it->second.get();
}

const partition_holder*
controller::internal_state::holder_of(partition_id partition) const
{
    const auto it = holders.find(partition);
    return it == holders.end() ? nullptr : it->second.get();
}

void controller::internal_state::on_claimed(const state::partition_claimed& it,
                                            record_number number,
                                            const incarnation_id& by)
{
    policy.set_pending(it.partition, false);
    const bool held = holders.erase(it.partition) > 0;
    if (by != options.self) {
        if (held) {
            ports.changed(result_code::not_holder,
                          "partition " + std::to_string(it.partition) +
                              " is now held by " + by.str());
        }
        return;
    }
    claims.add();
    ports.changed(result_code::ok, "claimed partition " +
                                       std::to_string(it.partition) +
                                       ", epoch " + std::to_string(number));
    create_holder(it.partition, number, it.replaces == 0);
}

void controller::internal_state::create_holder(partition_id partition,
                                               record_number claim, bool first)
{
    const auto now = ports.clock.now();
    std::set<vm_id> vms;
    std::vector<std::set<incarnation_id>> sets;
    if (!first) {
        for (const auto& [vm, it] : cell().vms()) {
            if (it.partition == partition) {
                vms.insert(vm);
            }
        }
        sets = cell().takeover_sets(partition,
                                    [this](const incarnation_id& holder) {
                                        return peers.applied_by(holder);
                                    });
    }
    const auto known_sets = sets;
    state::takeover proof{options.freshness, claim, std::move(vms),
                          std::move(sets)};
    proof.claim_applied_by(options.self, now);
    for (const auto& members : known_sets) {
        for (const auto& it : members) {
            if (cell().left_voluntarily(it)) {
                proof.left_voluntarily(it, now);
            }
        }
    }
    holder_ports with{.state = cell(),
                      .writer = writer,
                      .workers = ports.workers,
                      .clock = ports.clock,
                      .task_ends = task_ends,
                      .starts = starts,
                      .start_waits = start_waits};
    holders[partition] = std::make_unique<partition_holder>(
        holder_options{.partition = partition,
                       .epoch = claim,
                       .first = first,
                       .freshness = options.freshness,
                       .worker_period = options.worker_period,
                       .scheduler = {.seed = partition + 1U}},
        with, std::move(proof), now);
    next_refresh = now;
}

void controller::internal_state::on_vm_moved(const vm_id& vm, partition_id from,
                                             partition_id to)
{
    const auto now = ports.clock.now();
    if (auto* holder = holder_of(from)) {
        holder->remove_vm(vm, now);
    }
    if (auto* holder = holder_of(to)) {
        holder->add_vm(vm);
    }
    handing_over.erase("vm/" + vm.str());
    next_refresh = now;
}

void controller::internal_state::on_job_moved(const state::job_handed_over& it)
{
    const auto now = ports.clock.now();
    handing_over.erase("job/" + it.job.str());
    if (auto* holder = holder_of(it.from)) {
        holder->drop_job(it.job, now);
    }
    const auto* job = cell().find_job(it.job);
    if (auto* holder = holder_of(it.to); holder != nullptr && job != nullptr) {
        holder->add_job(*job, now);
    }
}

void controller::internal_state::on_job_ended(const job_id& id)
{
    const auto* job = cell().find_job(id);
    if (job != nullptr && job->phase == state::job_phase::accepted) {
        return;
    }
    for (auto& [partition, holder] : holders) {
        holder->drop_job(id, ports.clock.now());
    }
}

void controller::internal_state::on_restored()
{
    holders.clear();
    assigning.clear();
    handing_over.clear();
    const auto& partitions = cell().partitions();
    for (std::size_t n = 0; n < partitions.size(); ++n) {
        const auto id = static_cast<partition_id>(n);
        if (partitions[n].holder == options.self) {
            create_holder(id, partitions[n].epoch, false);
        }
    }
}

} // namespace rosemarytrail::control
