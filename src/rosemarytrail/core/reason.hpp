#ifndef ROSEMARYTRAIL_CORE_REASON_HPP
#define ROSEMARYTRAIL_CORE_REASON_HPP

#include <rosemarytrail/core/result_code.hpp>
#include <rosemarytrail/core/time.hpp>

#include <optional>
#include <string>

namespace rosemarytrail {

/**
 * @brief Why the last call on an object or a function gave no value.
 *
 * Functions that can fail return `std::optional` and take a `reason&` that
 * they set only when they return nothing.
 */
struct reason
{
    /** @brief Numbered code, listed in docs/ERRORS.md. */
    result_code code{result_code::ok};
    /** @brief One line for people; names the field and the value at fault. */
    std::string detail{};
    /** @brief When it is worth trying again, if that is known. */
    std::optional<duration> retry_after{};
};

} // namespace rosemarytrail

#endif
