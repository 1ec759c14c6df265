#ifndef ROSEMARYTRAIL_FLEET_MSGPACK_HPP
#define ROSEMARYTRAIL_FLEET_MSGPACK_HPP

#include <nlohmann/json.hpp>

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace rosemarytrail::fleet {

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
        return read(nlohmann::json::from_msgpack(bytes.begin(), bytes.end()));
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    } catch (const std::out_of_range&) {
        return std::nullopt;
    }
}

} // namespace rosemarytrail::fleet

#endif
