#ifndef ROSEMARYTRAIL_DOCUMENTS_FWD_HPP
#define ROSEMARYTRAIL_DOCUMENTS_FWD_HPP

namespace rosemarytrail::documents {

struct key_secret;

} // namespace rosemarytrail::documents

#endif
