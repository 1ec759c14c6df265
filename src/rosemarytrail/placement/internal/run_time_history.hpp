#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_RUN_TIME_HISTORY_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_RUN_TIME_HISTORY_HPP

#include <rosemarytrail/placement/internal/job_table.hpp>

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Run times by team and name of a job, over all its submissions. */
class run_time_history
{
public:
    /** @return Number of the history of a team's job name. */
    [[nodiscard]] index intern(index team, const std::string& name);

    /** @brief Notes the run time of a task that succeeded. */
    void add(index history, duration run_time);

    /**
     * @brief Expected run time of a task.
     *
     * The mean of what was seen, shrunk towards the declared value while
     * little was seen.
     *
     * @param job Job of the task.
     * @return Its run time; zero if it is not expected to end.
     */
    [[nodiscard]] duration estimate(const job_state& job) const;

    /** @return When a committed task is expected to end; `max` if never. */
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
