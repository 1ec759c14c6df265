#ifndef ROSEMARYTRAIL_CORE_RESOURCES_HPP
#define ROSEMARYTRAIL_CORE_RESOURCES_HPP

#include <algorithm>
#include <cstdint>

namespace rosemarytrail {

/** @brief Amount of resources that a VM offers or a task requests. */
struct resources
{
    /** @brief CPU, in thousandths of a core. */
    std::int64_t millicores{};
    /** @brief Memory in MiB. */
    std::int64_t memory_mib{};
    /** @brief Number of accelerators; not divisible. */
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
     * @brief Checks whether this amount fits into another in every dimension.
     * @param available Available amount.
     * @return True if no dimension exceeds the available amount.
     */
    [[nodiscard]] constexpr bool
    fits_in(const resources& available) const noexcept
    {
        return millicores <= available.millicores &&
               memory_mib <= available.memory_mib &&
               accelerators <= available.accelerators;
    }

    /** @return True if no dimension is negative. */
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
 * @brief Returns the dominant share: the largest fraction over all dimensions.
 * @param used Amount in use.
 * @param total Total amount; dimensions with a total of zero are skipped.
 * @return Dominant share; zero if the total is zero.
 */
[[nodiscard]] constexpr double dominant_share(const resources& used,
                                              const resources& total) noexcept
{
    const auto fraction = [](std::int64_t n, std::int64_t of) {
        return of > 0 ? static_cast<double>(n) / static_cast<double>(of) : 0.0;
    };
    return std::max({fraction(used.millicores, total.millicores),
                     fraction(used.memory_mib, total.memory_mib),
                     fraction(used.accelerators, total.accelerators)});
}

/**
 * @brief Returns the component-wise minimum of two amounts.
 * @param lhs First amount.
 * @param rhs Second amount.
 * @return Largest amount that fits into both.
 */
[[nodiscard]] constexpr resources component_min(const resources& lhs,
                                                const resources& rhs) noexcept
{
    return {std::min(lhs.millicores, rhs.millicores),
            std::min(lhs.memory_mib, rhs.memory_mib),
            std::min(lhs.accelerators, rhs.accelerators)};
}

} // namespace rosemarytrail

#endif
