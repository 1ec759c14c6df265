#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <string_view>

namespace {

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file{path};
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/** @brief Adds the literals of a source that have the form of a name. */
void add_names(const std::string& source, std::set<std::string>& names)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz_";
    const std::string start = "\"rosemarytrail_";
    for (auto at = source.find(start); at != std::string::npos;
         at = source.find(start, at + 1)) {
        const auto end = source.find_first_not_of(letters, at + 1);
        if (end != std::string::npos && source[end] == '"') {
            names.insert(source.substr(at + 1, end - at - 1));
        }
    }
}

/** @return Names of metrics that stand as literals in the sources. */
std::set<std::string> metric_names()
{
    std::set<std::string> names;
    for (const auto& it :
         std::filesystem::recursive_directory_iterator{"src/rosemarytrail"}) {
        const auto extension = it.path().extension();
        if (extension != ".cpp" && extension != ".hpp") {
            continue;
        }
        add_names(read_file(it.path()), names);
    }
    return names;
}

} // namespace

TEST_CASE("docs/OPERATIONS.md says what to do about each metric", "[metrics]")
{
    const auto page = read_file("docs/OPERATIONS.md");
    const auto names = metric_names();
    CHECK(names.count("rosemarytrail_jobs_accepted_total") == 1);
    for (const auto& it : names) {
        INFO(it);
        CHECK(page.find("`" + it + "`") != std::string::npos);
    }
}
