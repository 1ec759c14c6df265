#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_OUTBOX_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_OUTBOX_HPP

#include <rosemarytrail/placement/internal/index.hpp>
#include <rosemarytrail/placement/scheduler.hpp>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Decisions taken but not yet handed to the caller. */
class outbox
{
public:
    void push(task_key task, decision value)
    {
        items_.push_back({.task = task, .value = std::move(value)});
    }

    /**
     * @brief Takes back a start that the caller has not seen.
     * @return True if there was one; nothing of it can be running.
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

    /** @return True if the task's start was not handed out yet. */
    [[nodiscard]] bool has_start(task_key task) const
    {
        return std::any_of(items_.begin(), items_.end(), [&](const item& it) {
            return it.task == task && it.value.kind == decision_kind::start;
        });
    }

    /** @brief Drops all decisions on a job but its rejection. */
    void drop_stops(index job)
    {
        std::erase_if(items_, [&](const item& it) {
            return it.task.job == job &&
                   (it.value.kind == decision_kind::stop ||
                    it.value.kind == decision_kind::checkpoint);
        });
    }

    /** @brief Drops a stop that no longer has an object. */
    void drop_stop(task_key task)
    {
        std::erase_if(items_, [&](const item& it) {
            return it.task == task &&
                   (it.value.kind == decision_kind::stop ||
                    it.value.kind == decision_kind::checkpoint);
        });
    }

    /** @return The oldest decisions, which are no longer kept. */
    [[nodiscard]] std::vector<decision> take(std::size_t most)
    {
        std::vector<decision> taken;
        const auto n = std::min(most, items_.size());
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
