#ifndef ROSEMARYTRAIL_DAEMON_FWD_HPP
#define ROSEMARYTRAIL_DAEMON_FWD_HPP

namespace rosemarytrail::daemon {

struct control_thread_options;
struct control_plane_options;
struct api_options;
struct api_ports;
struct api_call;

class control_loop;
class control_thread;
class controller_access;
class control_plane;
class shared_view;
class response_deadlines;
class api_handler;
class entry_daemon;

} // namespace rosemarytrail::daemon

#endif
