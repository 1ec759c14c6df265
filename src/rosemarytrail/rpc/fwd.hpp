#ifndef ROSEMARYTRAIL_RPC_FWD_HPP
#define ROSEMARYTRAIL_RPC_FWD_HPP

namespace rosemarytrail::rpc {

struct peer_server_options;
struct peer_client_options;

class peer_handler;
class peer_server;
class peer_client;

} // namespace rosemarytrail::rpc

#endif
