#ifndef ROSEMARYTRAIL_CELL_FWD_HPP
#define ROSEMARYTRAIL_CELL_FWD_HPP

#include <cstdint>

namespace rosemarytrail::cell {

enum class feed : std::uint8_t;
enum class store_result : std::uint8_t;

struct node_options;
struct submission;

class store;
class worker_port;
class advice_port;
class decoder;
class feed_reader;
class node;

} // namespace rosemarytrail::cell

#endif
