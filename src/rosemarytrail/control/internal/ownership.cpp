#include <rosemarytrail/control/internal/controller_state.hpp>

#include <rosemarytrail/state/ownership.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::control {

namespace {

/** Interval between evaluations of the claims. */
constexpr duration claims_period = std::chrono::milliseconds{100};
/** Interval between handover rounds. */
constexpr duration hand_over_period = std::chrono::milliseconds{200};
/** Time without contact after which a member is removed. */
constexpr duration removal_timeout = std::chrono::seconds{30};
/** Minimum queueing time of a job before it is handed over. */
constexpr duration min_job_wait = std::chrono::seconds{2};
/** Maximum number of jobs handed over in one round. */
constexpr std::size_t jobs_per_round = 16;

} // namespace

std::set<incarnation_id> controller::internal_state::region_members() const
{
    std::set<incarnation_id> out;
    for (const auto& [id, it] : cell().members()) {
        if (it.region == options.region) {
            out.insert(id);
        }
    }
    return out;
}

bool controller::internal_state::reaches_majority(time_point now) const
{
    const auto members = region_members();
    const auto reachable =
        std::count_if(members.begin(), members.end(), [&](const auto& it) {
            return it == options.self || peers.alive(it, now);
        });
    return 2 * static_cast<std::size_t>(reachable) > members.size();
}

void controller::internal_state::tick_membership(time_point now)
{
    std::set<incarnation_id> members;
    for (const auto& [id, it] : cell().members()) {
        members.insert(id);
    }
    peers.sync_members(members, options.self, now);
    fresh.keep_only(members);
    if (!log.caught_up()) {
        return;
    }
    if (!members.contains(options.self) && !draining) {
        join(now);
    }
    remove_unresponsive_members(now);
}

void controller::internal_state::join(time_point)
{
    if (joining) {
        return;
    }
    joining = true;
    std::weak_ptr<bool> guard = alive;
    reason why;
    const bool queued = writer.push(
        state::member_joined{.member = options.self,
                             .peer_address = options.peer_address,
                             .api_address = options.api_address,
                             .region = options.region,
                             .zone = options.zone,
                             .partitions = options.partitions},
        [this, guard](const write_outcome& outcome) {
            if (guard.expired()) {
                return;
            }
            joining = false;
            if (!outcome.result) {
                return;
            }
            joined_once = outcome.result->code == result_code::ok;
            ports.changed(outcome.result->code,
                          "joined as " + options.self.str());
        },
        why);
    joining = queued;
}

void controller::internal_state::remove_unresponsive_members(time_point now)
{
    if (log_down() || !joined_once || !reaches_majority(now)) {
        return;
    }
    for (const auto& [member, it] : peers.peers()) {
        if (peers.unresponsive_for(member, now) < removal_timeout ||
            !cell().members().contains(member) ||
            !removing.insert(member).second) {
            continue;
        }
        ports.changed(result_code::peer_unreachable,
                      "removes unresponsive member " + member.str());
        reason why;
        std::weak_ptr<bool> guard = alive;
        const bool queued = writer.push(
            state::member_left{.member = member},
            [this, guard, removed = member](const write_outcome&) {
                if (!guard.expired()) {
                    removing.erase(removed);
                }
            },
            why);
        if (!queued) {
            removing.erase(member);
        }
    }
}

holder_condition
controller::internal_state::condition_of(const incarnation_id& holder,
                                         time_point now) const
{
    if (holder.empty()) {
        return holder_condition::none;
    }
    if (holder == options.self) {
        return holder_condition::self;
    }
    if (!cell().members().contains(holder) || !peers.alive(holder, now)) {
        return holder_condition::unavailable;
    }
    const auto it = peers.peers().find(holder);
    return it->second.last.draining ? holder_condition::draining
                                    : holder_condition::alive;
}

void controller::internal_state::tick_claims(time_point now)
{
    const bool member = cell().members().contains(options.self);
    if (now < next_claims || !member || draining || log_down()) {
        return;
    }
    next_claims = now + claims_period;
    auto live = peers.working(now);
    live.insert(options.self);
    const auto wanted =
        state::preferred_holders(live, cell().partition_count());
    const bool majority = reaches_majority(now);
    const auto& partitions = cell().partitions();
    for (std::size_t n = 0; n < wanted.size(); ++n) {
        const auto id = static_cast<partition_id>(n);
        if (policy.should_claim(id, wanted[n] == options.self,
                                condition_of(partitions[n].holder, now),
                                majority, now)) {
            claim(id);
        }
    }
}

