#ifndef ROSEMARYTRAIL_STATE_FWD_HPP
#define ROSEMARYTRAIL_STATE_FWD_HPP

#include <cstdint>

namespace rosemarytrail::state {

enum class job_phase : std::uint8_t;

struct batch;
struct member_state;
struct partition_state;
struct vm_state;
struct job_state;
struct document_state;
struct record_result;

class cell_state;
class append_queue;
class freshness;
class takeover;

} // namespace rosemarytrail::state

#endif
