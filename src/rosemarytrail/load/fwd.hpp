#ifndef ROSEMARYTRAIL_LOAD_FWD_HPP
#define ROSEMARYTRAIL_LOAD_FWD_HPP

namespace rosemarytrail::load {

struct experiment;
struct phase;
struct target;
struct planned_request;
struct target_result;
struct phase_result;

class balancer;
class latency_recorder;

} // namespace rosemarytrail::load

#endif
