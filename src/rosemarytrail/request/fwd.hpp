#ifndef ROSEMARYTRAIL_REQUEST_FWD_HPP
#define ROSEMARYTRAIL_REQUEST_FWD_HPP

#include <cstdint>

namespace rosemarytrail::request {

enum class response_status : std::uint8_t;
enum class intent_status : std::uint8_t;

struct upstream_view;
struct routing_table;
struct admission_options;
struct health_options;
struct selector_options;
struct upstream_choice;
struct retry_context;
struct intent_key;
struct intent_outcome;
struct intent_log_options;

class admission;
class health_tracker;
class intent_log;
class intent_store;
class intent_table;
class retry_budget;
class token_bucket;
class upstream_selector;

} // namespace rosemarytrail::request

#endif
