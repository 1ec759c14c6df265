#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_HOLD_TABLE_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_HOLD_TABLE_HPP

#include <rosemarytrail/placement/internal/vm_table.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Room on a VM that is kept for the tasks of one job. */
struct hold
{
    index job{no_index};
    index vm{no_index};
    resources amount{};
    /** @brief Given back then if the job has not started. */
    time_point until{};
};

/** @brief Room that is kept for jobs while others are on their way out. */
class hold_table
{
public:
    explicit hold_table(vm_table& vms) noexcept
        : vms_{vms}
    {}

    void add(const hold& value);

    /** @brief Gives back all that a job holds. */
    void release(index job);

    /** @brief Gives back one hold of a job, on that VM if it has one there. */
    void release_one(index job, index vm);

    /**
     * @brief Gives back what is past its time or on a VM that is gone.
     * @return True if anything was given back.
     */
    bool release_expired(time_point now);

    [[nodiscard]] std::size_t count(index job) const noexcept;
    [[nodiscard]] std::size_t size() const noexcept { return holds_.size(); }
    [[nodiscard]] std::span<const hold> all() const noexcept { return holds_; }

    /** @return What a job holds on a VM. */
    [[nodiscard]] resources held_on(index job, index vm) const noexcept;

    /**
     * @brief While it lives, the room that a job holds counts as free.
     */
    class suspension
    {
    public:
        suspension(hold_table& holds, index job);
        suspension(const suspension&) = delete;
        suspension& operator=(const suspension&) = delete;
        ~suspension();

    private:
        void apply(std::int64_t sign);

        hold_table& holds_;
        index job_;
    };

private:
    vm_table& vms_;
    std::vector<hold> holds_;
};

} // namespace rosemarytrail::placement::internal

#endif
