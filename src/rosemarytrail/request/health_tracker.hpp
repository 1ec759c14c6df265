#ifndef ROSEMARYTRAIL_REQUEST_HEALTH_TRACKER_HPP
#define ROSEMARYTRAIL_REQUEST_HEALTH_TRACKER_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace rosemarytrail::request {

/** @brief Parameters of the ejection and recovery of upstreams. */
struct health_options
{
    /** @brief Consecutive failures that eject an upstream. */
    std::uint32_t consecutive_failures{5};
    /**
     * @brief Consecutive failures that eject an upstream during its recovery.
     */
    std::uint32_t recovery_failures{2};
    /**
     * @brief Failure rate, a moving average, at which an upstream is ejected.
     */
    double max_failure_rate{0.5};
    /**
     * @brief Weight of the last request in the moving average of the failure
     * rate.
     */
    double sample_weight{0.05};
    /**
     * @brief Minimum number of requests before the failure rate is considered.
     */
    std::uint32_t min_requests{20};
    /**
     * @brief Duration of the first ejection; doubles if the upstream is ejected
     * again before it has recovered.
     */
    duration initial_ejection{std::chrono::seconds{2}};
    /** @brief Maximum duration of an ejection. */
    duration max_ejection{std::chrono::seconds{60}};
    /**
     * @brief Time after an ejection over which traffic to the upstream ramps up
     * to its full share.
     */
    duration recovery_time{std::chrono::seconds{5}};
    /** @brief Maximum fraction of a service's upstreams ejected at a time. */
    double max_ejected_fraction{0.5};
};

/**
 * @brief Tracks the health of one upstream from the results of its requests.
 */
class health_tracker
{
public:
    /**
     * @brief Records a successful request.
     * @param options Ejection parameters.
     * @param now Current time.
     */
    void record_success(const health_options& options, time_point now) noexcept;

    /**
     * @brief Records a failed request.
     * @param options Ejection parameters.
     * @param may_eject False if too many of the service's upstreams are ejected
     * already.
     * @param now Current time.
     * @return True if this failure ejected the upstream.
     */
    bool record_failure(const health_options& options, bool may_eject,
                        time_point now) noexcept;

    /**
     * @brief Checks whether the upstream is ejected.
     * @param now Current time.
     * @return True while it must receive no requests.
     */
    [[nodiscard]] bool ejected(time_point now) const noexcept;

    /**
     * @brief Returns the fraction of its regular traffic that the upstream may
     * receive now.
     * @param options Recovery parameters.
     * @param now Current time.
     * @return Zero while ejected, then rising linearly to one.
     */
    [[nodiscard]] double admitted_fraction(const health_options& options,
                                           time_point now) const noexcept;

private:
    std::uint32_t failures_in_sequence_{};
    std::uint32_t samples_{};
    double failure_rate_{};
    std::uint32_t ejections_{};
    time_point ejected_until_{};
};

} // namespace rosemarytrail::request

#endif
