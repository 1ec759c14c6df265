#ifndef ROSEMARYTRAIL_FLEET_FWD_HPP
#define ROSEMARYTRAIL_FLEET_FWD_HPP

#include <cstdint>

namespace rosemarytrail::fleet {

enum class job_state : std::uint8_t;
enum class entry_kind : std::uint8_t;
enum class run_end : std::uint8_t;
enum class start_result : std::uint8_t;

struct resource_amounts;
struct step_spec;
struct job_spec;
struct queue_policy;
struct job_record;
struct step_key;
struct task_key;
struct worker_vm;
struct cell_config;

class job_index;
class dispatcher;
class advice_plan;
class share_meter;

} // namespace rosemarytrail::fleet

#endif
