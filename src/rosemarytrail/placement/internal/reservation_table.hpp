#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_RESERVATION_TABLE_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_RESERVATION_TABLE_HPP

#include <rosemarytrail/placement/internal/vm_table.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Capacity on a VM that is reserved for the tasks of one job. */
struct reservation
{
    index job{no_index};
    index vm{no_index};
    resources amount{};
    /** @brief Released at this time if the job has not started. */
    time_point until{};
};

/** @brief Capacity reserved for jobs while other tasks still occupy it. */
class reservation_table
{
public:
    explicit reservation_table(vm_table& vms) noexcept
        : vms_{vms}
    {}

    void add(const reservation& value);

    /** @brief Releases all reservations of a job. */
    void release(index job);

    /** @brief Releases one reservation of a job, preferably on the given VM. */
    void release_one(index job, index vm);

    /**
     * @brief Releases reservations that expired or whose VM takes no tasks.
     * @return True if any reservation was released.
     */
    bool release_expired(time_point now);

    [[nodiscard]] std::size_t count(index job) const noexcept;
    [[nodiscard]] std::size_t size() const noexcept
    {
        return reservations_.size();
    }
    [[nodiscard]] std::span<const reservation> all() const noexcept
    {
        return reservations_;
    }

    /** @return Amount that is reserved for a job on a VM. */
    [[nodiscard]] resources reserved_on(index job, index vm) const noexcept;

    /**
     * @brief Scope guard that makes the capacity reserved for a job available.
     */
    class suspension
    {
    public:
        suspension(reservation_table& table, index job);
        suspension(const suspension&) = delete;
        suspension& operator=(const suspension&) = delete;
        ~suspension();

    private:
        void apply(std::int64_t sign);

        reservation_table& table_;
        index job_;
    };

private:
    vm_table& vms_;
    std::vector<reservation> reservations_;
};

} // namespace rosemarytrail::placement::internal

#endif
