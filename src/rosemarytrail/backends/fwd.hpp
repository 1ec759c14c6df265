#ifndef ROSEMARYTRAIL_BACKENDS_FWD_HPP
#define ROSEMARYTRAIL_BACKENDS_FWD_HPP

#include <cstdint>

namespace rosemarytrail::backends {

enum class append_result : std::uint8_t;
enum class read_result : std::uint8_t;
enum class command_kind : std::uint8_t;
enum class task_phase : std::uint8_t;

struct append_outcome;
struct read_outcome;
struct log_entry;
struct vm_entry;
struct vm_list_outcome;
struct worker_command;
struct worker_batch;
struct worker_outcome;
struct task_report;
struct command_report;

class log_client;
class vm_list_client;
class worker_client;

} // namespace rosemarytrail::backends

#endif
