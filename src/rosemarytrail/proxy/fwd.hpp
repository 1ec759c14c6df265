#ifndef ROSEMARYTRAIL_PROXY_FWD_HPP
#define ROSEMARYTRAIL_PROXY_FWD_HPP

namespace rosemarytrail::proxy {

struct proxy_options;

class proxy_handler;

} // namespace rosemarytrail::proxy

#endif
