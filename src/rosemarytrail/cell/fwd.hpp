#ifndef ROSEMARYTRAIL_CELL_FWD_HPP
#define ROSEMARYTRAIL_CELL_FWD_HPP

#include <cstdint>

namespace rosemarytrail::cell {

enum class feed : std::uint8_t;
enum class node_group : std::uint8_t;
enum class store_result : std::uint8_t;
enum class entry_result : std::uint8_t;
enum class message_result : std::uint8_t;

struct node_options;
struct client_call;
struct client_answer;
struct member_name;
struct peer_message;

class store;
class worker_port;
class advice_port;
class decoder;
class feed_reader;
class outbox;
class peer_link;
class node;

} // namespace rosemarytrail::cell

#endif
