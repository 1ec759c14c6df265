#ifndef ROSEMARYTRAIL_FLEET_INTERNAL_WORK_ORDER_HPP
#define ROSEMARYTRAIL_FLEET_INTERNAL_WORK_ORDER_HPP

#include <rosemarytrail/fleet/run_times.hpp>
#include <rosemarytrail/fleet/triage.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace rosemarytrail::fleet::internal {

/** @brief What decides the order of the jobs of one class and priority. */
enum class order_criterion : std::uint8_t
{
    /** @brief Age; the job has begun. */
    begun,
    /** @brief Latest start; the class fits into the capacity. */
    urgency,
    /** @brief Configured order for overload; it does not fit, or the account's
     * share of it does not fit into the account's limit. */
    overload,
    /** @brief Age; the time of the end makes no difference any more. */
    age
};

/** @brief Estimate and rank of a job; refreshed by planning passes. */
struct job_triage
{
    /** @brief A task or a step has changed since the estimate. */
    bool stale{true};
    /** @brief Version of the run times that the estimate rests on. */
    std::uint64_t run_times_version{};
    /** @brief Longest chain of runs, corrected by observed run times. */
    duration chain{};
    /** @brief Time that the chains behind waiting tasks take. */
    duration after_start{};
    /** @brief When the chains behind running tasks are expected to end. */
    time_point running_until;
    /** @brief Work of the job, of its tasks that are not done, and of its tasks
     * that could start, in core-milliseconds. */
    double work{};
    double remaining_work{};
    double waiting_work{};
    /** @brief The work is included in the mean of the queue. */
    bool in_mean{false};
    triage_view view;
    triage_class service_class{triage_class::on_time};
    /** @brief Its class, or its account's share of it, does not fit. */
    bool overloaded{false};
    order_criterion criterion{order_criterion::urgency};
    /** @brief Position by the criterion. */
    double key{};
};

/** @brief Position of a waiting step in the order of service, apart from its
 * name. */
struct service_group
{
    /** @brief The account had exceeded its share at submission. */
    bool beyond_share{false};
    /** @brief The job can no longer end at a useful time. */
    bool overdue{false};
    std::int32_t priority{};
    triage_class service_class{triage_class::on_time};

    friend bool operator==(const service_group&,
                           const service_group&) = default;

    friend bool operator<(const service_group& a,
                          const service_group& b) noexcept
    {
        return std::tie(a.beyond_share, a.overdue, a.priority,
                        a.service_class) <
               std::tie(b.beyond_share, b.overdue, b.priority, b.service_class);
    }
};

/** @brief State of the order of service. */
struct work_order
{
    /** @brief Mean work of the jobs of a queue. */
    struct queue_work
    {
        std::size_t jobs{};
        double mean{};
    };

    run_times observed;
    /** @brief Version of the observed run times in the ledger, and when it was
     * written. */
    std::uint64_t recorded_version{};
    time_point recorded_at;
    std::map<std::string, queue_work> queues;
    time_point last_pass;
    /** @brief Jobs that have left class 0 without having met their
     * objective. */
    std::uint64_t demotions{};
    /** @brief The work of some class exceeds the capacity or the limit of an
     * account. */
    bool overloaded{false};
    /** @brief Work that may be placed out of order, in core-milliseconds. */
    double aging_credit{};
};

} // namespace rosemarytrail::fleet::internal

#endif
