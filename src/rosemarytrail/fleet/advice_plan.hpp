#ifndef ROSEMARYTRAIL_FLEET_ADVICE_PLAN_HPP
#define ROSEMARYTRAIL_FLEET_ADVICE_PLAN_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/advice_question.hpp>
#include <rosemarytrail/fleet/job_board.hpp>
#include <rosemarytrail/fleet/worker_vm.hpp>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief How advice is asked for. */
struct advice_plan_options
{
    /** @brief This node among the members. */
    std::string member;
    /** @brief Most workers that one question may name. */
    std::size_t most_workers{workers_per_question};
    /** @brief Pause before a question without workers is worded again. */
    duration pause{std::chrono::milliseconds{500}};
    /** @brief A question that takes longer counts as long. */
    double long_ms{100};
    /** @brief Part of the nodes that ask the long questions only. */
    double long_share{0.6};
};

/**
 * @brief Tells which nodes ask the long questions.
 *
 * Answers queues with short and with long questions side by side: a short
 * question behind a long one on the same node would wait for most of its job's
 * slack, so the nodes are split between the two.
 * @param members All live nodes, sorted.
 * @param share Part of them that ask the long questions.
 * @return Those nodes; with a single node, that one.
 */
[[nodiscard]] std::span<const std::string>
long_advice_nodes(std::span<const std::string> members, double share);

/**
 * @brief Finds the node that asks the short questions of a job.
 * @param members All live nodes, sorted.
 * @param share Part of them that ask the long questions.
 * @param record Job.
 * @return The member, or nothing if there are none.
 */
[[nodiscard]] std::optional<std::string>
short_advice_node(std::span<const std::string> members, double share,
                  const job_record& record);

/**
 * @brief Decides for which step this node asks a short question next.
 *
 * The service takes one call at a time from each node, so the jobs are spread
 * over the nodes. A node asks by itself about the steps that a new job begins
 * with; all later questions are given out by the leader, which knows how far
 * the steps before are.
 */
class advice_plan
{
public:
    /** @param options How to ask. */
    explicit advice_plan(const advice_plan_options& options);

    /**
     * @brief Chooses the next question.
     * @param board Jobs.
     * @param workers Directory of workers.
     * @param members All live nodes, sorted.
     * @param now Present time.
     * @return Question, or nothing if none is due.
     */
    [[nodiscard]] std::optional<advice_question>
    next(const job_board& board, std::span<const worker_vm> workers,
         std::span<const std::string> members, time_point now);

    /**
     * @brief Words the question about a step.
     * @param step Step.
     * @param entry Its job.
     * @param workers Directory of workers.
     * @return Question, or nothing if there is no worker to ask about.
     */
    [[nodiscard]] std::optional<advice_question>
    question(const step_key& step, const job_entry& entry,
             std::span<const worker_vm> workers) const;

    /**
     * @brief Notes that a question was asked.
     * @param step Step.
     * @param until When the answer is expected to be readable at the latest.
     */
    void asked(const step_key& step, time_point until);

    /**
     * @brief Forgets steps of jobs that have ended.
     * @param board Jobs.
     */
    void forget_ended(const job_board& board);

    /** @return Steps that are remembered. */
    [[nodiscard]] std::size_t remembered() const noexcept
    {
        return asked_until_.size();
    }

private:
    [[nodiscard]] bool due(const job_entry& entry, const step_key& key,
                           time_point now) const;

    advice_plan_options options_;
    std::map<step_key, time_point> asked_until_;
};

} // namespace rosemarytrail::fleet

#endif
