#ifndef ROSEMARYTRAIL_CONTROL_FWD_HPP
#define ROSEMARYTRAIL_CONTROL_FWD_HPP

namespace rosemarytrail::control {

struct partition_summary;
struct heartbeat;
struct controller_options;

class peer_network;
class controller;

} // namespace rosemarytrail::control

#endif
