#include <rosemarytrail/state/internal/codec.hpp>

#include <xxhash.h>

#include <cstring>

namespace rosemarytrail::state::internal {

std::uint64_t checksum(const void* data, std::size_t size) noexcept
{
    return XXH3_64bits(data, size);
}

std::string encode_message(capnp::MessageBuilder& message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto body = words.asBytes();
    const std::uint64_t sum = checksum(body.begin(), body.size());
    std::string out(checksum_bytes + body.size(), '\0');
    std::memcpy(out.data(), &sum, checksum_bytes);
    std::memcpy(out.data() + checksum_bytes, body.begin(), body.size());
    return out;
}

std::optional<kj::Array<capnp::word>> decode_message(std::string_view bytes)
{
    if (bytes.size() <= checksum_bytes ||
        bytes.size() % sizeof(capnp::word) != 0) {
        return std::nullopt;
    }
    std::uint64_t sum{};
    std::memcpy(&sum, bytes.data(), checksum_bytes);
    bytes.remove_prefix(checksum_bytes);
    if (sum != checksum(bytes.data(), bytes.size())) {
        return std::nullopt;
    }
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
    return words;
}

capnp::ReaderOptions reader_options(std::size_t words) noexcept
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords =
        words * max_visits_per_word + extra_traversal_words;
    options.nestingLimit = nesting_limit;
    return options;
}

void write(schema::Resources::Builder out, const resources& value)
{
    out.setMillicores(value.millicores);
    out.setMemoryMib(value.memory_mib);
    out.setAccelerators(value.accelerators);
}

resources read(schema::Resources::Reader in)
{
    return {.millicores = in.getMillicores(),
            .memory_mib = in.getMemoryMib(),
            .accelerators = in.getAccelerators()};
}

} // namespace rosemarytrail::state::internal
