#ifndef ROSEMARYTRAIL_SETTINGS_FWD_HPP
#define ROSEMARYTRAIL_SETTINGS_FWD_HPP

namespace rosemarytrail::settings {

struct daemon_settings;

} // namespace rosemarytrail::settings

#endif
