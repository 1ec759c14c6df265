#include <catch2/catch.hpp>

#include <test/cli/scripted_client.hpp>

#include <rosemarytrail/cli/arguments.hpp>
#include <rosemarytrail/cli/command.hpp>

#include <cstdlib>
#include <string>
#include <vector>

using rosemarytrail::reason;
using rosemarytrail::cli::parse_arguments;
using rosemarytrail::test::cli_run;

TEST_CASE("Flags, operands and entries are told apart", "[cli]")
{
    reason why;
    const std::vector<const char*> words{
        "--entry", "127.0.0.1:1,127.0.0.1:2", "key",         "give",
        "--json",  "--entry=127.0.0.1:3",     "--team",      "t",
        "crane-1", "--account=a=b",           "--timeout=2s"};
    const auto read = parse_arguments(words, why);
    INFO(why.detail);
    REQUIRE(read);
    CHECK(read->command == "key give");
    CHECK(read->operands == std::vector<std::string>{"crane-1"});
    CHECK(read->entries == std::vector<std::string>{
                               "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"});
    CHECK(read->json);
    CHECK(read->account == "a=b");
    CHECK(read->timeout == std::chrono::seconds{2});
    const std::vector<const char*> next{"list", "--nojson"};
    const auto again = parse_arguments(next, why);
    REQUIRE(again);
    CHECK_FALSE(again->json);
    CHECK(again->entries.empty());
}

TEST_CASE("Keys come from the environment unless a flag gives them", "[cli]")
{
    setenv("ROSEMARYTRAIL_KEY", "k.env", 1);
    reason why;
    const std::vector<const char*> plain{"list"};
    const std::vector<const char*> given{"list", "--key", "k.flag"};
    CHECK(parse_arguments(plain, why)->key == "k.env");
    CHECK(parse_arguments(given, why)->key == "k.flag");
    unsetenv("ROSEMARYTRAIL_KEY");
}

TEST_CASE("Wrong usage ends with 2 and one line", "[cli]")
{
    const std::vector<std::vector<const char*>> wrong{
        {},
        {"frob"},
        {"key"},
        {"key", "give"},
        {"submit"},
        {"submit", "a", "b"},
        {"list", "--taem", "x"},
        {"list", "--team", "x"},
        {"list", "--flagfile", "/dev/null"},
        {"list", "--entry"},
        {"list", "--entry", "host:80"},
        {"list", "--timeout", "0"},
        {"list", "--json=maybe"},
        {"status", "j", "--wait", "soon", "--entry", "127.0.0.1:1"},
        {"status", "j", "--read_offset", "-1"},
        {"list"},
        {"check", "no such file"},
        {"request", "plugs", "quay", "--entry", "127.0.0.1:1"},
        {"key", "give", "a.b", "--team", "t", "--account", "a"}};
    for (const auto& words : wrong) {
        cli_run it;
        INFO((words.empty() ? "" : words.back()));
        CHECK(it.run(words) == 2);
        CHECK(it.client.sent.empty());
        const auto line = it.err.str();
        CHECK(line.starts_with("rosemarytrail: error 120 usage: "));
        CHECK(line.find('\n') == line.size() - 1);
    }
}

TEST_CASE("Each subcommand has help with an example", "[cli]")
{
    for (const auto& row : rosemarytrail::cli::commands()) {
        cli_run it;
        std::vector<std::string> parts;
        std::istringstream name{std::string{row.name}};
        for (std::string part; name >> part;) {
            parts.push_back(part);
        }
        std::vector<const char*> words;
        words.reserve(parts.size() + 1);
        for (const auto& part : parts) {
            words.push_back(part.c_str());
        }
        words.push_back("--help");
        CHECK(it.run(words) == 0);
        CHECK(it.out.str().find("\nexamples:\nrosemarytrail " +
                                std::string{row.name}) != std::string::npos);
    }
}
