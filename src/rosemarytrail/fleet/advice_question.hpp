#ifndef ROSEMARYTRAIL_FLEET_ADVICE_QUESTION_HPP
#define ROSEMARYTRAIL_FLEET_ADVICE_QUESTION_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/job.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Most workers that the advice service takes in one question. */
constexpr std::size_t workers_per_question = 100;

/** @brief Question to the advice service: which workers may run a step. */
struct advice_question
{
    step_key step;
    /** @brief Ids of the workers that it names. */
    std::vector<std::string> workers;
    /** @brief How long the answer takes by the queue's policy. */
    duration expected{};

    friend bool operator==(const advice_question&,
                           const advice_question&) = default;
};

/**
 * @brief Tells how long the advice service takes for an answer.
 * @param policy Cost of asking.
 * @param workers Number of workers that the question names.
 * @return Time by the policy.
 */
[[nodiscard]] duration advice_cost(const advice_policy& policy,
                                   std::size_t workers);

} // namespace rosemarytrail::fleet

#endif
