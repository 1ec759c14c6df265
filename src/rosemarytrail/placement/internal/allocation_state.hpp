#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_ALLOCATION_STATE_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_ALLOCATION_STATE_HPP

#include <rosemarytrail/placement/internal/job_table.hpp>
#include <rosemarytrail/placement/internal/team_table.hpp>
#include <rosemarytrail/placement/internal/vm_table.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace rosemarytrail::placement::internal {

/**
 * @brief VMs, teams and jobs, and the operations that change task phases.
 *
 * All phase changes go through this class, so that the totals of VMs, teams
 * and jobs stay consistent.
 */
class allocation_state
{
public:
    vm_table vms;
    team_table teams;
    job_table jobs;

    /**
     * @brief Queues a new job.
     * @return Index of the job; `no_index` if the job already exists.
     */
    index add_job(const job_id& id, const job_spec& spec, bool before_takeover,
                  time_point now);

    /** @brief Commits a ready task to a VM. */
    void commit(task_key task, index vm, time_point now);

    /** @brief Commits a task that is already running on a VM. */
    void adopt(task_key task, std::uint32_t attempt, index vm, time_point now);

    /** @brief Marks a committed task as being stopped. */
    void stop(task_key task);

    /** @brief Ends a committed task; it never starts again. */
    void finish(task_key task);

    /** @brief Removes a committed task from its VM and makes it ready again. */
    void requeue(task_key task);

    /** @brief Removes a committed task from its VM to wait for a retry. */
    void defer(task_key task);

    /** @brief Makes a task that waits for a retry ready. */
    void make_ready(task_key task);

    /** @brief Ends a queued task. */
    void skip(task_key task);

    /** @brief Ends all queued tasks of a job. */
    void drop_queued(index job);

    /**
     * @brief Removes a job whose tasks have all ended.
     * @return True if the job was removed.
     */
    bool forget_if_done(index job);

    /**
     * @brief Sets the wait reason; an unchanged reason keeps its start time.
     */
    void set_wait(index job, result_code code, time_point now);

    [[nodiscard]] task_state& task(task_key key)
    {
        return jobs[key.job].tasks[key.task];
    }
    [[nodiscard]] const task_state& task(task_key key) const
    {
        return jobs[key.job].tasks[key.task];
    }
    [[nodiscard]] task_ref ref(task_key key) const
    {
        return {.job = jobs[key.job].id, .index = key.task};
    }
    [[nodiscard]] const resources& request(task_key key) const
    {
        return jobs[key.job].spec.request;
    }

    /** @return Committed tasks in unspecified order. */
    [[nodiscard]] std::span<const task_key> committed() const noexcept
    {
        return committed_;
    }

    /**
     * @return Version that increases when capacity is released or VMs change.
     */
    [[nodiscard]] std::uint64_t capacity_version() const noexcept
    {
        return capacity_version_;
    }
    void capacity_changed() noexcept { ++capacity_version_; }

private:
    void attach(task_key key, index vm, time_point now);
    void detach(task_key key);
    void update_spread(job_state& job, index vm, bool add) const;
    void add_to_queue(index job);
    void remove_from_queue(index job);

    std::vector<task_key> committed_;
    std::uint64_t capacity_version_{1};
};

} // namespace rosemarytrail::placement::internal

#endif
