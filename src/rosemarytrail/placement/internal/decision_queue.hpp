#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_DECISION_QUEUE_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_DECISION_QUEUE_HPP

#include <rosemarytrail/placement/internal/index.hpp>
#include <rosemarytrail/placement/scheduler.hpp>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Queue of decisions that were not returned to the caller yet. */
class decision_queue
{
public:
    void push(task_key task, decision value)
    {
        items_.push_back({.task = task, .value = std::move(value)});
    }

    /**
     * @brief Withdraws the start of a task if it was not returned yet.
     * @return True if a start was withdrawn; the task cannot be running.
     */
    bool withdraw_start(task_key task)
    {
        const auto it =
            std::find_if(items_.begin(), items_.end(), [&](const item& value) {
                return value.task == task &&
                       value.value.kind == decision_kind::start;
            });
        const bool found = it != items_.end();
        if (found) {
            items_.erase(it);
        }
        return found;
    }

    /** @return True if the start of the task is queued. */
    [[nodiscard]] bool has_start(task_key task) const
    {
        return std::any_of(items_.begin(), items_.end(), [&](const item& it) {
            return it.task == task && it.value.kind == decision_kind::start;
        });
    }

    /** @brief Drops all stops and checkpoints of a job. */
    void drop_stops(index job)
    {
        std::erase_if(items_, [&](const item& it) {
            return it.task.job == job &&
                   (it.value.kind == decision_kind::stop ||
                    it.value.kind == decision_kind::checkpoint);
        });
    }

    /** @brief Drops the stop or checkpoint of a task that has ended. */
    void drop_stop(task_key task)
    {
        std::erase_if(items_, [&](const item& it) {
            return it.task == task &&
                   (it.value.kind == decision_kind::stop ||
                    it.value.kind == decision_kind::checkpoint);
        });
    }

    /**
     * @brief Removes and returns the oldest decisions.
     * @return At most `max_decisions` decisions.
     */
    [[nodiscard]] std::vector<decision> take(std::size_t max_decisions)
    {
        std::vector<decision> taken;
        const auto n = std::min(max_decisions, items_.size());
        taken.reserve(n);
        for (std::size_t it = 0; it < n; ++it) {
            taken.push_back(std::move(items_.front().value));
            items_.pop_front();
        }
        return taken;
    }

    [[nodiscard]] std::size_t size() const noexcept { return items_.size(); }

private:
    struct item
    {
        task_key task{};
        decision value{};
    };

    std::deque<item> items_;
};

} // namespace rosemarytrail::placement::internal

#endif
