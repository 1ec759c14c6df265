#ifndef ROSEMARYTRAIL_CONTROL_PARTITION_HOLDER_HPP
#define ROSEMARYTRAIL_CONTROL_PARTITION_HOLDER_HPP

#include <rosemarytrail/backends/vm_list_client.hpp>
#include <rosemarytrail/backends/worker_client.hpp>
#include <rosemarytrail/control/peer_network.hpp>
#include <rosemarytrail/control/record_writer.hpp>
#include <rosemarytrail/control/worker_link.hpp>
#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/core/time_source.hpp>
#include <rosemarytrail/metrics/registry.hpp>
#include <rosemarytrail/placement/scheduler.hpp>
#include <rosemarytrail/state/cell_state.hpp>
#include <rosemarytrail/state/takeover.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace rosemarytrail::control {

/** @brief Options of a partition holder. */
struct holder_options
{
    partition_id partition{};
    /** @brief Record number of the claim. */
    record_number epoch{};
    /** @brief True if the partition had no previous holder. */
    bool first{false};
    state::freshness_options freshness{};
    duration worker_period{std::chrono::milliseconds{500}};
    placement::scheduler_options scheduler{};
};

/** @brief Dependencies of a holder; all outlive it. */
struct holder_ports
{
    const state::cell_state& state;
    record_writer& writer;
    backends::worker_client& workers;
    const time_source& clock;
    metrics::code_counters& task_ends;
    metrics::counter& starts;
    metrics::summary& start_waits;
};

/**
 * @brief Runs one partition under one claim: schedules its jobs, renews the
 * leases of its tasks and appends their outcomes to the log.
 */
class partition_holder
{
public:
    /**
     * @brief Starts holding a partition.
     * @param options Options.
     * @param ports Dependencies.
     * @param proof Progress of the takeover from the previous holder.
     * @param now Current time.
     */
    partition_holder(const holder_options& options, holder_ports ports,
                     state::takeover proof, time_point now);

    /** @return Progress of the takeover. */
    [[nodiscard]] state::takeover& proof() noexcept { return proof_; }

    /**
     * @brief Updates a VM of this partition from the VM list.
     * @param entry Row of the list.
     */
    void update_vm(const backends::vm_entry& entry);

    /**
     * @brief Adds a VM that was just assigned to this partition.
     * @param vm The VM.
     */
    void add_vm(const vm_id& vm);

    /**
     * @brief Removes a VM that was handed over or declared lost. Tasks that
     * it still holds count as lost.
     * @param vm The VM.
     * @param now Current time.
     */
    void remove_vm(const vm_id& vm, time_point now);

    /** @param vm VM that is no longer in the VM list. */
    void vm_unlisted(const vm_id& vm);

    /**
     * @brief Queues a job that was accepted after the claim.
     * @param job The job.
     * @param now Current time.
     */
    void add_job(const state::job_state& job, time_point now);

    /**
     * @brief Stops the tasks of a job that has ended or was handed over.
     * @param job The job.
     * @param now Current time.
     */
    void drop_job(const job_id& job, time_point now);

    /**
     * @brief Updates the limits and allowance of a team.
     * @param team The team.
     */
    void update_team(const placement::team_view& team);

    /** @param totals Total resources of the fleet. */
    void update_fleet(const placement::fleet_totals& totals);

    /**
     * @brief Runs all due work.
     * @param may_act Whether this process may start tasks and renew leases.
     * @param now Current time.
     */
    void tick(bool may_act, time_point now);

    /**
     * @brief Builds the summary that is reported to peers.
     * @param now Current time.
     * @return Summary of the partition.
     */
    [[nodiscard]] partition_summary summary(time_point now) const;

    /**
     * @brief Returns the status of a job.
     * @param job Job of this partition.
     * @param now Current time.
     * @return Status of the job.
     */
    [[nodiscard]] job_status status(const state::job_state& job,
                                    time_point now) const;

    /**
     * @brief Sums the resources of a team's running tasks.
     * @param team Team to look up.
     * @return Resources committed in this partition.
     */
    [[nodiscard]] resources used_by(const team_id& team) const;

