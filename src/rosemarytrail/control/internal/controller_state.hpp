#ifndef ROSEMARYTRAIL_CONTROL_INTERNAL_CONTROLLER_STATE_HPP
#define ROSEMARYTRAIL_CONTROL_INTERNAL_CONTROLLER_STATE_HPP

#include <rosemarytrail/control/allowance_policy.hpp>
#include <rosemarytrail/control/cell_log.hpp>
#include <rosemarytrail/control/claim_policy.hpp>
#include <rosemarytrail/control/controller.hpp>
#include <rosemarytrail/control/partition_holder.hpp>
#include <rosemarytrail/control/peer_table.hpp>
#include <rosemarytrail/control/record_writer.hpp>
#include <rosemarytrail/state/freshness.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemarytrail::control {

/** @brief Status request that waits until a record is applied. */
struct status_waiter
{
    team_id team{};
    job_id job{};
    record_number read_from{};
    time_point deadline{};
    std::function<void(std::optional<job_status>, reason)> done;
};

/** @brief Submission or publication that waits for its record result. */
struct write_waiter
{
    time_point deadline{};
    /** @brief Completes the request; later calls have no effect. */
    std::function<void(const write_outcome*)> finish;
};

/** @brief Key of a pending allowance transfer out of a partition. */
struct transfer_key
{
    partition_id from{};
    team_id team{};

    // NOLINTBEGIN(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const transfer_key&,
                                          const transfer_key&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

/** @brief Upstreams that the holder of a partition last reported. */
struct reported_endpoints
{
    std::vector<service_endpoint> endpoints;
    /** @brief Time of the holder's last report. */
    time_point listed{};
    /** @brief Time of the last report by a holder that knew all its VMs. */
    time_point settled{};
};

/** @brief Internal state of a controller; see controller.hpp. */
struct controller::internal_state final : cell_log_listener
{
    internal_state(controller_options opts, controller_ports dependencies);

    // Log events: events.cpp.
    void on_applied(const applied_entry& entry) override;
    void on_restored() override;
    void on_tail(time_point sent_at, std::uint64_t next_offset) override;
    void on_record(const state::record& value, record_number number,
                   const incarnation_id& writer);
    void on_claimed(const state::partition_claimed& it, record_number number,
                    const incarnation_id& writer);
    void on_left(const incarnation_id& member, const incarnation_id& by);
    void on_event(const state::vm_assigned& it);
    void on_event(const state::vm_handed_over& it);
    void on_event(const state::job_accepted& it);
    void on_event(const state::job_handed_over& it);
    void on_event(const state::job_cancelled& it);
    void on_event(const state::job_rejected& it);
    void on_event(const state::tasks_finished& it);
    void on_event(const state::vm_declared_lost& it);
    /** Document, member and allowance records: refreshes holders and tables. */
    template <typename Record>
    void on_event(const Record& /*it*/)
    {
        next_refresh = ports.clock.now();
        next_routing = next_refresh;
    }
    void on_vm_moved(const vm_id& vm, partition_id from, partition_id to);
    void on_job_moved(const state::job_handed_over& it);
    void on_job_ended(const job_id& job);
    void create_holder(partition_id partition, record_number claim, bool first);
    [[nodiscard]] partition_holder* holder_of(partition_id partition);
    [[nodiscard]] const partition_holder*
    holder_of(partition_id partition) const;

    // Membership, claims and handover: ownership.cpp.
    void tick_membership(time_point now);
    void join(time_point now);
    void remove_unresponsive_members(time_point now);
    void tick_claims(time_point now);
    void claim(partition_id partition);
    [[nodiscard]] holder_condition condition_of(const incarnation_id& holder,
                                                time_point now) const;
    [[nodiscard]] std::set<incarnation_id> region_members() const;
    [[nodiscard]] bool reaches_majority(time_point now) const;
    void tick_shutdown(time_point now);
    void assign_vms(time_point now);
    void tick_hand_over(time_point now);
    void transfer_allowances(partition_id partition, partition_holder& holder,
                             time_point now);
    void hand_over_jobs(partition_id partition, partition_holder& holder,
                        time_point now);
    void transfer_allowance(partition_id from, partition_holder& holder,
                            const team_id& team,
                            const allowance_transfer& transfer);
    void hand_over_job(partition_id from, partition_holder& holder,
                       const job_id& job, partition_id to, time_point now);
    void hand_over_vms(partition_id partition, partition_holder& holder,
                       time_point now);
    void hand_over_vm(partition_id from, partition_holder& holder,
                      const vm_id& vm, partition_id to, time_point now);
    void requeue_job(const job_id& job, partition_id partition);

