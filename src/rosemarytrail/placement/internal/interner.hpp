#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_INTERNER_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_INTERNER_HPP

#include <rosemarytrail/placement/internal/index.hpp>

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace rosemarytrail::placement::internal {

/**
 * @brief Gives ids dense numbers, so that tables are plain arrays.
 * @tparam Id Type of the ids.
 */
template <typename Id>
class interner
{
public:
    /** @return Number of the id; a new or reused one if it had none. */
    index intern(const Id& id)
    {
        const auto it = numbers_.find(id);
        if (it != numbers_.end()) {
            return it->second;
        }
        const index n = take_number();
        numbers_.emplace(id, n);
        return n;
    }

    /** @return Number of the id, or `no_index`. */
    [[nodiscard]] index find(const Id& id) const
    {
        const auto it = numbers_.find(id);
        return it == numbers_.end() ? no_index : it->second;
    }

    /** @brief Frees the number of an id for reuse. */
    void release(const Id& id)
    {
        const auto it = numbers_.find(id);
        if (it != numbers_.end()) {
            unused_.push_back(it->second);
            numbers_.erase(it);
        }
    }

    /** @return One more than the greatest number given out. */
    [[nodiscard]] std::size_t size() const noexcept { return size_; }

private:
    index take_number()
    {
        if (unused_.empty()) {
            return static_cast<index>(size_++);
        }
        const index n = unused_.back();
        unused_.pop_back();
        return n;
    }

    std::unordered_map<Id, index> numbers_;
    std::vector<index> unused_;
    std::size_t size_{};
};

} // namespace rosemarytrail::placement::internal

#endif
