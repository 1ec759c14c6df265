#ifndef ROSEMARYTRAIL_STATE_INTERNAL_CODEC_HPP
#define ROSEMARYTRAIL_STATE_INTERNAL_CODEC_HPP

#include <rosemarytrail/core/resources.hpp>
#include <rosemarytrail/state/generated/record.capnp.h>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/array.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarytrail::state::internal {

/** @brief Version of entries and snapshots that this build writes. */
inline constexpr std::uint16_t schema_version = 1;

/** @brief Bytes of the checksum before a message. */
inline constexpr std::size_t checksum_bytes = 8;

/** @brief Words that a reader may visit beyond the size of the message. */
inline constexpr std::uint64_t spare_traversal_words = 1024;

/** @brief Times that a reader may visit each word. */
inline constexpr std::uint64_t visits_per_word = 4;

/** @brief Depth of pointers that a reader may follow. */
inline constexpr int nesting_limit = 16;

/**
 * @brief Checksum of the bytes of a message.
 * @param data First byte.
 * @param size Number of bytes.
 * @return Checksum, in the byte order of the machine.
 */
[[nodiscard]] std::uint64_t checksum(const void* data,
                                     std::size_t size) noexcept;

/**
 * @brief Writes a message behind its checksum.
 * @param message Message to write.
 * @return Bytes that `open` takes.
 */
[[nodiscard]] std::string seal(capnp::MessageBuilder& message);

/**
 * @brief Checks the checksum and takes the words of a message.
 * @param bytes Bytes that `seal` wrote, or anything else.
 * @return Words of the message, aligned; nothing if torn or changed.
 */
[[nodiscard]] std::optional<kj::Array<capnp::word>>
open(std::string_view bytes);

/**
 * @brief Limits for reading a message of some size.
 * @param words Size of the message.
 * @return Limits under which hostile bytes cost no more than their size.
 */
[[nodiscard]] capnp::ReaderOptions reader_options(std::size_t words) noexcept;

/** @brief Text as a string that Cap'n Proto takes. */
[[nodiscard]] inline kj::StringPtr to_text(const std::string& value) noexcept
{
    return {value.data(), value.size()};
}

/** @brief Copy of a text that was read. */
[[nodiscard]] inline std::string to_string(capnp::Text::Reader value)
{
    return {value.begin(), value.size()};
}

/** @brief Writes an amount. */
void write(schema::Resources::Builder out, const resources& value);

/** @brief Reads an amount. */
[[nodiscard]] resources read(schema::Resources::Reader in);

} // namespace rosemarytrail::state::internal

#endif
