#ifndef ROSEMARYTRAIL_PLACEMENT_FWD_HPP
#define ROSEMARYTRAIL_PLACEMENT_FWD_HPP

#include <cstdint>

namespace rosemarytrail::placement {

enum class decision_kind : std::uint8_t;

struct vm_view;
struct team_view;
struct fleet_totals;
struct decision;
struct scheduler_options;
struct wait_report;

class scheduler;

} // namespace rosemarytrail::placement

#endif
