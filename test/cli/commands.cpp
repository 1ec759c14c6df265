#include <catch2/catch.hpp>

#include <test/cli/scripted_client.hpp>

#include <rosemarytrail/documents/document.hpp>
#include <rosemarytrail/documents/key_secret.hpp>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

using rosemarytrail::http::find_header;
using rosemarytrail::http::transport_result;
using rosemarytrail::test::cli_run;
namespace documents = rosemarytrail::documents;

namespace {

constexpr const char* two = "--entry=127.0.0.1:1,127.0.0.1:2";
constexpr const char* finished =
    R"({"job":"j","name":"n","class":"batch","phase":"finished","tasks":2,
"queued":0,"running":0,"succeeded":2,"failed":0})";

/** @brief File that is removed at the end of a test. */
class temporary_file
{
public:
    explicit temporary_file(const std::string& text)
    {
        std::ofstream{path_} << text;
    }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    ~temporary_file() { std::remove(path_.c_str()); }

    [[nodiscard]] const char* path() const noexcept { return path_.c_str(); }

private:
    std::string path_{(std::filesystem::temp_directory_path() /
                       ("rosemarytrail-test-" + documents::make_salt()))
                          .string()};
};

temporary_file job_file()
{
    return temporary_file{
        R"({"kind":"job","name":"n","team":"t","class":"batch",
"request":{"millicores":1,"memory_mib":1},"run_time_ms":1})"};
}

std::string team_document(int weight)
{
    return R"({"kind":"team","team":"t","weight":)" + std::to_string(weight) +
           R"(,"limit":{"millicores":1,"memory_mib":1,"accelerators":0}})";
}

} // namespace

TEST_CASE("A submission goes on to the next entry VM under the same id",
          "[cli]")
{
    const auto file = job_file();
    cli_run it;
    it.client.fail(transport_result::cut_off);
    it.client.answer(201, R"({"job":"j","offset":1024})");
    CHECK(it.run({"submit", file.path(), two}) == 0);
    REQUIRE(it.client.sent.size() == 2);
    CHECK(it.client.sent[1].url == "http://127.0.0.1:2/v1/jobs");
    const auto first =
        find_header(it.client.sent[0].headers, "X-Submission-Id");
    REQUIRE(first);
    CHECK(first == find_header(it.client.sent[1].headers, "X-Submission-Id"));
    CHECK(it.out.str() == "job j is accepted; record 1024\n");
}

TEST_CASE("A later refusal does not hide an unknown outcome", "[cli]")
{
    const auto file = job_file();
    cli_run it;
    it.client.fail(transport_result::timed_out);
    it.client.refuse(503, 211, true);
    CHECK(it.run({"submit", file.path(), two}) == 4);
    CHECK(it.err.str().find("ask again with --submission_id ") !=
          std::string::npos);
}

TEST_CASE("Exit codes tell refusal, silence and unknown outcome apart", "[cli]")
{
    const auto file = job_file();
    cli_run refused;
    refused.client.refuse(422, 407, true);
    CHECK(refused.run({"submit", file.path(), two}) == 1);
    CHECK(refused.client.sent.size() == 1);
    CHECK(refused.err.str() == "rosemarytrail: error 407 never_fits: d\n");
    cli_run draining;
    draining.client.refuse(503, 209, true);
    draining.client.refuse(503, 210, true);
    CHECK(draining.run({"submit", file.path(), two}) == 1);
    CHECK(draining.client.sent.size() == 2);
    cli_run silent;
    CHECK(silent.run({"submit", file.path(), two}) == 3);
    cli_run bad;
    bad.client.refuse(400, 113, true);
    CHECK(bad.run({"submit", file.path(), two}) == 2);
    cli_run read;
    read.client.fail(transport_result::timed_out);
    CHECK(read.run({"status", "j", "--entry=127.0.0.1:1", "--json"}) == 3);
    CHECK(nlohmann::json::parse(read.out.str()).at("not_run") == true);
}

TEST_CASE("A POST that may have run is never sent to another entry VM", "[cli]")
{
    for (const auto how :
         {transport_result::timed_out, transport_result::cut_off,
          transport_result::too_large}) {
        cli_run it;
        it.client.fail(how);
        CHECK(it.run({"request", "plugs", "/book", "--method=POST", two}) == 4);
        CHECK(it.client.sent.size() == 1);
    }
    cli_run unknown;
    unknown.client.refuse(504, 309, false);
    CHECK(unknown.run({"request", "plugs", "/b", "--method=POST", two}) == 4);
    CHECK(unknown.client.sent.size() == 1);
    cli_run not_run;
    not_run.client.refuse(503, 301, true);
    not_run.client.answer(200, "booked");
    CHECK(not_run.run({"request", "plugs", "/b", "--method=POST", two}) == 0);
    CHECK(not_run.out.str() == "booked\n");
    cli_run upstream;
    upstream.client.answer(500, "broken");
    CHECK(upstream.run({"request", "plugs", "/b", "--method=POST", two}) == 1);
    CHECK(upstream.client.sent.size() == 1);
}

