#ifndef ROSEMARYTRAIL_FLEET_JOB_BOARD_HPP
#define ROSEMARYTRAIL_FLEET_JOB_BOARD_HPP

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

/** @brief Advice as this node read it from the ledger. */
struct seen_advice
{
    advice_grant grant;
    /** @brief When it was read; its validity counts from here. */
    time_point read_at;
};

/** @brief Worker as this node read it from the ledger. */
struct seen_worker
{
    worker_record record;
    /** @brief When it was read; what it tells held by then. */
    time_point read_at;
};

/** @brief All that the ledger says of one job. */
struct job_entry
{
    /** @brief Absent while only a cancellation or an outcome is known. */
    std::optional<job_record> record;
    std::map<step_key, std::vector<task_progress>> progress;
    std::map<step_key, seen_advice> advice;
    bool cancelled{false};
    std::optional<job_outcome> outcome;

    /** @return True once a task has been started. */
    [[nodiscard]] bool has_started() const noexcept;

    /** @return State as clients see it. */
    [[nodiscard]] job_state state() const noexcept;
};

/**
 * @brief Jobs of the cell, folded from the entries of the ledger.
 *
 * The last entry of a key counts; the order of entries under different keys
 * does not matter, except that an outcome outlives a repeated submission.
 */
class job_board
{
public:
    /**
     * @brief Takes an entry in.
     * @param key Key of the entry.
     * @param value Value, or nothing if the key was removed.
     * @param now Present time.
     * @param unix_ms Present time of day if the entry may be old; its age then
     * counts by the time of day.
     * @return What the entry is about, or nothing if it cannot be read.
     */
    std::optional<entry_key>
    apply(std::string_view key, std::optional<std::string_view> value,
          time_point now, std::optional<std::int64_t> unix_ms = std::nullopt);

    /**
     * @brief Finds a job.
     * @param id Job.
     * @return What is known of it, or null.
     */
    [[nodiscard]] const job_entry* find(std::uint64_t id) const noexcept;

    /**
     * @brief Counts jobs of a queue of which no task has started.
     * @param queue Name of the queue.
     * @return Number of such jobs.
     */
    [[nodiscard]] std::size_t pending(std::string_view queue) const;

    /**
     * @brief Visits the jobs without an outcome.
     * @param visit Called with each job's id and entry.
     */
    void each_live(const std::function<void(std::uint64_t, const job_entry&)>&
                       visit) const;

    /**
     * @brief Finds outcomes that need not be kept any longer.
     * @param before_unix_ms Outcomes older than this.
     * @return The jobs.
     */
    [[nodiscard]] std::vector<std::uint64_t>
    outcomes_before(std::int64_t before_unix_ms) const;

    /** @return The latest leader on record. */
    [[nodiscard]] const leader_record& leader() const noexcept
    {
        return leader_;
    }

    /** @return What is known of workers, by id. */
    [[nodiscard]] const std::map<std::string, seen_worker>&
    workers() const noexcept
    {
        return workers_;
    }

    /**
     * @brief Tells when no leader before an epoch can hear news any more.
     * @param epoch Epoch.
     * @return When this node learnt of a claim of this or a later epoch;
     * nothing if there was none.
     */
    [[nodiscard]] std::optional<time_point>
    claimed_by(std::uint64_t epoch) const;

private:
    void apply_job(std::uint64_t id, std::optional<std::string_view> value);
    void drop_if_empty(std::uint64_t id);

    std::unordered_map<std::uint64_t, job_entry> jobs_;
    leader_record leader_;
    std::map<std::string, seen_worker> workers_;
    /** @brief When this node learnt of the claim of each epoch. */
    std::map<std::uint64_t, time_point> claims_;
};

} // namespace rosemarytrail::fleet

#endif
