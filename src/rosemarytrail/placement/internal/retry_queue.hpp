#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_RETRY_QUEUE_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_RETRY_QUEUE_HPP

#include <rosemarytrail/placement/internal/allocation_state.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Tasks that wait for a retry, earliest first. */
class retry_queue
{
public:
    explicit retry_queue(const scheduler_options& options) noexcept
        : base_{options.retry_base}
        , cap_{options.retry_cap}
        , random_{options.seed}
    {}

    /**
     * @brief Removes a committed task from its VM and schedules its retry.
     *
     * The delay doubles with each failure and has jitter. If the retry budget
     * of the team or the job is spent, the maximum delay applies.
     */
    void defer(allocation_state& tables, task_key task, time_point now);

    /** @brief Makes the tasks whose retry is due ready. */
    void make_due_ready(allocation_state& tables, time_point now);

private:
    struct entry
    {
        time_point due{};
        std::uint64_t serial{};
        task_key task{};
        std::uint32_t attempt{};

        // NOLINTBEGIN(modernize-use-nullptr)
        [[nodiscard]] friend auto operator<=>(const entry&,
                                              const entry&) = default;
        // NOLINTEND(modernize-use-nullptr)
    };

    [[nodiscard]] duration wait_for(allocation_state& tables, task_key task,
                                    time_point now);
    [[nodiscard]] double next_fraction() noexcept;

    duration base_;
    duration cap_;
    std::uint64_t random_;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> entries_;
};

} // namespace rosemarytrail::placement::internal

#endif
