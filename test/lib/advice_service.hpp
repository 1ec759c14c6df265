#ifndef ROSEMARYTRAIL_TEST_LIB_ADVICE_SERVICE_HPP
#define ROSEMARYTRAIL_TEST_LIB_ADVICE_SERVICE_HPP

#include <test/lib/worker_fleet.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace rosemarytrail::test {

/** @brief Simulated nodes and advice service: each node sends the requests that
 * it is assigned one at a time. */
class advice_service
{
public:
    /** @param cell Cell whose dispatcher assigns the requests; outlives this.
     */
    explicit advice_service(worker_fleet& cell);

    /** @brief Nodes that take requests and never answer them. */
    std::set<std::string> silent;
    /** @brief Policy of the service. */
    std::function<bool(const fleet::step_key&, const std::string&)> allows =
        [](const fleet::step_key&, const std::string&) {
            return true;
        };
    /** @brief How long tickets are valid. */
    duration valid{std::chrono::milliseconds{2500}};
    /** @brief Number of requests, by job. */
    std::map<std::uint64_t, std::size_t> requests;

    /** @brief Continues after `advice_assignments` of the cell was cleared. */
    void forget_seen() { seen_ = 0; }

    /** @brief Runs the cell, the nodes and the service. */
    void run(duration length);

    /**
     * @brief Runs until all tasks of a job run.
     * @param job Job.
     * @param tasks Number of its tasks.
     * @param limit Longest time.
     * @return Time that it took; `limit` if they don't run by then.
     */
    [[nodiscard]] duration run_until_placed(std::uint64_t job,
                                            std::size_t tasks, duration limit);

private:
    void answer(const fleet::advice_request& request);

    worker_fleet& cell_;
    std::size_t seen_{};
    std::map<std::string, std::deque<fleet::advice_request>> queued_;
    std::map<std::string, time_point> busy_until_;
};

} // namespace rosemarytrail::test

#endif
