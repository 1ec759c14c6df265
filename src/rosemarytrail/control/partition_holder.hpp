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

/** @brief Settings of a holder. */
struct holder_options
{
    partition_id partition{};
    /** @brief Number of the claim. */
    record_number epoch{};
    /** @brief Nobody held the partition before. */
    bool first{false};
    state::freshness_options spans{};
    duration worker_period{std::chrono::milliseconds{500}};
    placement::scheduler_options scheduler{};
};

/** @brief What a holder works with; all outlive it. */
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
 * @brief Runs one partition under one claim: schedules its jobs, keeps the
 * leases of its tasks, and brings their outcomes into the log.
 */
class partition_holder
{
public:
    /**
     * @brief Begins to hold a partition.
     * @param options Settings.
     * @param ports What it works with.
     * @param proof Progress of the takeover from the former holder.
     * @param now Present time.
     */
    partition_holder(const holder_options& options, holder_ports ports,
                     state::takeover proof, time_point now);

    /** @return Progress of the takeover. */
    [[nodiscard]] state::takeover& proof() noexcept { return proof_; }

    /**
     * @brief Learns what the VM list says of a VM of this partition.
     * @param entry Row of the list.
     */
    void update_vm(const backends::vm_entry& entry);

    /**
     * @brief Takes a VM that was just given to this partition.
     * @param vm The VM.
     */
    void add_vm(const vm_id& vm);

    /**
     * @brief Lets a VM go that was handed over or declared lost.
     * @param vm The VM.
     * @param now Present time.
     */
    void remove_vm(const vm_id& vm, time_point now);

    /** @param vm VM that the list does not show any more. */
    void vm_unlisted(const vm_id& vm);

    /**
     * @brief Queues a job that was accepted after the claim.
     * @param job The job.
     * @param now Present time.
     */
    void add_job(const state::job_state& job, time_point now);

    /**
     * @brief Stops the tasks of a job that is over or handed over.
     * @param job The job.
     * @param now Present time.
     */
    void drop_job(const job_id& job, time_point now);

    /**
     * @brief Learns about a team.
     * @param team The team.
     */
    void update_team(const placement::team_view& team);

    /** @param totals Totals of the fleet. */
    void update_fleet(const placement::fleet_totals& totals);

    /**
     * @brief Does what is due.
     * @param may_act Whether this process may start and renew.
     * @param now Present time.
     */
    void tick(bool may_act, time_point now);

    /**
     * @brief What peers are told.
     * @param now Present time.
     * @return Summary of the partition.
     */
    [[nodiscard]] partition_summary summary(time_point now) const;

    /**
     * @brief State of a job.
     * @param job Job of this partition.
     * @param now Present time.
     * @return Its status.
     */
    [[nodiscard]] job_status status(const state::job_state& job,
                                    time_point now) const;

    /**
     * @brief Adds up the running tasks of a team.
     * @param team Team to look up.
     * @return What it has committed here.
     */
    [[nodiscard]] resources used_by(const team_id& team) const;

    /**
     * @brief Adds up the queued tasks of a team.
     * @param team Team to look up.
     * @return What it has queued here.
     */
    [[nodiscard]] resources queued_by(const team_id& team) const;

    /**
     * @brief VMs in contact on which nothing is committed.
     * @param now Present time.
     * @return Their names.
     */
    [[nodiscard]] std::vector<vm_id> idle_vms(time_point now) const;

    /**
     * @brief Keeps new tasks off a VM while it is being handed over.
     * @param vm The VM.
     * @param withheld Whether to keep tasks off.
     * @param now Present time.
     */
    void withhold_vm(const vm_id& vm, bool withheld, time_point now);

    /** @return Number of the claim. */
    [[nodiscard]] record_number epoch() const noexcept
    {
        return options_.epoch;
    }

    /**
     * @brief Tells whether the takeover is complete.
     * @param now Present time.
     * @return True if the former holder can do nothing more.
     */
    [[nodiscard]] bool settled(time_point now) const
    {
        return proof_.complete(now);
    }

    /**
     * @brief Tells whether a job has started here.
     * @param job Job to look up.
     * @return True if a task of the job may be running here.
     */
    [[nodiscard]] bool runs(const job_id& job) const;

    /** @return Jobs with no task running, each with its time of arrival. */
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
    [[nodiscard]] resources lacking_for_gangs(const resources& capacity) const;
    void expire(held_vm& held, time_point now);
    void carry_out(const placement::decision& it, time_point now);
    void send_start(const placement::decision& it, time_point now);
    void send_end(const task_ref& task, backends::command_kind kind);
    void on_answer(const vm_id& vm, const worker_answer& answer,
                   time_point now);
    void on_command(const backends::worker_command& command, result_code code,
                    time_point now);
    void on_report(const vm_id& vm, const backends::task_report& report,
                   time_point now);
    void on_running(const vm_id& vm, const backends::task_report& report,
                    time_point now);
    void on_ended(const vm_id& vm, const backends::task_report& report,
                  time_point now);
    void on_missing(const vm_id& vm, const worker_answer& answer,
                    time_point now);
    void release(const task_ref& task, placement::task_end end, time_point now);
    void acknowledge(const vm_id& vm, const task_ref& task,
                     std::uint32_t attempt);
    void record_success(const vm_id& vm, const backends::task_report& report);
    void flush_finished();
    void record_settled(time_point now);
    void reject(const placement::decision& it);
    [[nodiscard]] bool is_over(const task_ref& task) const;

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
