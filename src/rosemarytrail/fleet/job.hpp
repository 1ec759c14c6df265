#ifndef ROSEMARYTRAIL_FLEET_JOB_HPP
#define ROSEMARYTRAIL_FLEET_JOB_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Amounts of CPU, memory and GPUs, requested or available. */
struct resource_amounts
{
    /** @brief Thousandths of a core. */
    std::int64_t cpu_millis{};
    std::int64_t memory_mb{};
    std::int64_t gpus{};

    resource_amounts& operator+=(const resource_amounts& other) noexcept
    {
        cpu_millis += other.cpu_millis;
        memory_mb += other.memory_mb;
        gpus += other.gpus;
        return *this;
    }

    resource_amounts& operator-=(const resource_amounts& other) noexcept
    {
        cpu_millis -= other.cpu_millis;
        memory_mb -= other.memory_mb;
        gpus -= other.gpus;
        return *this;
    }

    friend resource_amounts operator+(resource_amounts left,
                                      const resource_amounts& right) noexcept
    {
        return left += right;
    }

    friend resource_amounts operator-(resource_amounts left,
                                      const resource_amounts& right) noexcept
    {
        return left -= right;
    }

    friend bool operator==(const resource_amounts&,
                           const resource_amounts&) = default;

    /**
     * @brief Checks whether the amounts fit into what is available.
     * @param available Available amounts.
     * @return True if no dimension exceeds the available amount.
     */
    [[nodiscard]] bool fits(const resource_amounts& available) const noexcept
    {
        return cpu_millis <= available.cpu_millis &&
               memory_mb <= available.memory_mb && gpus <= available.gpus;
    }
};

/** @brief One step of a job: a set of identical tasks. */
struct step_spec
{
    std::uint32_t tasks{1};
    /** @brief Resources that each task requests. */
    resource_amounts demand;
    /** @brief Declared duration of a task; often wrong by 50 %. */
    std::int64_t estimate_ms{};
    /** @brief Steps of the same job whose tasks must all be done first. */
    std::vector<std::uint32_t> depends_on;
    /** @brief Tasks can resume from a checkpoint. */
    bool checkpoints{false};
    /** @brief Tasks make progress only while all of them run. */
    bool gang{false};
    /** @brief Tasks run slower if they are spread over racks. */
    bool same_rack{false};
    /** @brief Several copies of a task may run concurrently. */
    bool speculative{false};
    /** @brief Tasks run until the job is cancelled. */
    bool long_running{false};
    /** @brief Tasks use only idle CPU time; their CPU is not reserved. */
    bool scavenger{false};
    /** @brief Label that the worker must have; empty for any. */
    std::string required_label;
    /** @brief Rack that holds the data; empty for none. */
    std::string data_rack;
    /** @brief Maximum number of tasks of the step on one worker; zero for no
     * limit. */
    std::uint32_t tasks_per_vm{};
    /** @brief Image that the tasks run; tasks of one image have similar run
     * times. */
    std::string image;
    /** @brief Tail latency limit of a serving task in milliseconds; 0 for
     * none. */
    std::int64_t target_ms{};
    /** @brief Maximum number of tasks that the scheduler itself may make
     * unavailable at a time. */
    std::uint32_t max_unavailable{};

    /** @return Resources that a task occupies on a worker. */
    [[nodiscard]] resource_amounts reserved() const noexcept
    {
        return scavenger ? resource_amounts{.memory_mb = demand.memory_mb,
                                            .gpus = demand.gpus}
                         : demand;
    }
};

/** @brief Job as submitted by a client. */
struct job_spec
{
    /** @brief Opaque text passed to each task at its start. */
    std::string payload;
    std::vector<step_spec> steps;
    /** @brief Number of scheduled occurrences; zero for a plain job. */
    std::uint32_t occurrences{};
    /** @brief When the first occurrence is due, in Unix milliseconds. */
    std::int64_t first_due_ms{};
    /** @brief Time between two occurrences. */
    std::int64_t interval_ms{};

    /** @return Number of times that the steps run. */
    [[nodiscard]] std::uint32_t rounds() const noexcept
    {
        return occurrences == 0 ? 1 : occurrences;
    }

    /**
     * @brief Checks whether an occurrence is due.
     * @param occurrence Number of the occurrence.
     * @param unix_ms Time in Unix milliseconds.
     * @return True if its steps may run by then; always for a plain job.
     */
    [[nodiscard]] bool due(std::uint32_t occurrence,
                           std::int64_t unix_ms) const noexcept
    {
        return occurrences == 0 ||
               first_due_ms + occurrence * interval_ms <= unix_ms;
    }
};

/** @brief Cost of an advice request, and how long its tickets are valid. */
struct advice_policy
{
    double base_ms{};
    double per_worker_ms{};
    std::int64_t valid_ms{};
};

/** @brief Configuration of the queue that a job was submitted to. */
struct queue_policy
{
    std::string name;
    /** @brief Service whose workers run the tasks. */
    std::string service;
    /** @brief 0 is the highest priority and may preempt others. */
    std::int32_t priority{};
    /** @brief Number of failed runs of a task after which its job fails. */
    std::uint32_t max_attempts{1};
    /** @brief Latency objective as a multiple of the longest chain of dependent
     * work; `target_latency_ms` is added. */
    double slack_factor{1.0};
    /** @brief Constant part of the latency objective. */
    std::int64_t target_latency_ms{};
    /** @brief Set if steps of this queue need advice on which workers may run
     * them. */
    std::optional<advice_policy> advice;
};

