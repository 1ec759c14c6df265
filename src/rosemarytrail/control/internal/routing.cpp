#include <rosemarytrail/control/internal/controller_state.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rosemarytrail::control {

namespace {

/** Interval between refreshes of teams and VMs in the holders. */
constexpr duration refresh_period = std::chrono::milliseconds{100};
/** Interval between routing tables for the traffic threads. */
constexpr duration routing_period = std::chrono::milliseconds{100};
constexpr duration services_period = std::chrono::milliseconds{250};
/** How long upstreams reported by a partition's previous holder are used. */
constexpr duration endpoints_retention = std::chrono::seconds{3};

} // namespace

void controller::internal_state::tick_vm_list(time_point now)
{
    if (vm_list_in_flight || now < next_vm_list) {
        return;
    }
    vm_list_in_flight = true;
    next_vm_list = now + options.vm_list_period;
    std::weak_ptr<bool> guard = alive;
    ports.vms.fetch([this, guard](const backends::vm_list_outcome& outcome) {
        if (guard.expired()) {
            return;
        }
        vm_list_in_flight = false;
        if (outcome.answered) {
            on_vm_list(outcome);
        }
    });
}

void controller::internal_state::on_vm_list(
    const backends::vm_list_outcome& outcome)
{
    vm_list.clear();
    for (const auto& it : outcome.vms) {
        vm_list.emplace(it.vm, it);
    }
    next_refresh = time_point{};
}

placement::fleet_totals controller::internal_state::fleet() const
{
    placement::fleet_totals out;
    for (const auto& [vm, it] : cell().vms()) {
        if (it.lost != 0) {
            continue;
        }
        out.capacity += it.capacity;
        if (it.capacity.millicores >= out.largest_vm.millicores) {
            out.largest_vm = it.capacity;
        }
    }
    return out;
}

resources
controller::internal_state::used_elsewhere(const team_id& team,
                                           partition_id partition) const
{
    resources out{};
    for (const auto& it : last_summaries) {
        if (it.partition == partition) {
            continue;
        }
        for (const auto& usage : it.teams) {
            if (usage.team == team) {
                out += usage.used;
            }
        }
    }
    return out;
}

void controller::internal_state::refresh_team(partition_id partition,
                                              partition_holder& holder,
                                              const team_id& team)
{
    const auto it = cell().teams().find(team);
    if (it == cell().teams().end()) {
        return;
    }
    auto allowance = cell().allowance(team, partition);
    if (const auto transfer = pending_transfers.find({partition, team});
        transfer != pending_transfers.end()) {
        allowance -= transfer->second;
    }
    holder.update_team({.team = team,
                        .weight = it->second.weight,
                        .allowance = allowance,
                        .used_elsewhere = used_elsewhere(team, partition)});
}

void controller::internal_state::refresh_holders(time_point now)
{
    if (now < next_refresh) {
        return;
    }
    next_refresh = now + refresh_period;
    last_summaries = summaries();
    const auto totals = fleet();
    for (auto& [partition, holder] : holders) {
        holder->update_fleet(totals);
        for (const auto& [team, spec] : cell().teams()) {
            refresh_team(partition, *holder, team);
        }
        for (const auto& [vm, it] : cell().vms()) {
            if (it.partition != partition) {
                continue;
            }
            if (const auto row = vm_list.find(vm); row != vm_list.end()) {
                holder->update_vm(row->second);
            } else {
                holder->vm_unlisted(vm);
            }
        }
    }
    assign_vms(now);
}

void controller::internal_state::refresh_services(time_point now)
{
    const auto offset = cell().next_offset();
    if (now < next_services || offset == services_offset) {
        return;
    }
    next_services = now + services_period;
    services_offset = offset;
    open_services.clear();
    for (partition_id it = 0; it < cell().partition_count(); ++it) {
        for (const auto& job : cell().open_jobs(it)) {
            const auto* const state = cell().find_job(job);
            if (state != nullptr && !state->spec.service.empty()) {
                open_services.insert(state->spec.service);
            }
        }
    }
}

void controller::internal_state::update_known_endpoints(time_point now)
{
    for (auto& it : summaries()) {
        auto& known = known_endpoints[it.partition];
        known.listed = now;
        if (it.settled) {
            known.settled = now;
        } else if (now - known.settled < endpoints_retention) {
            // A new holder discovers the upstreams VM by VM.
            continue;
        }
        known.endpoints = std::move(it.endpoints);
    }
    std::erase_if(known_endpoints, [&](const auto& it) {
        return now - it.second.listed >= endpoints_retention;
    });
}

void controller::internal_state::update_peers_known(time_point now)
{
    if (peers_known || !joined_once) {
        return;
    }
    peers_known = std::ranges::all_of(peers.peers(), [&](const auto& it) {
        return it.second.has_heartbeat ||
               peers.unresponsive_for(it.first, now) > options.peer_timeout;
    });
}

void controller::internal_state::publish_routing(time_point now)
{
    if (now < next_routing) {
        return;
    }
    next_routing = now + routing_period;
    refresh_services(now);
    update_peers_known(now);
    auto table = std::make_shared<request::routing_table>();
    // A service without known upstreams still exists: don't report it unknown.
    for (const auto& it : open_services) {
        table->services.try_emplace(it);
    }
    update_known_endpoints(now);
    for (const auto& [partition, it] : known_endpoints) {
        for (const auto& endpoint : it.endpoints) {
            table->services[endpoint.service].push_back(endpoint.upstream);
        }
    }
    constexpr std::string_view key_prefix = "key/";
    for (const auto& [name, document] : cell().documents()) {
        if (!name.starts_with(key_prefix)) {
            continue;
        }
        const key_id id{name.substr(key_prefix.size())};
        if (const auto* key = cell().find_key(id)) {
            table->keys.emplace(id, *key);
        }
    }
    for (const auto& [team, spec] : cell().teams()) {
        table->weights.emplace(team, spec.weight);
    }
    const auto working = peers.working(now);
    const auto before = working.lower_bound(options.self);
    table->entry_vms = 1U + static_cast<std::uint32_t>(working.size());
    table->entry_rank =
        static_cast<std::uint32_t>(std::distance(working.begin(), before));
    table->zone = options.zone;
    table->fresh_until =
        fresh.acts_until(options.self, region_members(), cell().next_offset());
    table->draining = draining;
    table->catching_up = !joined_once || !peers_known;
    table->applied = cell().next_offset() * records_per_batch;
    ports.routing(std::move(table));
}

} // namespace rosemarytrail::control
