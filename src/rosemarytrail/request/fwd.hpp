#ifndef ROSEMARYTRAIL_REQUEST_FWD_HPP
#define ROSEMARYTRAIL_REQUEST_FWD_HPP

namespace rosemarytrail::request {

struct upstream_view;
struct routing_table;
struct key_table;

class intent_store;

} // namespace rosemarytrail::request

#endif
