#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_INTERNER_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_INTERNER_HPP

#include <rosemarytrail/placement/internal/index.hpp>

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace rosemarytrail::placement::internal {

/**
 * @brief Maps ids to dense indices, so that tables can be plain arrays.
 * @tparam Id Type of the ids.
 */
template <typename Id>
class interner
{
public:
    /** @return Index of the id; a new or reused one if it had none. */
    index intern(const Id& id)
    {
        const auto it = indices_.find(id);
        if (it != indices_.end()) {
            return it->second;
        }
        const index n = allocate_index();
        indices_.emplace(id, n);
        return n;
    }

    /** @return Index of the id, or `no_index`. */
    [[nodiscard]] index find(const Id& id) const
    {
        const auto it = indices_.find(id);
        return it == indices_.end() ? no_index : it->second;
    }

    /** @brief Releases the index of an id for reuse. */
    void release(const Id& id)
    {
        const auto it = indices_.find(id);
        if (it != indices_.end()) {
            unused_.push_back(it->second);
            indices_.erase(it);
        }
    }

    /** @return One more than the highest index allocated so far. */
    [[nodiscard]] std::size_t size() const noexcept { return size_; }

private:
    index allocate_index()
    {
        if (unused_.empty()) {
            return static_cast<index>(size_++);
        }
        const index n = unused_.back();
        unused_.pop_back();
        return n;
    }

    std::unordered_map<Id, index> indices_;
    std::vector<index> unused_;
    std::size_t size_{};
};

} // namespace rosemarytrail::placement::internal

#endif
