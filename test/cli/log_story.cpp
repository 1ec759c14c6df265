#include <rosemarytrail/cli/log_story.hpp>

#include <test/cli/scripted_client.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

using rosemarytrail::cli::read_log_story;
using rosemarytrail::cli::to_json;
using rosemarytrail::cli::to_text;
using rosemarytrail::test::cli_run;

namespace {

const std::vector<std::string> logs{
    // One node's log, with times before each line and a line of another kind.
    R"(  0.1 n1 {"ts_ms":1000,"level":"info","program":"p","node":"n1","event":"started","zone":"z"}
  1.5 n1 {"ts_ms":9000,"level":"info","program":"p","node":"n1","event":"submit","job":"5c0e7a21d94b36f8","queue":"q"}
  1.5 n1 {"ts_ms":9010,"level":"info","program":"p","node":"n1","event":"submit","job":"00000000000000aa","queue":"q"}
a line of libcurl
  2.9 n1 {"ts_ms":10800,"level":"info","program":"p","node":"n1","event":"call_answered","job":"5c0e7a21d94b36f8","call":"submit","took_ms":"1800"}
)",
    R"({"ts_ms":9900,"level":"info","program":"p","node":"n2","event":"store_lost"}
{"ts_ms":9950,"level":"info","program":"p","node":"n2","event":"decision","job":"0000000000000000","what":"tasks lost","detail":"w1 tasks 3"}
{"ts_ms":9960,"level":"info","program":"p","node":"n2","event":"decision","job":"00000000000000aa","what":"placed","detail":"x"}
{"ts_ms":12000,"level":"info","program":"p","node":"n2","event":"advice","step":"5c0e7a21d94b36f8.0.0"}
{"ts_ms":60000,"level":"info","program":"p","node":"n2","event":"lead_lost"})"};

} // namespace

TEST_CASE("A story holds what names the job and what bears on all", "[cli]")
{
    const auto story = read_log_story("5c0e7a21d94b36f8", logs);
    std::vector<std::string> names;
    for (const auto& it : story.events) {
        names.push_back((it.about_job ? "*" : "") + it.node + " " + it.name);
    }
    CHECK(names == std::vector<std::string>{"*n1 submit", "n2 store_lost",
                                            "n2 decision", "*n1 call_answered",
                                            "*n2 advice"});
    CHECK(story.unread == 1);
    const auto text = to_text(story);
    CHECK(text.find("+0.000 s * n1 submit job=5c0e7a21d94b36f8 queue=q") !=
          std::string::npos);
    CHECK(text.find("+0.900 s   n2 store_lost") != std::string::npos);
    CHECK(text.find("1 lines are no events") != std::string::npos);
    CHECK(nlohmann::json::parse(to_json(story)).size() == 5);
}

TEST_CASE("A job that no line names has no story", "[cli]")
{
    CHECK(read_log_story("ffffffffffffffff", logs).events.empty());
}

TEST_CASE("Explain reads logs that it is given", "[cli]")
{
    const auto path = (std::filesystem::temp_directory_path() /
                       "rosemarytrail-test-log-story")
                          .string();
    std::ofstream{path} << logs[0];
    cli_run it;
    CHECK(it.run({"explain", "5c0e7a21d94b36f8", path.c_str()}) == 0);
    CHECK(it.out.str().find("* n1 submit") != std::string::npos);
    CHECK(it.run({"explain", "ffffffffffffffff", path.c_str()}) == 1);
    std::remove(path.c_str());
    CHECK(it.run({"explain", "5c0e7a21d94b36f8", path.c_str()}) == 2);
    CHECK(it.client.sent.empty());
}
