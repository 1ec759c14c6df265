#ifndef ROSEMARYTRAIL_FLEET_REJECTED_ATTEMPTS_HPP
#define ROSEMARYTRAIL_FLEET_REJECTED_ATTEMPTS_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace rosemarytrail::fleet {

/**
 * @brief Remembers when rejected jobs were first submitted, so that a repeated
 * call keeps the age of the first attempt.
 */
class rejected_attempts
{
public:
    /** @brief Maximum number of jobs; the oldest are dropped first. */
    static constexpr std::size_t max_jobs = 4096;
    /** @brief How long a job is remembered; longer than 4 repeats with the
     * maximum delay take. */
    static constexpr duration retention{std::chrono::seconds{120}};

    /**
     * @brief Records that a submission was rejected.
     * @param job Job id.
     * @param now Current time.
     */
    void record(std::uint64_t job, time_point now);

    /**
     * @brief Returns the time since the first rejected attempt.
     * @param job Job id.
     * @param now Current time.
     * @return Age of the job; zero if no attempt is known.
     */
    [[nodiscard]] duration age(std::uint64_t job, time_point now) const;

    /** @return Number of jobs in the table. */
    [[nodiscard]] std::size_t size() const noexcept { return first_.size(); }

private:
    std::unordered_map<std::uint64_t, time_point> first_;
    /** @brief Jobs in the order of their first attempt. */
    std::deque<std::pair<time_point, std::uint64_t>> order_;
};

} // namespace rosemarytrail::fleet

#endif