void controller::internal_state::claim(partition_id partition)
{
    policy.set_pending(partition, true);
    std::weak_ptr<bool> guard = alive;
    reason why;
    const bool queued = writer.push(
        state::partition_claimed{.partition = partition,
                                 .replaces =
                                     cell().partitions()[partition].epoch},
        [this, guard, partition](const write_outcome&) {
            if (!guard.expired()) {
                policy.set_pending(partition, false);
            }
        },
        why);
    if (!queued) {
        policy.set_pending(partition, false);
    }
}

void controller::internal_state::tick_shutdown(time_point now)
{
    const bool alone = peers.working(now).empty();
    if (!draining || leaving || (!holders.empty() && !alone)) {
        return;
    }
    if (!cell().members().contains(options.self)) {
        left = true;
        return;
    }
    leaving = true;
    std::weak_ptr<bool> guard = alive;
    reason why;
    leaving = writer.push(
        state::member_left{.member = options.self},
        [this, guard](const write_outcome&) {
            if (!guard.expired()) {
                left = true;
            }
        },
        why);
}

void controller::internal_state::assign_vms(time_point now)
{
    const auto count = cell().partition_count();
    if (count == 0 || !may_act(now) || log_down()) {
        return;
    }
    for (const auto& [vm, it] : vm_list) {
        const auto target = state::partition_of_rack(it.rack, count);
        if (it.leaving || cell().vms().contains(vm) || assigning.contains(vm) ||
            holder_of(target) == nullptr) {
            continue;
        }
        assigning.insert(vm);
        std::weak_ptr<bool> guard = alive;
        reason why;
        const bool queued = writer.push(
            state::vm_assigned{
                .vm = vm, .partition = target, .capacity = it.capacity},
            [this, guard, id = vm](const write_outcome&) {
                if (!guard.expired()) {
                    assigning.erase(id);
                }
            },
            why);
        if (!queued) {
            assigning.erase(vm);
        }
    }
}

void controller::internal_state::tick_hand_over(time_point now)
{
    if (now < next_hand_over || log_down() || !may_act(now)) {
        return;
    }
    next_hand_over = now + hand_over_period;
    for (auto& [partition, holder] : holders) {
        if (holder->settled(now)) {
            transfer_allowances(partition, *holder, now);
            hand_over_jobs(partition, *holder, now);
            hand_over_vms(partition, *holder, now);
        }
    }
}

void controller::internal_state::transfer_allowances(partition_id partition,
                                                     partition_holder& holder,
                                                     time_point)
{
    const auto known = summaries();
    for (const auto& [team, spec] : cell().teams()) {
        if (pending_transfers.contains({partition, team})) {
            continue;
        }
        std::vector<allowance_view> views;
        for (const auto& it : known) {
            const auto usage = std::find_if(
                it.teams.begin(), it.teams.end(),
                [&team = team](const auto& row) { return row.team == team; });
            if (usage != it.teams.end()) {
                views.push_back(
                    {.partition = it.partition,
                     .allowance = cell().allowance(team, it.partition),
                     .used = usage->used,
                     .queued = usage->queued});
            }
        }
        const allowance_view mine{.partition = partition,
                                  .allowance =
                                      cell().allowance(team, partition),
                                  .used = holder.used_by(team),
                                  .queued = holder.queued_by(team)};
        const auto transfer = choose_transfer(mine, views);
        if (!transfer) {
            continue;
        }
        transfer_allowance(partition, holder, team, *transfer);
    }
}

void controller::internal_state::transfer_allowance(
    partition_id from, partition_holder& holder, const team_id& team,
    const allowance_transfer& transfer)
{
    // Allowance in a pending transfer is no longer available here.
    const transfer_key key{from, team};
    pending_transfers[key] = transfer.amount;
    refresh_team(from, holder, team);
    std::weak_ptr<bool> guard = alive;
    reason why;
    const bool queued = writer.push(
        state::allowance_handed_over{.team = team,
                                     .from = from,
                                     .epoch = holder.epoch(),
                                     .to = transfer.to,
                                     .amount = transfer.amount},
        [this, guard, key](const write_outcome&) {
            if (!guard.expired()) {
                pending_transfers.erase(key);
                next_refresh = time_point{};
            }
        },
        why);
    if (!queued) {
        pending_transfers.erase(key);
    }
}

