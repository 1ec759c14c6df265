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
 * @brief Writes entries as the log's reads give them: for each a 64-bit
 * offset, a 32-bit length (both little endian) and the payload.
 * @param entries Entries to write.
 * @return The frames.
 */
[[nodiscard]] std::string
encode_log_entries(std::span<const log_entry> entries);

/**
 * @brief Reads frames.
 * @param frames Frames as the log sent them.
 * @param from Offset that the first must have; each is one above the last.
 * @return The entries, or nothing if a frame is torn or out of order.
 */
[[nodiscard]] std::optional<std::vector<log_entry>>
decode_log_entries(std::string_view frames, std::uint64_t from);

} // namespace rosemarytrail::backends

#endif
