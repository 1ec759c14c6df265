#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_LEDGER_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_LEDGER_HPP

#include <rosemarytrail/placement/internal/job_table.hpp>
#include <rosemarytrail/placement/internal/team_table.hpp>
#include <rosemarytrail/placement/internal/vm_table.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace rosemarytrail::placement::internal {

/**
 * @brief VMs, teams and jobs, and the only steps that move tasks among them.
 *
 * Every step keeps the sums of VMs, teams and jobs in agreement.
 */
class ledger
{
public:
    vm_table vms;
    team_table teams;
    job_table jobs;

    /**
     * @brief Queues a new job.
     * @return Its number; `no_index` if it is known already.
     */
    index add_job(const job_id& id, const job_spec& spec, bool before_takeover,
                  time_point now);

    /** @brief Commits a ready task to a VM. */
    void commit(task_key task, index vm, time_point now);

    /** @brief Commits a task that was found on a VM. */
    void adopt(task_key task, std::uint32_t attempt, index vm, time_point now);

    /** @brief Marks a committed task as being stopped. */
    void stop(task_key task);

    /** @brief Ends a committed task for good. */
    void finish(task_key task);

    /** @brief Takes a committed task off its VM; it may start again. */
    void requeue(task_key task);

    /** @brief Takes a committed task off its VM; it waits for a retry. */
    void defer(task_key task);

    /** @brief Lets a task that waits for a retry start again. */
    void make_ready(task_key task);

    /** @brief Ends a task that is queued. */
    void skip(task_key task);

    /** @brief Ends all queued tasks of a job. */
    void drop_queued(index job);

    /** @return True if the job was forgotten because nothing of it is left. */
    bool forget_if_done(index job);

    /** @brief Sets what a job waits for; the time is kept if it is the same. */
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

    /** @return Committed tasks, in no order. */
    [[nodiscard]] std::span<const task_key> committed() const noexcept
    {
        return committed_;
    }

    /** @return Grows whenever room was given back or VMs changed. */
    [[nodiscard]] std::uint64_t room_version() const noexcept
    {
        return room_version_;
    }
    void room_changed() noexcept { ++room_version_; }

private:
    void attach(task_key key, index vm, time_point now);
    void detach(task_key key);
    void count_spread(job_state& job, index vm, bool add) const;
    void add_to_queue(index job);
    void remove_from_queue(index job);

    std::vector<task_key> committed_;
    std::uint64_t room_version_{1};
};

} // namespace rosemarytrail::placement::internal

#endif