void controller::internal_state::hand_over_jobs(partition_id partition,
                                                partition_holder& holder,
                                                time_point now)
{
    struct move
    {
        job_id job;
        partition_id to{};
    };
    const auto known = summaries();
    std::vector<move> chosen;
    for (const auto& [id, since] : holder.jobs()) {
        const auto* job = cell().find_job(id);
        const auto key = "job/" + id.str();
        if (chosen.size() == jobs_per_round) {
            break;
        }
        if (job == nullptr || now - since < min_job_wait ||
            handing_over.contains(key) || holder.runs(id)) {
            continue;
        }
        const auto need = job->spec.request * job->spec.tasks;
        const auto target = std::find_if(
            known.begin(), known.end(), [&](const partition_summary& it) {
                return it.partition != partition && it.settled &&
                       it.queued_tasks == 0 && need.fits_in(it.free) &&
                       job->spec.request.fits_in(it.largest_room);
            });
        if (target == known.end()) {
            continue;
        }
        chosen.push_back({.job = id, .to = target->partition});
    }
    for (const auto& it : chosen) {
        hand_over_job(partition, holder, it.job, it.to, now);
    }
}

void controller::internal_state::hand_over_job(partition_id from,
                                               partition_holder& holder,
                                               const job_id& job,
                                               partition_id to, time_point now)
{
    // No task of the job may start until the result of this record.
    holder.drop_job(job, now);
    const auto key = "job/" + job.str();
    handing_over.insert(key);
    std::weak_ptr<bool> guard = alive;
    reason why;
    const bool queued = writer.push(
        state::job_handed_over{
            .job = job, .from = from, .epoch = holder.epoch(), .to = to},
        [this, guard, key, job, from](const write_outcome& outcome) {
            if (guard.expired()) {
                return;
            }
            handing_over.erase(key);
            if (outcome.result->code != result_code::ok) {
                requeue_job(job, from);
            }
        },
        why);
    if (!queued) {
        handing_over.erase(key);
        requeue_job(job, from);
    }
}

void controller::internal_state::hand_over_vms(partition_id partition,
                                               partition_holder& holder,
                                               time_point now)
{
    // Sends all VMs to the lowest partition that needs some, so that two gangs
    // never hold half of each other's VMs (deadlock).
    const auto known = summaries();
    const auto target =
        std::find_if(known.begin(), known.end(), [](const auto& it) {
            return it.settled && !it.lacking.is_zero();
        });
    if (target == known.end() || target->partition == partition) {
        return;
    }
    auto lacking = target->lacking;
    for (const auto& vm : holder.idle_vms(now)) {
        if (lacking.is_zero()) {
            return;
        }
        hand_over_vm(partition, holder, vm, target->partition, now);
        const auto& size = cell().vms().at(vm).capacity;
        lacking -= component_min(lacking, size);
    }
}

void controller::internal_state::hand_over_vm(partition_id from,
                                              partition_holder& holder,
                                              const vm_id& vm, partition_id to,
                                              time_point now)
{
    // No task may start on the VM until the result of this record.
    holder.withhold_vm(vm, true, now);
    std::weak_ptr<bool> guard = alive;
    const auto keep_vm = [this, guard, vm, from] {
        auto* still = guard.expired() ? nullptr : holder_of(from);
        if (still != nullptr) {
            still->withhold_vm(vm, false, ports.clock.now());
        }
    };
    reason why;
    const bool queued = writer.push(
        state::vm_handed_over{
            .vm = vm, .from = from, .epoch = holder.epoch(), .to = to},
        [keep_vm](const write_outcome& outcome) {
            if (outcome.result->code != result_code::ok) {
                keep_vm();
            }
        },
        why);
    if (!queued) {
        keep_vm();
    }
}

void controller::internal_state::requeue_job(const job_id& id,
                                             partition_id partition)
{
    const auto* job = cell().find_job(id);
    auto* holder = holder_of(partition);
    const bool still_here = job != nullptr && holder != nullptr &&
                            job->partition == partition &&
                            job->phase == state::job_phase::accepted;
    if (still_here) {
        holder->add_job(*job, ports.clock.now());
    }
}

} // namespace rosemarytrail::control
