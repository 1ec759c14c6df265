#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_CAPACITY_BOUNDS_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_CAPACITY_BOUNDS_HPP

#include <rosemarytrail/core/resources.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace rosemarytrail::placement::internal {

/**
 * @brief Requests known not to fit until capacity is released.
 *
 * A request for at least as much does not fit either, so it needs no search.
 */
class capacity_bounds
{
public:
    /** @brief Clears the bounds if the capacity has changed. */
    void sync(std::uint64_t capacity_version)
    {
        if (capacity_version != version_) {
            version_ = capacity_version;
            entries_.clear();
        }
    }

    /**
     * @brief Records that this many tasks with the request do not fit together.
     */
    void add(const resources& request, std::size_t tasks)
    {
        const entry value{.request = request, .tasks = tasks};
        std::erase_if(entries_,
                      [&](const entry& it) { return is_covered(it, value); });
        if (entries_.size() < max_entries) {
            entries_.push_back(value);
        }
    }

    /** @return True if this many tasks are known not to fit. */
    [[nodiscard]] bool blocks(const resources& request, std::size_t tasks) const
    {
        const entry value{.request = request, .tasks = tasks};
        return std::any_of(
            entries_.begin(), entries_.end(),
            [&](const entry& it) { return is_covered(value, it); });
    }

private:
    struct entry
    {
        resources request{};
        std::size_t tasks{};
    };

    static constexpr std::size_t max_entries = 16;

    /** @return True if the value requests at least as much as the bound. */
    [[nodiscard]] static bool is_covered(const entry& value, const entry& bound)
    {
        return bound.request.fits_in(value.request) &&
               bound.tasks <= value.tasks;
    }

    std::vector<entry> entries_;
    std::uint64_t version_{};
};

} // namespace rosemarytrail::placement::internal

#endif
