#ifndef ROSEMARYTRAIL_LOGGING_FWD_HPP
#define ROSEMARYTRAIL_LOGGING_FWD_HPP

#include <cstdint>

namespace rosemarytrail::logging {

enum class level : std::uint8_t;

} // namespace rosemarytrail::logging

#endif
