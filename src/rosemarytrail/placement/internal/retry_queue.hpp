#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_RETRY_QUEUE_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_RETRY_QUEUE_HPP

#include <rosemarytrail/placement/internal/ledger.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Tasks that wait for their next attempt, soonest first. */
class retry_queue
{
public:
    explicit retry_queue(const scheduler_options& options) noexcept
        : base_{options.retry_base}
        , cap_{options.retry_cap}
        , random_{options.seed}
    {}

    /**
     * @brief Takes a committed task off its VM and plans its next attempt.
     *
     * The wait doubles from failure to failure, with jitter; a team or a job
     * that has used up its budget waits the longest time at once.
     */
    void defer(ledger& book, task_key task, time_point now);

    /** @brief Makes ready what is due. */
    void make_due_ready(ledger& book, time_point now);

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

    [[nodiscard]] duration wait_for(ledger& book, task_key task,
                                    time_point now);
    [[nodiscard]] double next_fraction() noexcept;

    duration base_;
    duration cap_;
    std::uint64_t random_;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> entries_;
};

} // namespace rosemarytrail::placement::internal

#endif