/** @brief Job as accepted; immutable. */
struct job_record
{
    std::uint64_t id{};
    /** @brief Client account; empty on a public queue. */
    std::string account;
    /** @brief Node that requests advice for it; empty leaves that to the
     * leader. */
    std::string acceptor;
    std::int64_t accepted_unix_ms{};
    /** @brief The account had exceeded its share at submission. */
    bool beyond_share{false};
    queue_policy queue;
    job_spec spec;
};

/** @brief State of a job as clients see it. */
enum class job_state : std::uint8_t
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

/** @brief One step in one occurrence of a job. */
struct step_key
{
    std::uint64_t job{};
    std::uint32_t occurrence{};
    std::uint32_t step{};

    friend bool operator==(const step_key&, const step_key&) = default;

    friend bool operator<(const step_key& a, const step_key& b) noexcept
    {
        return std::tie(a.job, a.occurrence, a.step) <
               std::tie(b.job, b.occurrence, b.step);
    }
};

/** @brief One task of a step. */
struct task_key
{
    step_key step;
    std::uint32_t index{};

    friend bool operator==(const task_key&, const task_key&) = default;

    friend bool operator<(const task_key& a, const task_key& b) noexcept
    {
        return std::tie(a.step, a.index) < std::tie(b.step, b.index);
    }
};

/** @brief Hash of step and task keys. */
struct key_hash
{
    std::size_t operator()(const step_key& it) const noexcept
    {
        constexpr std::uint64_t golden_ratio = 0x9E3779B97F4A7C15ULL;
        return std::hash<std::uint64_t>{}(
            (it.job + std::uint64_t{it.occurrence} * 31U + it.step) *
            golden_ratio);
    }

    std::size_t operator()(const task_key& it) const noexcept
    {
        return (*this)(it.step) * 31U + it.index;
    }
};

/** @brief Worker that was lost with a run of a task, and may have crashed. */
struct lost_worker
{
    std::string id;
    /** @brief The worker had confirmed the start of the run. */
    bool run_confirmed{false};

    friend bool operator==(const lost_worker&, const lost_worker&) = default;
};

/** @brief Workers that were lost under the runs of a task since it last ran for
 * long enough, or ended there. */
struct crash_history
{
    /** @brief Workers that crashed after they had confirmed the start. */
    std::uint32_t confirmed{};
    /** @brief Workers that crashed and may have started it. */
    std::uint32_t possible{};
    /** @brief Workers that have not responded since. */
    std::vector<lost_worker> unexplained;

    /** @return Number of workers known to have crashed. */
    [[nodiscard]] std::uint32_t counted() const noexcept
    {
        return confirmed + possible;
    }

    /** @return True if no worker was lost. */
    [[nodiscard]] bool empty() const noexcept
    {
        return counted() == 0 && unexplained.empty();
    }

    friend bool operator==(const crash_history&,
                           const crash_history&) = default;
};

/** @brief State of a task as kept in the ledger. */
struct task_progress
{
    /** @brief True once a run has completed successfully. */
    bool done{false};
    /** @brief Number of the last start; zero if it never started. */
    std::uint32_t run{};
    /** @brief Numbers of the runs that ended as failed. */
    std::vector<std::uint32_t> failed_runs;
    /** @brief Worker of the last start; empty while the task waits. */
    std::string worker;
    /** @brief Last checkpoint; empty for none. */
    std::string checkpoint;
    crash_history crashes;
    /** @brief The incarnation of the worker that the leader knew has executed
     * the start, so that the run ends with it. */
    bool confirmed{false};
    /** @brief Worker that may still execute the start of an earlier run; empty
     * for none. */
    std::string earlier_start;
    /** @brief A run has begun; false also while that is known by other
     * fields. */
    bool begun{false};

    /** @return True if a run is known to have begun; a start that was sent may
     * have been refused. */
    [[nodiscard]] bool has_begun() const noexcept
    {
        return done || confirmed || begun || !failed_runs.empty();
    }

    friend bool operator==(const task_progress&,
                           const task_progress&) = default;
};

/** @brief Workers that may run a step, with their tickets. */
struct advice_grant
{
    struct row
    {
        std::string worker;
        std::string ticket;
    };

    std::vector<row> rows;
    /** @brief How long the tickets are valid. */
    std::int64_t valid_ms{};
    /** @brief When they were granted, in Unix milliseconds on the clock of the
     * requesting node. */
    std::int64_t granted_unix_ms{};
};

/**
 * @brief Formats a job id as clients and workers use it.
 * @param id Job id.
 * @return 16 hexadecimal digits.
 */
[[nodiscard]] std::string to_text(std::uint64_t id);

/** @copydoc to_text(std::uint64_t) */
[[nodiscard]] std::string to_text(const step_key& id);

/** @copydoc to_text(std::uint64_t) */
[[nodiscard]] std::string to_text(const task_key& id);

/**
 * @brief Parses a job id.
 * @param text 16 lower-case hexadecimal digits.
 * @return The id, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<std::uint64_t> parse_job_id(std::string_view text);

/**
 * @brief Parses the name of a step.
 * @param text Name as `to_text` writes it.
 * @return The step, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<step_key> parse_step_key(std::string_view text);

/**
 * @brief Parses the name of a task.
 * @param text Name as `to_text` writes it.
 * @return The task, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<task_key> parse_task_key(std::string_view text);

} // namespace rosemarytrail::fleet

#endif
