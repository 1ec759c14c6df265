#ifndef ROSEMARYTRAIL_CELL_STALL_DETECTOR_HPP
#define ROSEMARYTRAIL_CELL_STALL_DETECTOR_HPP

#include <rosemarytrail/core/time.hpp>

#include <optional>

namespace rosemarytrail::cell {

/** @brief Limits of a `stall_detector`. */
struct stall_detector_options
{
    /** @brief Maximum time between two ticks of a process that runs. */
    duration max_gap{std::chrono::milliseconds{300}};
    /** @brief How long a process counts as stalled after it runs again; by then
     * it has read what arrived in the meantime. */
    duration recovery{std::chrono::milliseconds{250}};
};

/**
 * @brief Detects that the process was paused.
 *
 * Messages that arrived during the pause wait in socket buffers, and nothing
 * tells how old they are. A process that was just paused therefore rejects
 * requests to act on behalf of another one.
 */
class stall_detector
{
public:
    /** @param options Limits. */
    explicit stall_detector(const stall_detector_options& options)
        : options_{options}
    {}

    /**
     * @brief Records that the process runs; called at short intervals.
     * @param now Current time, on a clock that advances during a suspension.
     */
    void on_tick(time_point now) noexcept
    {
        if (last_tick_ && now - *last_tick_ > options_.max_gap) {
            stalled_until_ = now + options_.recovery;
        }
        last_tick_ = now;
    }

    /**
     * @brief Checks whether the process was paused recently.
     * @param now Current time.
     * @return True if messages may have waited since before a pause.
     */
    [[nodiscard]] bool is_stalled(time_point now) const noexcept
    {
        return now < stalled_until_ ||
               (last_tick_ && now - *last_tick_ > options_.max_gap);
    }

private:
    stall_detector_options options_;
    std::optional<time_point> last_tick_;
    time_point stalled_until_;
};

} // namespace rosemarytrail::cell

#endif
