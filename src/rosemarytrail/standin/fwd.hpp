#ifndef ROSEMARYTRAIL_STANDIN_FWD_HPP
#define ROSEMARYTRAIL_STANDIN_FWD_HPP

#include <cstdint>

namespace rosemarytrail::standin {

enum class fault_mode : std::uint8_t;
enum class upstream_action : std::uint8_t;

struct log_faults;
struct vm_list_faults;
struct worker_faults;
struct worker_options;
struct upstream_faults;
struct upstream_options;
struct upstream_request;
struct upstream_reply;

class chance;
class log_store;
class vm_list_model;
class worker_model;
class run_counter;
class upstream_model;

} // namespace rosemarytrail::standin

#endif
