#ifndef ROSEMARYTRAIL_FLEET_ADVICE_REQUEST_HPP
#define ROSEMARYTRAIL_FLEET_ADVICE_REQUEST_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/job.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Maximum number of workers that the advice service accepts in one
 * request. */
constexpr std::size_t max_workers_per_request = 100;

/** @brief Request to the advice service: which workers may run a step. */
struct advice_request
{
    step_key step;
    /** @brief Ids of the candidate workers. */
    std::vector<std::string> workers;
    /** @brief Expected response time under the queue's policy. */
    duration expected{};

    friend bool operator==(const advice_request&,
                           const advice_request&) = default;
};

/**
 * @brief Returns the expected response time of the advice service.
 * @param policy Cost of a request.
 * @param workers Number of workers in the request.
 * @return Response time under the policy.
 */
[[nodiscard]] duration advice_cost(const advice_policy& policy,
                                   std::size_t workers);

} // namespace rosemarytrail::fleet

#endif
