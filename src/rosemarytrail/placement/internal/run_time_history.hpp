#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_RUN_TIME_HISTORY_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_RUN_TIME_HISTORY_HPP

#include <rosemarytrail/placement/internal/job_table.hpp>

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Run times by team and job name, over all submissions. */
class run_time_history
{
public:
    /** @return Index of the history of a job name of a team. */
    [[nodiscard]] index intern(index team, const std::string& name);

    /** @brief Adds the run time of a succeeded task. */
    void add(index history, duration run_time);

    /**
     * @brief Estimates the run time of a task.
     *
     * The estimate is the mean of the observed run times, weighted towards the
     * declared run time while there are few observations.
     *
     * @param job Job of the task.
     * @return Expected run time; zero if unknown.
     */
    [[nodiscard]] duration estimate(const job_state& job) const;

    /** @return Expected end of a committed task; `max` if unknown or never. */
    [[nodiscard]] time_point expected_end(const job_state& job,
                                          const task_state& task,
                                          time_point now) const;

private:
    struct record
    {
        double mean_seconds{};
        double weight{};
    };

    std::unordered_map<std::string, index> numbers_;
    std::vector<record> records_;
};

} // namespace rosemarytrail::placement::internal

#endif
