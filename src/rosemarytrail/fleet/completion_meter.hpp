#ifndef ROSEMARYTRAIL_FLEET_COMPLETION_METER_HPP
#define ROSEMARYTRAIL_FLEET_COMPLETION_METER_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace rosemarytrail::fleet {

/** @brief Sums the work that ended over the last seconds, by service and
 * priority. */
class completion_meter
{
public:
    /** @brief Service and priority. */
    using key = std::pair<std::string, std::int32_t>;

    /** @brief Work of ended tasks, in core-milliseconds. */
    struct sums
    {
        std::int64_t declared{};
        /** @brief Time that the tasks ran; it differs from the declared one. */
        std::int64_t used{};
    };

    /** @brief Length of the window; several run times of the longer tasks, so
     * that tasks which start and end together do not dominate it. */
    static constexpr duration window{std::chrono::seconds{5}};

    /**
     * @brief Adds a task that ended.
     * @param which Service and priority of its job.
     * @param work Its work.
     * @param now Current time.
     */
    void add(const key& which, const sums& work, time_point now);

    /**
     * @brief Returns the sums over the window.
     * @param now Current time.
     * @return Sums of all services and priorities with ended tasks.
     */
    [[nodiscard]] std::map<key, sums> totals(time_point now);

private:
    /** @brief Sums of a short interval; their number is bounded by the
     * window. */
    struct bucket
    {
        time_point start;
        sums work;
    };

    std::map<key, std::deque<bucket>> buckets_;
};

} // namespace rosemarytrail::fleet

#endif
