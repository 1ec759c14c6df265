#ifndef ROSEMARYTRAIL_FLEET_WORKER_HEALTH_HPP
#define ROSEMARYTRAIL_FLEET_WORKER_HEALTH_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/job.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace rosemarytrail::fleet {

/** @brief When a worker is quarantined, and for how long. */
struct worker_health_options
{
    /** @brief Number of bad runs within `window`, of at least `min_jobs` jobs,
     * after which a worker is quarantined. */
    std::size_t max_bad_runs{3};
    std::size_t min_jobs{2};
    duration window{std::chrono::milliseconds{10000}};
    /** @brief First quarantine; doubled each time up to the maximum. */
    duration first_quarantine{std::chrono::milliseconds{2000}};
    duration max_quarantine{std::chrono::milliseconds{30000}};
    /** @brief Time without a quarantine after which the next one is as short as
     * the first. */
    duration forget_after{std::chrono::milliseconds{60000}};
    /** @brief Maximum fraction of the workers in quarantine at a time; further
     * suspect workers keep receiving tasks. */
    double max_share{0.25};
    /** @brief Maximum fraction of a worker's CPU that a probe requests. */
    double probe_size{0.25};
    /** @brief After this time without a small task, any task is the probe, and
     * of a gang all members on the worker. */
    duration small_probe_wait{std::chrono::milliseconds{3000}};
    /** @brief Time since the last bad run after which a task that no other
     * worker can run is the probe, also in a quarantine. A task that lasts has
     * any number of attempts. */
    duration last_resort_wait{std::chrono::milliseconds{4000}};
    duration last_resort_wait_lasting{std::chrono::milliseconds{1500}};
    /** @brief A run without progress for this multiple of its declared
     * duration, and at least `min_stall`, stands still. */
    double stall_factor{2.0};
    duration min_stall{std::chrono::milliseconds{1500}};
    /** @brief Number of workers with bad runs of an image from which on the
     * image may be faulty, and not these workers. */
    std::size_t max_bad_workers{6};
    /** @brief Maximum number of tracked images. */
    std::size_t max_images{64};
    /** @brief Number of workers of an image from which on old runs are
     * dropped. */
    std::size_t max_workers{512};
};

/** @brief How a run indicates a fault of its worker. */
enum class bad_run : std::uint8_t
{
    failed,
    /** @brief The worker refused the start. */
    refused,
    /** @brief The start had no response, or the call was reset. */
    unanswered,
    /** @brief The run made no progress while runs of its step elsewhere did. */
    stalled
};

/**
 * @brief Returns the name of a cause for the log.
 * @param cause Cause.
 * @return Its name.
 */
[[nodiscard]] const char* to_text(bad_run cause);

/** @brief Bad runs of one worker over all jobs, and its quarantine. */
class worker_health
{
public:
    /**
     * @brief Records a bad run.
     * @param job Job of the run.
     * @param probe The run was the probe after a quarantine.
     * @param options Limits.
     * @param now Current time.
     * @return True if the worker should be quarantined.
     */
    [[nodiscard]] bool record_bad_run(std::uint64_t job, bool probe,
                                      const worker_health_options& options,
                                      time_point now);

    /**
     * @brief Records a run that ended well or is stable. It offsets one bad run
     * that preceded its start; that of a probe ends a quarantine.
     * @param started Start of the run.
     * @param probe The run was the probe after a quarantine.
     */
    void record_good_run(time_point started, bool probe);

    /**
     * @brief Starts a quarantine, after which the worker is probed.
     * @param options Durations.
     * @param now Current time.
     * @return Length of the quarantine.
     */
    duration quarantine(const worker_health_options& options, time_point now);

    /**
     * @brief Checks whether the worker is in quarantine.
     * @param now Current time.
     * @return True if it receives no task.
     */
    [[nodiscard]] bool quarantined(time_point now) const noexcept
    {
        return now < quarantined_until_;
    }

    /**
     * @brief Checks whether the worker gets a probe at most.
     * @param now Current time.
     * @return True from the start of a quarantine until a probe ends well.
     */
    [[nodiscard]] bool set_aside(time_point now) const noexcept
    {
        return quarantined(now) || on_probation_;
    }

    /** @return True from a quarantine until a probe ends well. */
    [[nodiscard]] bool on_probation() const noexcept { return on_probation_; }

    /**
     * @brief Checks whether a task may be the probe.
     * @param step Step of the task.
     * @param capacity Capacity of the worker.
     * @param options Limits.
     * @param now Current time.
     * @return True if the worker may get this task, or members of this gang,
     * and no other.
     */
    [[nodiscard]] bool accepts_probe(const step_spec& step,
                                     const resource_amounts& capacity,
                                     const worker_health_options& options,
                                     time_point now) const;

    /**
     * @brief Checks whether a task that no other worker can run may be the
     * probe. Unlike others, it does not wait for the end of a quarantine, which
     * may exceed the length of the fault by far.
     * @param lasting The task runs until its job is cancelled.
     * @param options Limits.
     * @param now Current time.
     * @return True if the worker may get this task.
     */
    [[nodiscard]] bool accepts_last_resort(bool lasting,
                                           const worker_health_options& options,
                                           time_point now) const;

    /** @return Number of bad runs that count. */
    [[nodiscard]] std::size_t bad_runs() const noexcept { return bad_.size(); }

private:
    struct occurrence
    {
        time_point at;
        std::uint64_t job{};
    };

    std::deque<occurrence> bad_;
    time_point last_bad_;
    time_point quarantined_until_;
    duration last_quarantine_{};
    bool on_probation_{false};
};

/** @brief Runs of images over all workers, which tell a faulty image from a
 * faulty worker. */
class image_health
{
public:
    /**
     * @brief Records a run.
     * @param image Image; ignored if it is empty.
     * @param worker Worker of the run.
     * @param good The run ended well.
     * @param options Limits.
     * @param now Current time.
     */
    void record(const std::string& image, const std::string& worker, bool good,
                const worker_health_options& options, time_point now);

    /**
     * @brief Checks whether an image fails on most of the workers that ran it
     * recently.
     * @param image Image.
     * @param options Limits.
     * @param now Current time.
     * @return True if its bad runs indicate no fault of the workers.
     */
    [[nodiscard]] bool is_faulty(const std::string& image,
                                 const worker_health_options& options,
                                 time_point now) const;

private:
    /** @brief Last run on a worker. */
    struct last_run
    {
        time_point at;
        bool good{false};
    };
    struct image_runs
    {
        time_point last;
        std::map<std::string, last_run> by_worker;
    };

    std::map<std::string, image_runs> images_;
};

/** @brief Progress of a run and of the other tasks of its step. */
struct stall_view
{
    /** @brief Start of the run or its last reported progress. */
    time_point progress_at;
    std::int64_t estimate_ms{};
    /** @brief Last progress or end of a task of the step on another worker, if
     * any. */
    std::optional<time_point> siblings_progress_at;
};

/**
 * @brief Checks whether a run stands still.
 * @param run Its progress.
 * @param options Limits.
 * @param now Current time.
 * @return True if it made no progress for much longer than its duration while
 * tasks of its step on other workers did.
 */
[[nodiscard]] bool stands_still(const stall_view& run,
                                const worker_health_options& options,
                                time_point now);

} // namespace rosemarytrail::fleet

#endif
