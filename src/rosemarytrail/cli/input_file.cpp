#include <rosemarytrail/cli/input_file.hpp>

#include <rosemarytrail/documents/text_file.hpp>

namespace rosemarytrail::cli {

std::optional<std::string> read_input(const context& it,
                                      const std::string& path)
{
    auto text = documents::read_text_file(path);
    if (!text) {
        it.out.write_error({.code = result_code::usage,
                            .detail = "file " + path + " cannot be read"},
                           true);
    }
    return text;
}

} // namespace rosemarytrail::cli
