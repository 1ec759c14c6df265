#ifndef ROSEMARYTRAIL_FLEET_JOB_INDEX_HPP
#define ROSEMARYTRAIL_FLEET_JOB_INDEX_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/ledger_codec.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Advice as read from the ledger by this node. */
struct ledger_advice
{
    advice_grant grant;
    /** @brief When it was granted, or read if the age is unknown; its validity
     * counts from here. */
    time_point read_at;
};

/** @brief Worker record as read from the ledger by this node. */
struct ledger_worker
{
    worker_record record;
    /** @brief When it was read; the record took effect no later. */
    time_point read_at;
};

/** @brief All ledger entries of one job. */
struct job_entry
{
    /** @brief Absent while only a cancellation or an outcome is known. */
    std::optional<job_record> record;
    /** @brief Progress of tasks, by the first task of each entry. */
    std::map<task_key, std::vector<task_progress>> progress;
    std::map<step_key, ledger_advice> advice;
    /** @brief Number of completed occurrences, from the first on. */
    std::uint32_t completed_occurrences{};
    bool cancelled{false};
    /** @brief A task has been placed, and one has begun; set without `progress`
     * while the index keeps none. */
    bool placed{false};
    bool started{false};
    std::optional<job_outcome> outcome;

    /** @return True once a task has begun; a placement is recorded before its
     * start is sent, and the start may be refused. */
    [[nodiscard]] bool has_started() const noexcept;

    /** @return Job state as reported to clients. */
    [[nodiscard]] job_state state() const noexcept;

    /**
     * @brief Finds the progress of a task.
     * @param task Task.
     * @return Its progress, or null if none is known.
     */
    [[nodiscard]] const task_progress*
    find_progress(const task_key& task) const noexcept;
};

/**
 * @brief Index of the cell's jobs, folded from the entries of the ledger.
 *
 * The last entry of a key applies; the order of entries under different keys
 * does not matter, except that an outcome takes precedence over a repeated
 * submission.
 */
class job_index
{
public:
    /**
     * @brief Applies an entry of the ledger.
     * @param key Key of the entry.
     * @param value Value, or nothing if the key was removed.
     * @param now Current time.
     * @param unix_ms Current wall-clock time in Unix milliseconds, if the entry
     * may be old; the age of advice is then taken from the wall clock.
     * @return Decoded key of the entry, or nothing if it can't be decoded.
     */
    std::optional<entry_key>
    apply(std::string_view key, std::optional<std::string_view> value,
          time_point now, std::optional<std::int64_t> unix_ms = std::nullopt);

    /**
     * @brief Discards the progress of all jobs and keeps none from now on.
     *
     * Used at the leader, whose dispatcher holds it and writes it; decoding it
     * a second time would cost as much as writing it.
     */
    void discard_progress();

    /**
     * @brief Finds a job.
     * @param id Job.
     * @return Entry of the job, or null if it is unknown.
     */
    [[nodiscard]] const job_entry* find(std::uint64_t id) const noexcept;

    /**
     * @brief Counts the jobs of a queue with no started task.
     * @param queue Name of the queue.
     * @return Number of such jobs.
     */
    [[nodiscard]] std::size_t pending(std::string_view queue) const;

    /**
     * @brief Counts the jobs of a queue that wait for their first start.
     * @param queue Name of the queue.
     * @param unix_ms Current wall-clock time in Unix milliseconds.
     * @return Number of jobs with no started task whose first occurrence is
     * due.
     */
    [[nodiscard]] std::size_t due(std::string_view queue,
                                  std::int64_t unix_ms) const;

    /**
     * @brief Visits the jobs without an outcome.
     * @param visit Called with each job's id and entry.
     */
    void each_live(const std::function<void(std::uint64_t, const job_entry&)>&
                       visit) const;

    /**
     * @brief Visits the progress entries of jobs that have an outcome. They
     * remain if a leader is lost after it has recorded the outcome and before
     * it has removed them.
     * @param visit Called with the first task of each entry.
     */
    void each_leftover(const std::function<void(const task_key&)>& visit) const;

    /**
     * @brief Finds jobs whose outcome is older than a given time.
     * @param before_unix_ms Time in Unix milliseconds.
     * @return Ids of these jobs.
     */
    [[nodiscard]] std::vector<std::uint64_t>
    outcomes_before(std::int64_t before_unix_ms) const;

    /** @return Number of tasks of the jobs without an outcome, counting one
     * occurrence of each. */
    [[nodiscard]] std::uint64_t live_tasks() const noexcept
    {
        return live_tasks_;
    }

    /** @return The last recorded leader. */
    [[nodiscard]] const leader_record& leader() const noexcept
    {
        return leader_;
    }

    /** @return Worker records by worker id. */
    [[nodiscard]] const std::map<std::string, ledger_worker>&
    workers() const noexcept
    {
        return workers_;
    }

    /** @return Observed run times that the last leader recorded. */
    [[nodiscard]] const std::vector<run_time_ratio>& run_times() const noexcept
    {
        return run_times_;
    }

    /**
     * @brief Returns when this node read the claim that superseded all leaders
     * before an epoch; such leaders obtain no freshness evidence after it.
     * @param epoch Epoch.
     * @return When this node read a claim of this or a later epoch; nothing if
     * there was none.
     */
    [[nodiscard]] std::optional<time_point>
    claimed_at(std::uint64_t epoch) const;

private:
    /** @return True if the job belongs to the queue and no task was started. */
    [[nodiscard]] static bool is_pending(const job_entry& entry,
                                         std::string_view queue);
    void apply_job(std::uint64_t id, std::optional<std::string_view> value);
    void drop_if_empty(std::uint64_t id);
    void apply_occurrences(job_entry& entry, std::uint32_t completed);

    [[nodiscard]] std::uint64_t count_live_tasks(std::uint64_t id) const;

    std::unordered_map<std::uint64_t, job_entry> jobs_;
    std::uint64_t live_tasks_{};
    bool keeps_progress_{true};
    leader_record leader_;
    std::map<std::string, ledger_worker> workers_;
    std::vector<run_time_ratio> run_times_;
    /** @brief When this node read the claim of each epoch. */
    std::map<std::uint64_t, time_point> claims_;
};

} // namespace rosemarytrail::fleet

#endif
