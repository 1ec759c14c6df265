#ifndef ROSEMARYTRAIL_CORE_RESOURCES_HPP
#define ROSEMARYTRAIL_CORE_RESOURCES_HPP

#include <algorithm>
#include <cstdint>

namespace rosemarytrail {

/** @brief Amount of what a VM offers and a task asks for. */
struct resources
{
    /** @brief Processor time, in thousandths of a core. */
    std::int64_t millicores{};
    /** @brief Memory, in MiB. */
    std::int64_t memory_mib{};
    /** @brief Whole accelerators. */
    std::int64_t accelerators{};

    constexpr resources& operator+=(const resources& other) noexcept
    {
        millicores += other.millicores;
        memory_mib += other.memory_mib;
        accelerators += other.accelerators;
        return *this;
    }

    constexpr resources& operator-=(const resources& other) noexcept
    {
        millicores -= other.millicores;
        memory_mib -= other.memory_mib;
        accelerators -= other.accelerators;
        return *this;
    }

    [[nodiscard]] friend constexpr resources
    operator+(resources lhs, const resources& rhs) noexcept
    {
        return lhs += rhs;
    }

    [[nodiscard]] friend constexpr resources
    operator-(resources lhs, const resources& rhs) noexcept
    {
        return lhs -= rhs;
    }

    [[nodiscard]] friend constexpr resources operator*(const resources& lhs,
                                                       std::int64_t n) noexcept
    {
        return {lhs.millicores * n, lhs.memory_mib * n, lhs.accelerators * n};
    }

    [[nodiscard]] friend constexpr bool operator==(const resources&,
                                                   const resources&) = default;

    /**
     * @brief Tells whether this amount fits into another in each dimension.
     * @param room Amount that is free.
     * @return True if no dimension exceeds the room.
     */
    [[nodiscard]] constexpr bool fits_in(const resources& room) const noexcept
    {
        return millicores <= room.millicores && memory_mib <= room.memory_mib &&
               accelerators <= room.accelerators;
    }

    /** @return True if no dimension is below zero. */
    [[nodiscard]] constexpr bool is_valid() const noexcept
    {
        return millicores >= 0 && memory_mib >= 0 && accelerators >= 0;
    }

    /** @return True if every dimension is zero. */
    [[nodiscard]] constexpr bool is_zero() const noexcept
    {
        return *this == resources{};
    }
};

/**
 * @brief Largest fraction that an amount takes of a total in any dimension.
 * @param used Amount in use.
 * @param total Total it is measured against; empty dimensions are passed over.
 * @return Fraction, zero if the total is empty.
 */
[[nodiscard]] constexpr double dominant_share(const resources& used,
                                              const resources& total) noexcept
{
    const auto part = [](std::int64_t n, std::int64_t of) {
        return of > 0 ? static_cast<double>(n) / static_cast<double>(of) : 0.0;
    };
    return std::max({part(used.millicores, total.millicores),
                     part(used.memory_mib, total.memory_mib),
                     part(used.accelerators, total.accelerators)});
}

/**
 * @brief Lesser amount in each dimension.
 * @param lhs First amount.
 * @param rhs Second amount.
 * @return Amount that fits into both.
 */
[[nodiscard]] constexpr resources lesser(const resources& lhs,
                                         const resources& rhs) noexcept
{
    return {std::min(lhs.millicores, rhs.millicores),
            std::min(lhs.memory_mib, rhs.memory_mib),
            std::min(lhs.accelerators, rhs.accelerators)};
}

} // namespace rosemarytrail

#endif
