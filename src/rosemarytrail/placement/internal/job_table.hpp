#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_JOB_TABLE_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_JOB_TABLE_HPP

#include <rosemarytrail/placement/internal/interner.hpp>
#include <rosemarytrail/placement/internal/retry_budget.hpp>
#include <rosemarytrail/placement/scheduler.hpp>

#include <cstdint>
#include <deque>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Phase of a task. */
enum class task_phase : std::uint8_t
{
    /** @brief Queued and due to start. */
    ready,
    /** @brief Queued, with its next attempt delayed. */
    retrying,
    /** @brief Start decided but not confirmed. */
    committed,
    /** @brief Reported as running. */
    running,
    /** @brief Stop decided; resources are still committed. */
    stopping,
    /** @brief Ended; never starts again. */
    ended
};

/**
 * @return True if the task uses capacity of its VM and allowance of its team.
 */
[[nodiscard]] constexpr bool is_committed(task_phase phase) noexcept
{
    return phase == task_phase::committed || phase == task_phase::running ||
           phase == task_phase::stopping;
}

/** @brief State of a task. */
struct task_state
{
    task_phase phase{task_phase::ready};
    /** @brief Runs on capacity that is reserved for another job. */
    bool backfilled{false};
    /** @brief Number of starts. */
    std::uint32_t attempt{};
    /** @brief Failures and losses counted against the maximum attempts. */
    std::uint32_t failures{};
    /** @brief Number of evictions. */
    std::uint32_t evictions{};
    /** @brief Number of stops as a straggler. */
    std::uint32_t straggler_stops{};
    index vm{no_index};
    /**
     * @brief Start time; the time of the decision until the start is reported.
     */
    time_point since{};
    /** @brief Index in the list of committed tasks. */
    std::uint32_t committed_index{};
};

/** @brief Phase of a job. */
enum class job_phase : std::uint8_t
{
    live,
    cancelled,
    rejected
};

/** @brief Sort key of a job in the queue of its team; lowest first. */
struct queue_key
{
    std::uint8_t rank{};
    std::uint64_t serial{};
    index job{no_index};

    // NOLINTBEGIN(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const queue_key&,
                                          const queue_key&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

/** @brief State of a job and its tasks. */
struct job_state
{
    job_id id{};
    job_spec spec{};
    index team{no_index};
    index history{no_index};
    /** @brief Unique and increasing; distinguishes jobs that reuse an index. */
    std::uint64_t serial{};
    bool before_takeover{false};
    job_phase phase{job_phase::live};
    /** @brief Whether the job is in the queue of its team. */
    bool is_queued{false};
    time_point added{};
    std::vector<task_state> tasks;
    /** @brief Tasks that may start; taken from the back. */
    std::vector<std::uint32_t> ready;
    std::uint32_t retrying{};
    std::uint32_t committed{};
    std::uint32_t succeeded{};
    std::uint32_t ended{};
    /** @brief VMs that its tasks failed on, except quarantined ones. */
    std::vector<index> failed_on;
    /** @brief VMs that its tasks are not started on. */
    std::vector<index> avoided;
    /** @brief Committed tasks by zone and by rack; services only. */
    std::vector<std::uint32_t> by_zone;
    std::vector<std::uint32_t> by_rack;
    /** @brief Expected run time of a task; zero if unknown. */
    duration expected{};
    /** @brief Run times of succeeded tasks in ascending order, bounded. */
    std::vector<duration> run_times;
    retry_budget budget{0.0, 0.0};
    result_code wait_code{result_code::waiting_for_turn};
    time_point wait_since{};
    result_code last_failure{result_code::ok};
    /** @brief Earliest time of the next placement search for a gang. */
    time_point next_search{};

    [[nodiscard]] queue_key key(index job) const noexcept
    {
        constexpr std::uint8_t highest = 9;
        const auto rank = static_cast<std::uint8_t>(
            spec.priority > highest ? 0 : highest - spec.priority);
        return {.rank = rank, .serial = serial, .job = job};
    }

    /** @return Number of tasks that have not ended. */
    [[nodiscard]] std::uint32_t unended() const noexcept
    {
        return static_cast<std::uint32_t>(tasks.size()) - ended;
    }

    /** @return Number of queued tasks, ready or waiting for a retry. */
    [[nodiscard]] std::uint32_t queued() const noexcept
    {
        return static_cast<std::uint32_t>(ready.size()) + retrying;
    }
};

/**
 * @return Expected end of a task that starts now; `max` if unknown or never.
 */
[[nodiscard]] inline time_point expected_end(const job_state& job,
                                             time_point now) noexcept
{
    const bool is_endless = job.spec.policy == job_class::service ||
                            job.expected == duration::zero();
    return is_endless ? time_point::max() : now + job.expected;
}

/** @brief Jobs by index; references stay valid when jobs are added. */
class job_table
{
public:
    /** @return Index of the new job; `no_index` if the job already exists. */
    index add(const job_id& id)
    {
        if (ids_.find(id) != no_index) {
            return no_index;
        }
        const index n = ids_.intern(id);
        if (n >= jobs_.size()) {
            jobs_.resize(n + 1);
        }
        jobs_[n] = {};
        jobs_[n].id = id;
        jobs_[n].serial = ++serial_;
        return n;
    }

    void remove(index job)
    {
        const job_id id = jobs_[job].id;
        ids_.release(id);
        jobs_[job] = {};
    }

    [[nodiscard]] index find(const job_id& id) const { return ids_.find(id); }
    [[nodiscard]] job_state& operator[](index job) { return jobs_[job]; }
    [[nodiscard]] const job_state& operator[](index job) const
    {
        return jobs_[job];
    }

    [[nodiscard]] std::size_t size() const noexcept { return jobs_.size(); }

private:
    interner<job_id> ids_;
    std::deque<job_state> jobs_;
    std::uint64_t serial_{};
};

} // namespace rosemarytrail::placement::internal

#endif
