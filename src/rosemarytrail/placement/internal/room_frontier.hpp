#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_ROOM_FRONTIER_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_ROOM_FRONTIER_HPP

#include <rosemarytrail/core/resources.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace rosemarytrail::placement::internal {

/**
 * @brief Requests that were found not to fit, while no room is given back.
 *
 * What asks for at least as much does not fit either and needs no search.
 */
class room_frontier
{
public:
    /** @brief Forgets everything if the room has changed. */
    void sync(std::uint64_t room_version)
    {
        if (room_version != version_) {
            version_ = room_version;
            entries_.clear();
        }
    }

    /** @brief Notes that so many tasks did not fit. */
    void add(const resources& request, std::size_t tasks)
    {
        const entry value{.request = request, .tasks = tasks};
        std::erase_if(entries_,
                      [&](const entry& it) { return is_covered(it, value); });
        if (entries_.size() < most_entries) {
            entries_.push_back(value);
        }
    }

    /** @return True if it is known that so many tasks do not fit. */
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

    static constexpr std::size_t most_entries = 16;

    /** @return True if the value asks for no less than the bound. */
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
