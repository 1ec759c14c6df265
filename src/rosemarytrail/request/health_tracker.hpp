#ifndef ROSEMARYTRAIL_REQUEST_HEALTH_TRACKER_HPP
#define ROSEMARYTRAIL_REQUEST_HEALTH_TRACKER_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace rosemarytrail::request {

/** @brief When an upstream is ejected and how it comes back. */
struct health_options
{
    /** @brief Failures in a row that eject. */
    std::uint32_t failures_in_row{5};
    /** @brief The same while the upstream is coming back. */
    std::uint32_t failures_in_return{2};
    /** @brief Failed part of the recent requests that ejects. */
    double failed_fraction{0.5};
    /** @brief Weight of the newest request in the failed part. */
    double newest_weight{0.05};
    /** @brief Requests seen before the failed part counts. */
    std::uint32_t least_requests{20};
    /** @brief First ejection; doubles with each that follows soon. */
    duration ejection_base{std::chrono::seconds{2}};
    duration ejection_cap{std::chrono::seconds{60}};
    /** @brief Span over which an upstream comes back to its full part. */
    duration return_span{std::chrono::seconds{5}};
    /** @brief Largest part of a service's upstreams that is ejected. */
    double ejected_fraction{0.5};
};

/** @brief Health of one upstream by the evidence of its answers. */
class health_tracker
{
public:
    /**
     * @brief Notes an answer that shows the upstream in order.
     * @param options When to eject.
     * @param now Present time.
     */
    void note_success(const health_options& options, time_point now) noexcept;

    /**
     * @brief Notes a failure.
     * @param options When to eject.
     * @param may_eject False if too many are ejected already.
     * @param now Present time.
     * @return True if the upstream was ejected by it.
     */
    bool note_failure(const health_options& options, bool may_eject,
                      time_point now) noexcept;

    /**
     * @brief Tells whether the upstream is set aside.
     * @param now Present time.
     * @return True while it gets no request at all.
     */
    [[nodiscard]] bool ejected(time_point now) const noexcept;

    /**
     * @brief Part of its requests that it may get now.
     * @param options How it comes back.
     * @param now Present time.
     * @return Zero while ejected, then rising to one.
     */
    [[nodiscard]] double admitted_part(const health_options& options,
                                       time_point now) const noexcept;

private:
    std::uint32_t in_row_{};
    std::uint32_t seen_{};
    double failed_{};
    std::uint32_t ejections_{};
    time_point ejected_until_{};
};

} // namespace rosemarytrail::request

#endif
