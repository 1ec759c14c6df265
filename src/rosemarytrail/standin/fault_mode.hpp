#ifndef ROSEMARYTRAIL_STANDIN_FAULT_MODE_HPP
#define ROSEMARYTRAIL_STANDIN_FAULT_MODE_HPP

#include <cstdint>

namespace rosemarytrail::standin {

/** @brief Whether a stand-in answers. */
enum class fault_mode : std::uint8_t
{
    up,
    /** @brief It refuses everything and does nothing. */
    down,
    /** @brief It acts at once and answers late. */
    slow
};

} // namespace rosemarytrail::standin

#endif
