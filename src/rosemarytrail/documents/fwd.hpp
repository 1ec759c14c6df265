#ifndef ROSEMARYTRAIL_DOCUMENTS_FWD_HPP
#define ROSEMARYTRAIL_DOCUMENTS_FWD_HPP

#include <cstdint>

namespace rosemarytrail::documents {

enum class field_type : std::uint8_t;

struct key_secret;
struct field_rule;
struct field_codes;

} // namespace rosemarytrail::documents

#endif
