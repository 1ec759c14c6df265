#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace {

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file{path};
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/** @return Names of metrics that stand as literals in the sources. */
std::set<std::string> metric_names()
{
    const std::regex literal{"\"(rosemarytrail_[a-z_]+)\""};
    std::set<std::string> names;
    for (const auto& it :
         std::filesystem::recursive_directory_iterator{"src/rosemarytrail"}) {
        const auto extension = it.path().extension();
        if (extension != ".cpp" && extension != ".hpp") {
            continue;
        }
        const auto text = read_file(it.path());
        for (std::sregex_iterator n{text.begin(), text.end(), literal}, end;
             n != end; ++n) {
            names.insert((*n)[1]);
        }
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
