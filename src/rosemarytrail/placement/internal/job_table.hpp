#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_JOB_TABLE_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_JOB_TABLE_HPP

#include <rosemarytrail/placement/internal/interner.hpp>
#include <rosemarytrail/placement/internal/retry_budget.hpp>
#include <rosemarytrail/placement/scheduler.hpp>

#include <cstdint>
#include <deque>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Where a task stands. */
enum class task_phase : std::uint8_t
{
    /** @brief May start. */
    ready,
    /** @brief Waits for its next attempt. */
    retrying,
    /** @brief Its start was decided. */
    committed,
    /** @brief Its start was reported. */
    running,
    /** @brief Its stop was decided; still committed. */
    stopping,
    /** @brief Ended for good. */
    ended
};

/** @return True if the task counts against its VM and its team. */
[[nodiscard]] constexpr bool is_committed(task_phase phase) noexcept
{
    return phase == task_phase::committed || phase == task_phase::running ||
           phase == task_phase::stopping;
}

/** @brief One task. */
struct task_state
{
    task_phase phase{task_phase::ready};
    /** @brief Started in room held for another job. */
    bool backfilled{false};
    /** @brief Starts so far. */
    std::uint32_t attempt{};
    /** @brief Failures and losses that count against the attempts. */
    std::uint32_t failures{};
    /** @brief Times that it was stopped for others. */
    std::uint32_t evictions{};
    /** @brief Times that it was stopped as a straggler. */
    std::uint32_t straggles{};
    index vm{no_index};
    /** @brief When it started, or when that was decided. */
    time_point since{};
    /** @brief Its place in the list of committed tasks. */
    std::uint32_t place{};
};

/** @brief Whether a job goes on. */
enum class job_phase : std::uint8_t
{
    live,
    cancelled,
    rejected
};

/** @brief Order of a job among those of its team; the least goes first. */
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

/** @brief Job and its tasks. */
struct job_state
{
    job_id id{};
    job_spec spec{};
    index team{no_index};
    index history{no_index};
    /** @brief Grows from job to job; tells reused numbers apart. */
    std::uint64_t serial{};
    bool before_takeover{false};
    job_phase phase{job_phase::live};
    /** @brief Whether it stands in the queue of its team. */
    bool is_queued{false};
    time_point added{};
    std::vector<task_state> tasks;
    /** @brief Tasks that may start; the last goes first. */
    std::vector<std::uint32_t> ready;
    std::uint32_t retrying{};
    std::uint32_t committed{};
    std::uint32_t succeeded{};
    std::uint32_t ended{};
    /** @brief VMs that failed it and do not count as faulty themselves. */
    std::vector<index> failed_on;
    /** @brief VMs that its tasks do not start on. */
    std::vector<index> avoided;
    /** @brief Committed tasks by zone and by rack, for services. */
    std::vector<std::uint32_t> by_zone;
    std::vector<std::uint32_t> by_rack;
    /** @brief Expected run time of a task; zero if it is not known. */
    duration expected{};
    /** @brief Run times of finished tasks, ascending, bounded. */
    std::vector<duration> run_times;
    retry_budget budget{0.0, 0.0};
    result_code wait_code{result_code::waiting_for_turn};
    time_point wait_since{};
    result_code last_failure{result_code::ok};
    /** @brief Before this its gang is not searched for again. */
    time_point next_search{};

    [[nodiscard]] queue_key key(index job) const noexcept
    {
        constexpr std::uint8_t highest = 9;
        const auto rank = static_cast<std::uint8_t>(
            spec.priority > highest ? 0 : highest - spec.priority);
        return {.rank = rank, .serial = serial, .job = job};
    }

    /** @return Tasks that have not ended for good. */
    [[nodiscard]] std::uint32_t unended() const noexcept
    {
        return static_cast<std::uint32_t>(tasks.size()) - ended;
    }

    /** @return Tasks that are queued, due or not. */
    [[nodiscard]] std::uint32_t queued() const noexcept
    {
        return static_cast<std::uint32_t>(ready.size()) + retrying;
    }
};

/** @return When a task that starts now is expected to end; `max` if never. */
[[nodiscard]] inline time_point expected_end(const job_state& job,
                                             time_point now) noexcept
{
    const bool is_endless = job.spec.policy == job_class::service ||
                            job.expected == duration::zero();
    return is_endless ? time_point::max() : now + job.expected;
}

/** @brief Jobs by dense number; references stay valid. */
class job_table
{
public:
    /** @return Number of a new job; `no_index` if it is known already. */
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
