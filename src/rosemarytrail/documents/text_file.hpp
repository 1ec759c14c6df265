#ifndef ROSEMARYTRAIL_DOCUMENTS_TEXT_FILE_HPP
#define ROSEMARYTRAIL_DOCUMENTS_TEXT_FILE_HPP

#include <optional>
#include <string>

namespace rosemarytrail::documents {

/**
 * @brief Reads a whole file.
 * @param path Path of the file.
 * @return Its bytes, or nothing if it cannot be read.
 */
[[nodiscard]] std::optional<std::string>
read_text_file(const std::string& path);

} // namespace rosemarytrail::documents

#endif
