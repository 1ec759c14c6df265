#ifndef ROSEMARYTRAIL_FLEET_ZONE_EVACUATION_HPP
#define ROSEMARYTRAIL_FLEET_ZONE_EVACUATION_HPP

#include <cstdint>
#include <string>

namespace rosemarytrail::fleet {

/** @brief What an operator's record about a zone states. */
enum class evacuation_state : std::uint8_t
{
    /** @brief No task may be started in the zone. */
    requested,
    /** @brief The request was removed. */
    withdrawn,
    /** @brief The record cannot be read and changes nothing. */
    malformed
};

/** @brief Operator's request that no task be started in an availability
 * zone. */
struct zone_evacuation
{
    std::string zone;
    evacuation_state state{evacuation_state::requested};
};

} // namespace rosemarytrail::fleet

#endif
