#ifndef ROSEMARYTRAIL_HTTP_FWD_HPP
#define ROSEMARYTRAIL_HTTP_FWD_HPP

#include <cstdint>

namespace rosemarytrail::http {

enum class transport_result : std::uint8_t;

struct header;
struct request;
struct response;
struct server_options;
struct client_options;
struct client_request;
struct client_response;

class exchange;
class handler;
class server;
class client;

} // namespace rosemarytrail::http

#endif
