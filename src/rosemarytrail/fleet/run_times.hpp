#ifndef ROSEMARYTRAIL_FLEET_RUN_TIMES_HPP
#define ROSEMARYTRAIL_FLEET_RUN_TIMES_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Bounds of the observed run times. */
struct run_times_options
{
    /** @brief Maximum number of images and queues; the one that has had no
     * sample for longest makes room for a new one. */
    std::size_t max_keys{64};
    /** @brief Minimum number of samples for an estimate; two steps of ten
     * tasks. */
    std::size_t min_samples{20};
    /** @brief Number of samples after which older ones are forgotten. */
    std::size_t samples_kept{400};
    /** @brief Relative change of an estimate from which it is published. */
    double min_change{0.05};
};

/** @brief Observed run times of an image or a queue, relative to the declared
 * ones. */
struct run_time_ratio
{
    /** @brief `i/IMAGE` or `q/QUEUE`. */
    std::string key;
    double median{1.0};
    /** @brief Ratio that nine in ten runs do not exceed. */
    double ninth_decile{1.0};

    friend bool operator==(const run_time_ratio&,
                           const run_time_ratio&) = default;
};

/** @brief Image and queue of a step. */
struct run_time_source
{
    /** @brief Image; empty if none is declared. */
    std::string_view image;
    std::string_view queue;
};

/** @brief One successful run of a task. */
struct run_time_sample
{
    run_time_source source;
    duration declared{};
    duration observed{};
    /** @brief Run time on the worker relative to other workers. */
    double slowness{1.0};
};

/**
 * @brief Ratio of observed run times to declared ones.
 *
 * Declared durations are off by up to a factor of two in the same direction for
 * all runs of an image, so the ratio of past runs corrects those of later ones.
 */
class run_times
{
public:
    /** @param options Bounds. */
    explicit run_times(const run_times_options& options = {});
    run_times(run_times&&) noexcept;
    run_times& operator=(run_times&&) noexcept;
    ~run_times();

    /**
     * @brief Records a run.
     * @param sample Run; ignored without a declared duration.
     * @param now Current time.
     */
    void add(const run_time_sample& sample, time_point now);

    /**
     * @brief Estimates how long the slowest task of a step runs on a worker of
     * usual speed.
     * @param source Image and queue of the step.
     * @param declared Declared duration.
     * @param tasks Number of tasks.
     * @return Median of the expected duration; the declared one without
     * samples.
     */
    [[nodiscard]] duration expected(const run_time_source& source,
                                    duration declared, std::size_t tasks) const;

    /** @return Number that is incremented when an estimate changes. */
    [[nodiscard]] std::uint64_t version() const noexcept;

    /** @return Estimates of all images and queues with enough samples, by
     * key. */
    [[nodiscard]] std::vector<run_time_ratio> ratios() const;

    /**
     * @brief Starts from the estimates of a previous leader, until there are
     * enough samples of this one.
     * @param ratios Estimates.
     * @param now Current time.
     */
    void restore(const std::vector<run_time_ratio>& ratios, time_point now);

private:
    struct history;

    void add_to(const std::string& key, double ratio, time_point now);
    [[nodiscard]] history& find_or_add(const std::string& key, time_point now);
    void publish(history& it);
    [[nodiscard]] const history* find(const run_time_source& source) const;

    run_times_options options_;
    std::map<std::string, std::unique_ptr<history>> histories_;
    std::uint64_t version_{};
};

} // namespace rosemarytrail::fleet

#endif