    // Peer exchange: exchange.cpp.
    void tick_peers(time_point now);
    void call_peer(const incarnation_id& member, const std::string& address,
                   time_point now);
    void fetch_from_peer(time_point now);
    void apply_heartbeat(const heartbeat& theirs, time_point sent_at,
                         time_point now);
    void update_from_heartbeat(const heartbeat& theirs, time_point now);
    [[nodiscard]] heartbeat own_heartbeat(time_point now) const;
    [[nodiscard]] std::vector<partition_summary> summaries() const;

    // VM list, teams and routing table: routing.cpp.
    void tick_vm_list(time_point now);
    void on_vm_list(const backends::vm_list_outcome& outcome);
    void refresh_holders(time_point now);
    void refresh_team(partition_id partition, partition_holder& holder,
                      const team_id& team);
    void refresh_services(time_point now);
    void update_known_endpoints(time_point now);
    void update_peers_known(time_point now);
    void publish_routing(time_point now);
    [[nodiscard]] placement::fleet_totals fleet() const;
    [[nodiscard]] resources used_elsewhere(const team_id& team,
                                           partition_id partition) const;

    // Requests of callers and operators: callers.cpp.
    void write(state::record value, duration timeout,
               std::function<void(const write_outcome*)> done, reason& why);
    void tick_waiters(time_point now);
    void respond_status(const status_waiter& it);
    [[nodiscard]] job_status status_from_log(const state::job_state& job) const;
    [[nodiscard]] std::optional<std::string>
    peer_address_of(partition_id partition) const;

    [[nodiscard]] const state::cell_state& cell() const noexcept
    {
        return log.state();
    }

    [[nodiscard]] bool may_act(time_point now) const;
    [[nodiscard]] bool log_down() const noexcept;

    controller_options options;
    controller_ports ports;
    metrics::code_counters& task_ends;
    metrics::code_counters& void_records;
    metrics::counter& starts;
    metrics::counter& jobs_accepted;
    metrics::counter& records_applied;
    metrics::counter& relayed_entries;
    metrics::counter& claims;
    metrics::gauge& held_partitions;
    metrics::gauge& may_act_gauge;
    metrics::gauge& log_down_gauge;
    metrics::gauge& appends_gauge;
    metrics::gauge& append_bytes_gauge;
    metrics::summary& start_waits;

    cell_log log;
    /** Writes holder and membership records; these are never dropped. */
    record_writer writer;
    /** Writes records of callers and operators; unsent ones may be dropped. */
    record_writer caller_writer;
    state::freshness fresh;
    peer_table peers;
    claim_policy policy{claim_options{}};
    std::map<partition_id, std::unique_ptr<partition_holder>> holders;
    std::map<vm_id, backends::vm_entry> vm_list;
    bool vm_list_in_flight{false};
    time_point next_vm_list{};
    bool joining{false};
    bool joined_once{false};
    /** True once each peer responded or timed out, so upstreams are known. */
    bool peers_known{false};
    /** Services of jobs that have not ended. */
    std::set<service_id> open_services;
    std::uint64_t services_offset{0};
    time_point next_services{};
    std::map<partition_id, reported_endpoints> known_endpoints;
    bool leaving{false};
    bool left{false};
    bool draining{false};
    bool was_acting{false};
    bool was_log_down{false};
    time_point log_down_since{};
    bool relay_in_flight{false};
    time_point next_claims{};
    time_point next_refresh{};
    time_point next_hand_over{};
    time_point next_routing{};
    time_point behind_since{};
    std::uint64_t next_job{1};
    std::set<vm_id> assigning;
    std::set<incarnation_id> removing;
    std::set<std::string> handing_over;
    std::map<transfer_key, resources> pending_transfers;
    /** Summaries of all partitions as of the last refresh. */
    std::vector<partition_summary> last_summaries;
    std::list<status_waiter> status_waiters;
    std::list<std::shared_ptr<write_waiter>> write_waiters;
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
};

} // namespace rosemarytrail::control

#endif
