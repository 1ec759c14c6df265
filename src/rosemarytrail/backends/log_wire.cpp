#include <rosemarytrail/backends/log_wire.hpp>

#include <cstddef>

namespace rosemarytrail::backends {

namespace {

constexpr std::size_t offset_bytes = 8;
constexpr std::size_t length_bytes = 4;
constexpr std::size_t head_bytes = offset_bytes + length_bytes;
constexpr unsigned byte_bits = 8;
constexpr std::uint64_t byte_mask = 0xff;

void append_number(std::string& out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t i = 0; i < bytes; ++i) {
        out.push_back(static_cast<char>(value & byte_mask));
        value >>= byte_bits;
    }
}

[[nodiscard]] std::uint64_t read_number(std::string_view bytes) noexcept
{
    std::uint64_t result = 0;
    for (auto it = bytes.rbegin(); it != bytes.rend(); ++it) {
        result = (result << byte_bits) | static_cast<unsigned char>(*it);
    }
    return result;
}

} // namespace

std::string encode_log_entries(std::span<const log_entry> entries)
{
    std::size_t bytes = 0;
    for (const auto& it : entries) {
        bytes += head_bytes + it.payload.size();
    }
    std::string result;
    result.reserve(bytes);
    for (const auto& it : entries) {
        append_number(result, it.offset, offset_bytes);
        append_number(result, it.payload.size(), length_bytes);
        result += it.payload;
    }
    return result;
}

std::optional<std::vector<log_entry>>
decode_log_entries(std::string_view frames, std::uint64_t from)
{
    std::vector<log_entry> result;
    while (!frames.empty()) {
        if (frames.size() < head_bytes) {
            return std::nullopt;
        }
        const auto offset = read_number(frames.substr(0, offset_bytes));
        const auto length =
            read_number(frames.substr(offset_bytes, length_bytes));
        frames.remove_prefix(head_bytes);
        if (length > frames.size() || offset != from + result.size()) {
            return std::nullopt;
        }
        result.push_back({.offset = offset,
                          .payload = std::string{frames.substr(0, length)}});
        frames.remove_prefix(length);
    }
    return result;
}

} // namespace rosemarytrail::backends
