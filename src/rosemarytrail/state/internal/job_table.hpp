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

/** @brief Jobs by id and by submission id; open jobs also by partition. */
class job_table
{
public:
    /** @brief Maximum stored ended jobs; the oldest is evicted first. */
    static constexpr std::size_t max_ended_jobs = 20000;
    /** @brief Maximum stored task results of all ended jobs together. */
    static constexpr std::size_t max_ended_tasks = 400000;

    /** @brief Job and its submission id. */
    struct entry
    {
        job_state state;
        std::string submission;
    };

    /** @brief Sets the number of partitions. */
    void set_partitions(std::uint32_t n);

    /** @return The job, or null if it is unknown. */
    [[nodiscard]] const job_state* find(const job_id& job) const;

    /** @return The job of a submission, or null if it is unknown. */
    [[nodiscard]] const job_state*
    find_submission(const team_id& team, std::string_view submission) const;

    /** @brief Adds an open job; its id and submission id must be new. */
    void add(job_state value, std::string submission);

    /** @brief Moves an open job to another partition. */
    void move(const job_id& job, partition_id to);

    /** @brief Records the result of an ended task of an open job. */
    void finish_task(const job_id& job, std::uint32_t index, result_code code);

    /** @brief Ends an open job; evicts the oldest ended jobs over the limit. */
    void end(const job_id& job, job_phase phase, result_code code);

    /** @return Open jobs of a partition; empty if it is unknown. */
    [[nodiscard]] const std::set<job_id>& open(partition_id partition) const;

    /**
     * @brief Calls a function for each job: ended jobs in the order of their
     * end, then open jobs by record number.
     */
    void for_each(const std::function<void(const entry&)>& function) const;

    /** @return Number of jobs. */
    [[nodiscard]] std::size_t size() const noexcept;

    /** @brief Adds a job of a snapshot; called in the order of `for_each`. */
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
