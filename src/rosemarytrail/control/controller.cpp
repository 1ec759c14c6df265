#include <rosemarytrail/control/controller.hpp>

#include <rosemarytrail/control/internal/controller_state.hpp>

#include <utility>

namespace rosemarytrail::control {

namespace {

constexpr duration ready_retry_after = std::chrono::seconds{1};

} // namespace

controller::controller(controller_options options, controller_ports ports)
    : state_{std::make_unique<internal_state>(std::move(options),
                                              std::move(ports))}
{}

controller::~controller() = default;

void controller::tick(time_point now)
{
    auto& self = *state_;
    self.log.tick(now);
    self.tick_membership(now);
    self.tick_peers(now);
    self.tick_vm_list(now);
    self.tick_claims(now);
    self.refresh_holders(now);
    const bool acting = self.may_act(now);
    if (acting != self.was_acting) {
        self.was_acting = acting;
        self.ports.changed(acting ? result_code::ok : result_code::isolated,
                           acting ? "news is fresh: may start and renew"
                                  : "news is stale: starts and renews nothing");
    }
    const bool down = self.log_down();
    if (down != self.was_log_down) {
        self.was_log_down = down;
        self.ports.changed(down ? result_code::log_down : result_code::ok,
                           down ? "the log does not respond"
                                : "the log responds again");
    }
    for (auto& [partition, holder] : self.holders) {
        holder->tick(acting, now);
    }
    self.tick_hand_over(now);
    self.tick_shutdown(now);
    self.writer.tick(now);
    self.caller_writer.tick(now);
    self.tick_waiters(now);
    if (self.holder_of(0) != nullptr) {
        self.log.maybe_snapshot(self.options.snapshots, now);
    }
    self.publish_routing(now);
    self.held_partitions.set(static_cast<std::int64_t>(self.holders.size()));
    self.may_act_gauge.set(acting ? 1 : 0);
    self.log_down_gauge.set(down ? 1 : 0);
    self.appends_gauge.set(static_cast<std::int64_t>(
        self.writer.appends() + self.caller_writer.appends()));
    self.append_bytes_gauge.set(static_cast<std::int64_t>(
        self.writer.bytes() + self.caller_writer.bytes()));
}

heartbeat controller::on_heartbeat(const heartbeat& theirs, time_point now)
{
    state_->update_from_heartbeat(theirs, now);
    return state_->own_heartbeat(now);
}

std::vector<backends::log_entry> controller::relay(std::uint64_t from,
                                                   std::size_t bytes) const
{
    return state_->log.relay(from, bytes);
}

std::optional<job_status> controller::local_status(const job_id& job,
                                                   time_point now) const
{
    const auto* known = state_->cell().find_job(job);
    if (known == nullptr) {
        return std::nullopt;
    }
    const auto* holder = state_->holder_of(known->partition);
    if (holder == nullptr) {
        return std::nullopt;
    }
    return holder->status(*known, now);
}

std::vector<config_entry> controller::config() const
{
    std::vector<config_entry> out;
    for (const auto& [name, it] : state_->cell().documents()) {
        out.push_back(
            {.name = name, .revision = it.revision, .content = it.content});
    }
    return out;
}

cell_view controller::view() const
{
    const auto& self = *state_;
    const auto now = self.ports.clock.now();
    cell_view out{.next_offset = self.cell().next_offset()};
    for (const auto& [id, it] : self.cell().members()) {
        const bool me = id == self.options.self;
        const auto peer = self.peers.peers().find(id);
        const auto theirs = peer == self.peers.peers().end()
                                ? 0
                                : peer->second.last.next_offset;
        out.members.push_back(
            {.member = id,
             .api_address = it.api_address,
             .peer_address = it.peer_address,
             .zone = it.zone,
             .alive = me || self.peers.alive(id, now),
             .next_offset = me ? self.cell().next_offset() : theirs});
    }
    const auto known = self.summaries();
    const auto& partitions = self.cell().partitions();
    for (std::size_t n = 0; n < partitions.size(); ++n) {
        partition_view row{.partition = static_cast<partition_id>(n),
                           .holder = partitions[n].holder,
                           .epoch = partitions[n].epoch};
        for (const auto& it : known) {
            if (it.partition == n && it.epoch == row.epoch) {
                row.settled = it.settled;
                row.vms = it.vms;
                row.queued_tasks = it.queued_tasks;
                row.running_tasks = it.running_tasks;
            }
        }
        out.partitions.push_back(std::move(row));
    }
    return out;
}

std::uint64_t controller::next_offset() const noexcept
{
    return state_->cell().next_offset();
}

std::optional<reason> controller::not_ready(time_point now) const
{
    const auto& self = *state_;
    if (self.draining) {
        return reason{.code = result_code::draining,
                      .detail = "this entry VM is shutting down",
                      .retry_after = ready_retry_after};
    }
    if (!self.joined_once) {
        return reason{.code = result_code::catching_up,
                      .detail =
                          self.log.down()
                              ? "waits for the log, which does not respond"
                              : "reads the log",
                      .retry_after = ready_retry_after};
    }
    if (!self.peers_known) {
        return reason{.code = result_code::catching_up,
                      .detail = "waits for the peers' first heartbeats",
                      .retry_after = ready_retry_after};
    }
    if (!self.may_act(now)) {
        return reason{.code = result_code::isolated,
                      .detail = "hears neither the log nor a majority of its "
                                "peers",
                      .retry_after = ready_retry_after};
    }
    return std::nullopt;
}

void controller::begin_shutdown(time_point now)
{
    state_->draining = true;
    state_->next_routing = now;
    state_->publish_routing(now);
}

bool controller::shutdown_complete() const noexcept
{
    return state_->left;
}

} // namespace rosemarytrail::control
