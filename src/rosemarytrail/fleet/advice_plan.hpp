#ifndef ROSEMARYTRAIL_FLEET_ADVICE_PLAN_HPP
#define ROSEMARYTRAIL_FLEET_ADVICE_PLAN_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/advice_request.hpp>
#include <rosemarytrail/fleet/job_index.hpp>
#include <rosemarytrail/fleet/worker_vm.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Options of an `advice_plan`. */
struct advice_plan_options
{
    /** @brief Id of this node in the list of members. */
    std::string member;
    /** @brief Maximum number of workers in one request. */
    std::size_t max_workers{max_workers_per_request};
    /** @brief Maximum number of occurrences of a job for which this node sends
     * requests on its own, counted from the first one that is not complete. */
    std::uint32_t max_occurrences{16};
    /** @brief Delay before a step without candidate workers is tried again. */
    duration retry_delay{std::chrono::milliseconds{500}};
    /** @brief Requests with a higher base cost are slow. */
    double slow_threshold_ms{100};
    /** @brief Fraction of the nodes that send slow requests only. */
    double slow_share{0.6};
};

/**
 * @brief Returns the nodes that send slow advice requests.
 *
 * Separates fast and slow requests: a fast request behind a slow one on the
 * same node would wait for most of its job's slack.
 * @param members All live nodes, sorted.
 * @param share Fraction of them that send slow requests.
 * @return Nodes for slow requests; with a single node, that node.
 */
[[nodiscard]] std::span<const std::string>
slow_advice_nodes(std::span<const std::string> members, double share);

/**
 * @brief Finds the node that sends the fast advice requests of a job.
 * @param members All live nodes, sorted.
 * @param share Fraction of them that send slow requests.
 * @param record Job.
 * @return The member, or nothing if the list is empty.
 */
[[nodiscard]] std::optional<std::string>
fast_advice_node(std::span<const std::string> members, double share,
                 const job_record& record);

/**
 * @brief Selects the step for which this node sends the next fast advice
 * request.
 *
 * The service accepts one call at a time from each node, so jobs are spread
 * over the nodes. A node sends requests for the first steps of new jobs on its
 * own; the leader assigns all later requests, since it tracks the progress of
 * the preceding steps.
 */
class advice_plan
{
public:
    /** @param options Options. */
    explicit advice_plan(const advice_plan_options& options);

    /**
     * @brief Selects the next request.
     * @param ledger_jobs Index of jobs.
     * @param workers Directory of workers.
     * @param members All live nodes, sorted.
     * @param now Current time.
     * @param unix_ms Current wall-clock time in Unix milliseconds.
     * @return Request, or nothing if none is due.
     */
    [[nodiscard]] std::optional<advice_request>
    next(const job_index& ledger_jobs, std::span<const worker_vm> workers,
         std::span<const std::string> members, time_point now,
         std::int64_t unix_ms);

    /**
     * @brief Builds the request for a step.
     * @param step Step.
     * @param entry Its job.
     * @param workers Directory of workers.
     * @return Request, or nothing if there is no candidate worker.
     */
    [[nodiscard]] std::optional<advice_request>
    make_request(const step_key& step, const job_entry& entry,
                 std::span<const worker_vm> workers) const;

    /**
     * @brief Records that a request was sent.
     * @param step Step.
     * @param until Time by which the response should be readable; the step is
     * not requested again before.
     */
    void on_request_sent(const step_key& step, time_point until);

    /**
     * @brief Removes the steps of jobs that have ended.
     * @param ledger_jobs Index of jobs.
     */
    void forget_ended(const job_index& ledger_jobs);

    /** @return Number of steps with a recorded request. */
    [[nodiscard]] std::size_t tracked_steps() const noexcept
    {
        return request_deadlines_.size();
    }

private:
    [[nodiscard]] bool due(const job_entry& entry, const step_key& key,
                           time_point now) const;

    advice_plan_options options_;
    std::map<step_key, time_point> request_deadlines_;
};

} // namespace rosemarytrail::fleet

#endif
