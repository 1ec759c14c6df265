#ifndef ROSEMARYTRAIL_FLEET_MSGPACK_HPP
#define ROSEMARYTRAIL_FLEET_MSGPACK_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace rosemarytrail::fleet {

/** @brief Maximum nesting of arrays and objects in encoded bytes; what nodes
 * write nests a few levels deep. */
constexpr std::size_t max_msgpack_depth = 32;

/**
 * @brief Parses MessagePack bytes, which may come from another writer: parsing
 * recurses, so bytes that nest without a limit would exhaust the stack.
 * @param bytes Encoded bytes.
 * @return Value, or a discarded one, which throws on any access, if the bytes
 * are malformed or nest deeper than `max_msgpack_depth`.
 */
[[nodiscard]] nlohmann::json parse_msgpack(std::string_view bytes);

/**
 * @brief Encodes a value as MessagePack.
 * @param value Value.
 * @return Encoded bytes.
 */
[[nodiscard]] inline std::string pack(const nlohmann::json& value)
{
    std::string bytes;
    nlohmann::json::to_msgpack(value, bytes);
    return bytes;
}

/**
 * @brief Decodes MessagePack bytes.
 * @param bytes Encoded bytes.
 * @param read Converts the decoded value; throws on a value of the wrong type
 * or a missing one.
 * @return Result of the conversion, or nothing if it or the decoding throws.
 */
template <typename Read>
[[nodiscard]] auto unpack(std::string_view bytes, Read read)
    -> std::optional<decltype(read(nlohmann::json{}))>
{
    try {
        const auto value = parse_msgpack(bytes);
        if (value.is_discarded()) {
            return std::nullopt;
        }
        return read(value);
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    } catch (const std::out_of_range&) {
        return std::nullopt;
    }
}

} // namespace rosemarytrail::fleet

#endif