TEST_CASE("A publication whose answer was lost is looked up", "[cli]")
{
    const temporary_file file{team_document(2)};
    cli_run lost;
    lost.client.answer(200, team_document(1), {{"ETag", "\"5\""}});
    lost.client.fail(transport_result::cut_off);
    lost.client.refuse(409, 507, true);
    lost.client.answer(200, team_document(2), {{"ETag", "\"9\""}});
    CHECK(lost.run({"publish", file.path(), two}) == 0);
    CHECK(find_header(lost.client.sent[1].headers, "If-Match") == "5");
    CHECK(lost.out.str() == "team/t is in force with revision 9\n");
    cli_run raced;
    raced.client.refuse(409, 507, true);
    CHECK(raced.run({"publish", file.path(), "--replaces=5", two}) == 1);
    CHECK(raced.err.str().find("the revision in force is 9") !=
          std::string::npos);
}

TEST_CASE("A key is published as salted hash and shown once", "[cli]")
{
    cli_run it;
    it.client.answer(200, R"({"revision":7})");
    CHECK(it.run({"key", "give", "crane", "--team=t", "--account=a", "--json",
                  two}) == 0);
    const auto shown = documents::parse_key(
        nlohmann::json::parse(it.out.str()).at("key").get<std::string>());
    REQUIRE(shown);
    const auto& body = it.client.sent.at(0).body;
    CHECK(body.find(shown->secret) == std::string::npos);
    rosemarytrail::reason why;
    const auto document = documents::parse_published(body, why);
    REQUIRE(document);
    const auto& key = std::get<rosemarytrail::key_spec>(*document);
    CHECK(documents::hash_secret(key.salt, shown->secret) == key.hash);
    cli_run failed;
    failed.client.refuse(409, 507, true);
    CHECK(failed.run(
              {"key", "give", "crane", "--team=t", "--account=a", two}) == 1);
    CHECK(failed.out.str().empty());
}

TEST_CASE("A withdrawal is tried again when another publication wins", "[cli]")
{
    const auto key = [](const char* withdrawn) {
        return R"({"kind":"key","key":"k","team":"t","account":"a","salt":")" +
               std::string(32, '0') + R"(","hash":")" + std::string(64, '0') +
               R"(","withdrawn":)" + withdrawn + "}";
    };
    cli_run it;
    it.client.answer(200, key("false"), {{"ETag", "\"5\""}});
    it.client.refuse(409, 507, true);
    it.client.answer(200, key("false"), {{"ETag", "\"9\""}});
    it.client.answer(200, R"({"revision":12})");
    CHECK(it.run({"key", "withdraw", "k", two}) == 0);
    REQUIRE(it.client.sent.size() == 4);
    CHECK(find_header(it.client.sent[3].headers, "If-Match") == "9");
    CHECK(it.client.sent[3].body.find("\"withdrawn\":true") !=
          std::string::npos);
}

TEST_CASE("A wait ends with the job", "[cli]")
{
    cli_run it;
    it.client.fail(transport_result::not_sent);
    it.client.answer(200, finished);
    CHECK(it.run({"status", "j", "--wait=over", two}) == 0);
    CHECK(it.out.str().find("finished") != std::string::npos);
    cli_run failed;
    auto text = nlohmann::json::parse(finished);
    text["failed"] = 1;
    failed.client.answer(200, text.dump());
    CHECK(failed.run({"status", "j", "--wait=over", two}) == 1);
    cli_run late;
    text["phase"] = "accepted";
    late.client.answer(200, text.dump());
    CHECK(late.run({"status", "j", "--wait=over", "--timeout=1ms", two}) == 4);
}

TEST_CASE("Answers are read as they are meant", "[cli]")
{
    cli_run cancelled;
    cancelled.client.answer(200, R"({"in_effect":true,"recorded":false})");
    CHECK(cancelled.run({"cancel", "j", two}) == 0);
    CHECK(cancelled.out.str() ==
          "job j is cancelled; in effect: yes, recorded: no\n");
    cli_run waiting;
    waiting.client.answer(200, R"({"job":"j","phase":"accepted","tasks":2,
"queued":2,"from_holder":true,"waits_for":{"code":401,
"reason":"waiting_for_room","meaning":"no VM has room","detail":"",
"since_ms":7}})");
    CHECK(waiting.run({"explain", "j", two}) == 0);
    CHECK(waiting.out.str() ==
          "job j is accepted: 0 of 2 tasks running, 2 queued, 0 succeeded, 0 "
          "failed\nit waits for 401 waiting_for_room, for 7 ms: no VM has "
          "room\n");
}

TEST_CASE("Counters are filtered", "[cli]")
{
    cli_run it;
    it.client.answer(200, "# HELP a_total a\na_total{code=\"1\"} 2\nb 3\n");
    CHECK(it.run({"counters", "--filter=a_", two}) == 0);
    CHECK(it.out.str() == "NAME     LABELS    VALUE\n"
                          "a_total  code=\"1\"  2\n");
}