    /**
     * @brief Sums the resources of a team's queued tasks.
     * @param team Team to look up.
     * @return Resources queued in this partition.
     */
    [[nodiscard]] resources queued_by(const team_id& team) const;

    /**
     * @brief Lists the VMs that can be handed over: listed, reachable, not
     * leaving, and without tasks, committed resources or pending commands.
     * @param now Current time.
     * @return Ids of these VMs.
     */
    [[nodiscard]] std::vector<vm_id> idle_vms(time_point now) const;

    /**
     * @brief Excludes a VM from placement while it is being handed over.
     * @param vm The VM.
     * @param withheld Whether the VM is excluded.
     * @param now Current time.
     */
    void withhold_vm(const vm_id& vm, bool withheld, time_point now);

    /** @return Record number of the claim. */
    [[nodiscard]] record_number epoch() const noexcept
    {
        return options_.epoch;
    }

    /**
     * @brief Checks whether the takeover is complete.
     * @param now Current time.
     * @return True if the previous holder can no longer act.
     */
    [[nodiscard]] bool settled(time_point now) const
    {
        return proof_.complete(now);
    }

    /**
     * @brief Checks whether a job has started in this partition.
     * @param job Job to look up.
     * @return True if a task of the job may be running here.
     */
    [[nodiscard]] bool runs(const job_id& job) const;

    /** @return Queued and running jobs, each with the time it was added. */
    [[nodiscard]] const std::map<job_id, time_point>& jobs() const noexcept
    {
        return jobs_;
    }

private:
    enum class stage : std::uint8_t
    {
        starting,
        running,
        stopping
    };

    struct held_task
    {
        vm_id vm{};
        std::uint32_t attempt{};
        stage phase{stage::starting};
        /** The worker has reported the start. */
        bool confirmed{false};
    };

    struct held_vm
    {
        backends::vm_entry entry{};
        bool listed{false};
        bool withheld{false};
        resources capacity{};
        std::uint32_t busy_slots{};
        std::unique_ptr<worker_link> link;
    };

    void make_link(const vm_id& vm);
    void refresh_vm(const vm_id& vm, held_vm& held, time_point now);
    [[nodiscard]] resources gang_shortfall(const resources& capacity) const;
    void expire(held_vm& held, time_point now);
    void carry_out(const placement::decision& it, time_point now);
    void send_start(const placement::decision& it, time_point now);
    void send_end(const task_ref& task, backends::command_kind kind);
    void on_response(const vm_id& vm, const worker_response& response,
                     time_point now);
    void on_command(const backends::worker_command& command, result_code code,
                    time_point now);
    void on_report(const vm_id& vm, const backends::task_report& report,
                   time_point now);
    void on_running(const vm_id& vm, const backends::task_report& report,
                    time_point now);
    void on_ended(const vm_id& vm, const backends::task_report& report,
                  time_point now);
    void on_missing(const vm_id& vm, const worker_response& response,
                    time_point now);
    void release(const task_ref& task, placement::task_end end, time_point now);
    void acknowledge(const vm_id& vm, const task_ref& task,
                     std::uint32_t attempt);
    void record_success(const vm_id& vm, const backends::task_report& report);
    void flush_finished();
    void record_settled(time_point now);
    void reject(const placement::decision& it);
    [[nodiscard]] bool has_ended(const task_ref& task) const;

    struct finished_task
    {
        vm_id vm{};
        state::task_finished record{};
    };

    holder_options options_;
    holder_ports ports_;
    state::takeover proof_;
    std::unique_ptr<placement::scheduler> scheduler_;
    std::map<vm_id, held_vm> vms_;
    std::unordered_map<task_ref, held_task> tasks_;
    std::map<job_id, time_point> jobs_;
    std::set<team_id> teams_;
    std::set<task_ref> recording_;
    std::set<job_id> rejecting_;
    std::vector<finished_task> finished_;
    bool settled_recorded_{false};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace rosemarytrail::control

#endif
