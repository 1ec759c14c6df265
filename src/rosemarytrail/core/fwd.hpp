#ifndef ROSEMARYTRAIL_CORE_FWD_HPP
#define ROSEMARYTRAIL_CORE_FWD_HPP

#include <cstdint>

namespace rosemarytrail {

enum class result_code : std::uint16_t;
enum class job_class : std::uint8_t;

struct reason;
struct resources;
struct job_spec;
struct team_spec;
struct key_spec;
struct task_ref;

template <typename Tag>
class basic_id;

} // namespace rosemarytrail

#endif
