#ifndef ROSEMARYTRAIL_CORE_REASON_HPP
#define ROSEMARYTRAIL_CORE_REASON_HPP

#include <rosemarytrail/core/result_code.hpp>
#include <rosemarytrail/core/time.hpp>

#include <optional>
#include <string>

namespace rosemarytrail {

/**
 * @brief Error that explains why a call returned no value.
 *
 * Functions that can fail return `std::optional` and take a `reason&`, which
 * they set only if they return an empty optional.
 */
struct reason
{
    /** @brief Result code, listed in docs/ERRORS.md. */
    result_code code{result_code::ok};
    /**
     * @brief Human-readable line that names the invalid field and its value.
     */
    std::string detail{};
    /** @brief Delay after which a retry may succeed, if known. */
    std::optional<duration> retry_after{};
};

} // namespace rosemarytrail

#endif
