#include <rosemarytrail/documents/text_file.hpp>

#include <array>
#include <fstream>

namespace rosemarytrail::documents {

std::optional<std::string> read_text_file(const std::string& path)
{
    constexpr std::size_t chunk_bytes = 4096;
    std::ifstream file{path, std::ios::binary};
    std::string text;
    std::array<char, chunk_bytes> buf{};
    while (file.read(buf.data(), buf.size()) || file.gcount() > 0) {
        text.append(buf.data(), static_cast<std::size_t>(file.gcount()));
    }
    if (!file.is_open() || file.bad()) {
        return std::nullopt;
    }
    return text;
}

} // namespace rosemarytrail::documents
