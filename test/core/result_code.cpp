#include <catch2/catch.hpp>

#include <rosemarytrail/core/result_code.hpp>

#include <fstream>
#include <sstream>
#include <string>

using rosemarytrail::describe;
using rosemarytrail::result_code_table;

TEST_CASE("result codes are sorted and can be looked up", "[core]")
{
    int previous = -1;
    for (const auto& row : result_code_table()) {
        CHECK(static_cast<int>(row.code) > previous);
        CHECK(describe(row.code).name == row.name);
        CHECK_FALSE(row.meaning.empty());
        previous = static_cast<int>(row.code);
    }
}

TEST_CASE("docs/ERRORS.md lists every result code", "[core]")
{
    std::ifstream file{"docs/ERRORS.md"};
    REQUIRE(file);
    std::stringstream text;
    text << file.rdbuf();
    for (const auto& row : result_code_table()) {
        std::ostringstream line;
        line << "| " << static_cast<int>(row.code) << " | `" << row.name
             << "` | " << row.http_status << " | " << row.meaning << " |";
        INFO(line.str());
        CHECK(text.str().find(line.str()) != std::string::npos);
    }
}
