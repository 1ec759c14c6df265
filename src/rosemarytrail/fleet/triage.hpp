#ifndef ROSEMARYTRAIL_FLEET_TRIAGE_HPP
#define ROSEMARYTRAIL_FLEET_TRIAGE_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace rosemarytrail::fleet {

/** @brief What delaying a job further costs its caller. */
enum class triage_class : std::uint8_t
{
    /** @brief It can still meet its latency objective. */
    on_time,
    /** @brief It can still end within 3 times the objective. */
    late,
    /** @brief Neither. */
    overdue
};

/** @brief Number of classes. */
constexpr std::size_t triage_classes = 3;

/** @brief Order of service within a class whose work exceeds the capacity. */
enum class overload_order : std::uint8_t
{
    /** @brief Classes are not distinguished: jobs before their objective come
     * before the others, the most urgent first. */
    objective,
    /** @brief Least remaining work first. */
    shortest_work,
    /** @brief Highest value per remaining work first. */
    value,
    /** @brief Latest submission first. */
    newest
};

/** @brief What is known of a job that waits. */
struct triage_view
{
    time_point accepted;
    /** @brief Deadline of the latency objective; none for work whose value
     * does not depend on its end. */
    std::optional<time_point> objective;
    /** @brief Expected time from now to the end of the job if its waiting
     * tasks start now. */
    duration remaining{};
    /** @brief Work of the tasks that are not done, in core-milliseconds. */
    double remaining_work{};
    /** @brief Work of the job relative to the mean of its queue. */
    double relative_work{1.0};
};

/**
 * @brief Returns until when the end of a job is of any value to its caller.
 * @param view Job.
 * @return Acceptance plus 3 times its objective; nothing without an objective.
 */
[[nodiscard]] std::optional<time_point> useful_until(const triage_view& view);

/**
 * @brief Assigns a class to a job.
 * @param view Job.
 * @param now Current time.
 * @return Its class.
 */
[[nodiscard]] triage_class classify(const triage_view& view, time_point now);

/**
 * @brief Returns the latest time at which the waiting tasks of a job must start
 * so that it does not fall into the next class.
 * @param view Job.
 * @param its_class Its class.
 * @return That time; the largest one if there is none.
 */
[[nodiscard]] time_point latest_start(const triage_view& view,
                                      triage_class its_class);

/**
 * @brief Returns the value of a job to its caller.
 * @param relative_work Its work relative to the mean of its queue.
 * @return Value.
 */
[[nodiscard]] double value_of(double relative_work);

/**
 * @brief Returns the position of a job in a class whose work exceeds the
 * capacity.
 * @param order Order of service.
 * @param view Job.
 * @return Key; the smallest is served first.
 */
[[nodiscard]] double overload_key(overload_order order,
                                  const triage_view& view);

/** @brief Work that must be started by some time. */
struct due_work
{
    time_point latest_start;
    double core_ms{};
};

/**
 * @brief Checks whether work can be started in time in the order of urgency.
 * @param work Work, sorted by latest start.
 * @param ahead Work in core-milliseconds that is served before.
 * @param cores Capacity in cores.
 * @param now Current time.
 * @return True if some of it would start too late.
 */
[[nodiscard]] bool exceeds_capacity(std::span<const due_work> work,
                                    double ahead, double cores, time_point now);

} // namespace rosemarytrail::fleet

#endif
