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

/** @brief Schema version of the entries and snapshots written here. */
inline constexpr std::uint16_t schema_version = 1;

/** @brief Size of the checksum that precedes a message. */
inline constexpr std::size_t checksum_bytes = 8;

/** @brief Words that a reader may traverse beyond the message size. */
inline constexpr std::uint64_t extra_traversal_words = 1024;

/** @brief Average number of times that a reader may visit each word. */
inline constexpr std::uint64_t max_visits_per_word = 4;

/** @brief Maximum depth of nested pointers that a reader follows. */
inline constexpr int nesting_limit = 16;

/**
 * @brief Computes the XXH3 checksum of a message.
 * @param data First byte.
 * @param size Number of bytes.
 * @return Checksum, stored in native byte order.
 */
[[nodiscard]] std::uint64_t checksum(const void* data,
                                     std::size_t size) noexcept;

/**
 * @brief Serializes a message and prefixes its checksum.
 * @param message Message to serialize.
 * @return Encoded bytes for `decode_message`.
 */
[[nodiscard]] std::string encode_message(capnp::MessageBuilder& message);

/**
 * @brief Verifies the checksum and extracts the words of a message.
 * @param bytes Output of `encode_message`, or arbitrary bytes.
 * @return Aligned words of the message; nothing if it is torn or modified.
 */
[[nodiscard]] std::optional<kj::Array<capnp::word>>
decode_message(std::string_view bytes);

/**
 * @brief Returns the limits for reading a message.
 * @param words Size of the message in words.
 * @return Limits that keep the cost of reading malicious input proportional to
 * its size.
 */
[[nodiscard]] capnp::ReaderOptions reader_options(std::size_t words) noexcept;

/** @brief Converts a string to a Cap'n Proto text. */
[[nodiscard]] inline kj::StringPtr to_text(const std::string& value) noexcept
{
    return {value.data(), value.size()};
}

/** @brief Copies a Cap'n Proto text to a string. */
[[nodiscard]] inline std::string to_string(capnp::Text::Reader value)
{
    return {value.begin(), value.size()};
}

/** @brief Writes an amount of resources. */
void write(schema::Resources::Builder out, const resources& value);

/** @brief Reads an amount of resources. */
[[nodiscard]] resources read(schema::Resources::Reader in);

} // namespace rosemarytrail::state::internal

#endif
