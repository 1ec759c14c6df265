#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_DEFAULT_SCHEDULER_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_DEFAULT_SCHEDULER_HPP

#include <rosemarytrail/placement/internal/context.hpp>
#include <rosemarytrail/placement/internal/placer.hpp>
#include <rosemarytrail/placement/internal/straggler_search.hpp>

#include <optional>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Scheduler that `make_scheduler` creates. */
class default_scheduler final : public scheduler
{
public:
    explicit default_scheduler(const scheduler_options& options);

    void upsert_vm(const vm_view& vm) override;
    void remove_vm(const vm_id& vm) override;
    void upsert_team(const team_view& team) override;
    void set_fleet(const fleet_totals& totals) override;
    void add_job(const job_id& job, const job_spec& spec, bool before_takeover,
                 time_point now) override;
    [[nodiscard]] std::vector<decision> cancel_job(const job_id& job,
                                                   time_point now) override;
    void adopt_task(const task_ref& task, std::uint32_t attempt,
                    const vm_id& vm, time_point started) override;
    void mark_task_ended(const task_ref& task) override;
    void task_started(const task_ref& task, time_point now) override;
    void task_ended(const task_ref& task, task_end end,
                    time_point now) override;
    [[nodiscard]] std::vector<decision>
    decide(time_point now, std::size_t max_decisions) override;
    [[nodiscard]] std::optional<wait_report>
    explain(const job_id& job, time_point now) const override;
    [[nodiscard]] resources used_by(const team_id& team) const override;
    [[nodiscard]] resources queued_by(const team_id& team) const override;
    [[nodiscard]] resources committed_on(const vm_id& vm) const override;

private:
    [[nodiscard]] std::optional<task_key> find(const task_ref& task) const;
    /** @brief Releases the reservations of a job that has no ready task. */
    void release_idle_reservations(index job);
    /** @brief Withdraws start decisions on a VM that were not returned yet. */
    void withdraw_starts(index vm);
    void reject_infeasible();
    void stop_partial_gangs(time_point now);
    void do_timed_work(time_point now);

    context context_;
    placer placer_;
    straggler_search stragglers_;
    /** @brief Jobs whose feasibility has not been checked yet. */
    std::vector<job_id> unchecked_;
    /** @brief Adopted gangs that may be running only partially. */
    std::vector<job_id> adopted_gangs_;
    time_point last_rescan_{};
};

} // namespace rosemarytrail::placement::internal

#endif
