#ifndef ROSEMARYTRAIL_STATE_INTERNAL_JOB_TABLE_HPP
#define ROSEMARYTRAIL_STATE_INTERNAL_JOB_TABLE_HPP

#include <rosemarytrail/state/cell_types.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rosemarytrail::state::internal {

/** @brief Jobs by id and submission, the open ones also by partition. */
class job_table
{
public:
    /** @brief Most ended jobs kept; the one that ended first goes first. */
    static constexpr std::size_t ended_capacity = 20000;
    /** @brief Most task outcomes kept with ended jobs. */
    static constexpr std::size_t ended_task_capacity = 400000;

    /** @brief Job with what only the table needs. */
    struct entry
    {
        job_state state;
        std::string submission;
    };

    /** @brief Sets the number of partitions. */
    void set_partitions(std::uint32_t n);

    /** @return The job, or null. */
    [[nodiscard]] const job_state* find(const job_id& job) const;

    /** @return The job of a submission, or null. */
    [[nodiscard]] const job_state*
    find_submission(const team_id& team, std::string_view submission) const;

    /** @brief Adds an open job; neither id nor submission is known yet. */
    void add(job_state value, std::string submission);

    /** @brief Moves an open job to another partition. */
    void move(const job_id& job, partition_id to);

    /** @brief Notes the end of a task of an open job. */
    void finish_task(const job_id& job, std::uint32_t index, result_code code);

    /** @brief Ends an open job and drops the oldest ended ones over bound. */
    void end(const job_id& job, job_phase phase, result_code code);

    /** @return Open jobs of a partition. */
    [[nodiscard]] const std::set<job_id>& open(partition_id partition) const;

    /** @brief Calls with each job: ended ones by their end, then open ones. */
    void visit(const std::function<void(const entry&)>& function) const;

    /** @return Number of jobs. */
    [[nodiscard]] std::size_t size() const noexcept;

    /** @brief Puts back a job from a snapshot, in the order of `visit`. */
    void restore(entry value);

private:
    void drop_oldest();
    void index(const entry& value);

    std::unordered_map<job_id, entry> jobs_;
    std::unordered_map<std::string, job_id> submissions_;
    std::vector<std::set<job_id>> open_;
    std::deque<job_id> ended_;
    std::size_t ended_tasks_{};
};

} // namespace rosemarytrail::state::internal

#endif
