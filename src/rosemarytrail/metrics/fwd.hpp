#ifndef ROSEMARYTRAIL_METRICS_FWD_HPP
#define ROSEMARYTRAIL_METRICS_FWD_HPP

namespace rosemarytrail::metrics {

class counter;
class code_counters;
class gauge;
class summary;
class registry;

} // namespace rosemarytrail::metrics

#endif
