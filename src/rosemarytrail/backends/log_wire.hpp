#ifndef ROSEMARYTRAIL_BACKENDS_LOG_WIRE_HPP
#define ROSEMARYTRAIL_BACKENDS_LOG_WIRE_HPP

#include <rosemarytrail/backends/log_client.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::backends {

/**
 * @brief Encodes entries in the frame format of the log's reads: per entry a
 * 64-bit offset, a 32-bit length (both little endian) and the payload.
 * @param entries Entries to encode.
 * @return Encoded frames.
 */
[[nodiscard]] std::string
encode_log_entries(std::span<const log_entry> entries);

/**
 * @brief Decodes frames.
 * @param frames Frames received from the log.
 * @param from Expected offset of the first entry; offsets must be consecutive.
 * @return The entries, or nothing if a frame is truncated or out of order.
 */
[[nodiscard]] std::optional<std::vector<log_entry>>
decode_log_entries(std::string_view frames, std::uint64_t from);

} // namespace rosemarytrail::backends

#endif
