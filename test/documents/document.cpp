#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <rosemarytrail/documents/document.hpp>
#include <rosemarytrail/documents/key_secret.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace rosemarytrail; // NOLINT(google-build-using-namespace)
using documents::format_job;
using documents::format_published;
using documents::parse_job;
using documents::parse_published;
using nlohmann::json;

namespace {

json batch_job()
{
    return json::parse(R"({"kind":"job","name":"herd","team":"kaalukast",
        "class":"batch","tasks":2,"request":{"millicores":500,
        "memory_mib":256,"accelerators":0},"run_time_ms":1000})");
}

struct fault
{
    const char* patch;
    result_code code;
    const char* detail;
};

} // namespace

TEST_CASE("Each fault of a job names field, value and what is allowed",
          "[documents]")
{
    const std::vector<fault> faults{
        {R"({"taks":3})", result_code::document_field_unknown,
         "field taks is unknown, its value is 3; allowed: kind, name,"},
        {R"({"tasks":"3"})", result_code::document_field_type,
         "field tasks is \"3\"; allowed: whole number from 1 to 10000"},
        {R"({"tasks":1.5})", result_code::document_field_type,
         "field tasks is 1.5; allowed: whole number from 1 to 10000"},
        {R"({"tasks":0})", result_code::document_field_range,
         "field tasks is 0; allowed: whole number from 1 to 10000"},
        {R"({"tasks":4294967297})", result_code::document_field_range,
         "field tasks is 4294967297; allowed: whole number from 1 to 10000"},
        {R"({"team":null})", result_code::document_field_missing,
         "field team is missing; allowed: 1 to 64 letters"},
        {R"({"team":"a/b"})", result_code::document_field_range,
         "field team is \"a/b\"; allowed: 1 to 64 letters"},
        {R"({"name":"a\nb"})", result_code::document_field_range,
         R"(field name is "a\nb"; allowed: 1 to 64 letters)"},
        {R"({"request":{"millicores":-1}})", result_code::document_field_range,
         "field request.millicores is -1; allowed: whole number from 1 to"},
        {R"({"class":"cron"})", result_code::document_field_range,
         "field class is \"cron\"; allowed: service, batch or gang"},
        {R"({"class":"service","run_time_ms":0})",
         result_code::document_field_missing,
         "field service is missing; allowed for class service"},
        {R"({"service":"plugs"})", result_code::document_field_range,
         "field service is \"plugs\"; allowed: no value for class batch"},
        {R"({"run_time_ms":0})", result_code::document_field_range,
         "field run_time_ms is 0; allowed: 1 or more for class batch"}};
    for (const auto& it : faults) {
        auto document = batch_job();
        document.merge_patch(json::parse(it.patch));
        reason why;
        INFO(it.patch);
        CHECK_FALSE(parse_job(document.dump(), why));
        CHECK(why.code == it.code);
        CHECK_THAT(why.detail, Catch::Matchers::StartsWith(it.detail));
        CHECK(why.detail.find('\n') == std::string::npos);
    }
}

TEST_CASE("What is no single JSON object is refused", "[documents]")
{
    for (const std::string text :
         {"", "{", "[]", "null", "{} {}", "{\"kind\":\"job\",\"kind\":\"job\"}",
          "{\"kind\":\"\xff\"}"}) {
        reason why;
        INFO(text);
        CHECK_FALSE(parse_job(text, why));
        CHECK(why.code == result_code::document_not_json);
    }
}

TEST_CASE("A published document is checked by its kind", "[documents]")
{
    reason why;
    CHECK_FALSE(parse_published(R"({"kind":"job"})", why));
    CHECK(why.detail == "field kind is \"job\"; allowed: team or key");
    CHECK_FALSE(parse_published(R"({"kind":"team","team":"t","weight":0,
        "limit":{"millicores":1,"memory_mib":1,"accelerators":0}})",
                                why));
    CHECK(why.detail ==
          "field weight is 0; allowed: number from 0.001 to 1000000");
    CHECK_FALSE(parse_published(R"({"kind":"key","key":"k","team":"t",
        "account":"a","salt":"00","hash":"00"})",
                                why));
    CHECK(why.code == result_code::document_field_range);
}

TEST_CASE("Documents read back as they were written", "[documents]")
{
    const auto identifier = rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
    CHECK(rc::check("jobs", [&] {
        const auto policy = *rc::gen::element(
            job_class::service, job_class::batch, job_class::gang);
        const bool is_service = policy == job_class::service;
        job_spec spec{};
        spec.name = (*identifier).substr(0, 64);
        spec.team = team_id{(*identifier).substr(0, 64)};
        spec.policy = policy;
        spec.service = service_id{is_service ? "plugs" : ""};
        spec.tasks = *rc::gen::inRange<std::uint32_t>(1, 10'001);
        spec.request = {.millicores = *rc::gen::inRange(1, 1'000'001),
                        .memory_mib = *rc::gen::inRange(0, 16'777'217),
                        .accelerators = *rc::gen::inRange(0, 1'025)};
        spec.run_time = std::chrono::milliseconds{
            is_service ? 0 : *rc::gen::inRange<std::int64_t>(1, 2'592'000'001)};
        spec.urgent = *rc::gen::arbitrary<bool>();
        spec.priority =
            static_cast<std::uint8_t>(*rc::gen::inRange<int>(0, 10));
        spec.max_attempts = *rc::gen::inRange<std::uint32_t>(1, 101);
        spec.checkpointable = *rc::gen::arbitrary<bool>();
        const auto text = format_job(spec);
        reason why;
        const auto read = parse_job(text, why);
        RC_ASSERT(read.has_value());
        RC_ASSERT(format_job(*read) == text);
        RC_ASSERT(read->run_time == spec.run_time);
        RC_ASSERT(read->request == spec.request);
        RC_ASSERT(read->policy == spec.policy);
    }));
    CHECK(rc::check("teams", [&] {
        const team_spec spec{
            .team = team_id{"t"},
            .weight = *rc::gen::inRange(1, 1'000'000) / 1000.0,
            .limit = {.millicores = *rc::gen::inRange(0, 1'000'000'000)}};
        const auto text = format_published(spec);
        reason why;
        const auto read = parse_published(text, why);
        RC_ASSERT(read.has_value());
        RC_ASSERT(format_published(*read) == text);
        RC_ASSERT(std::get<team_spec>(*read).weight == spec.weight);
    }));
}

TEST_CASE("No text makes the reader throw or answer in two lines",
          "[documents]")
{
    CHECK(rc::check([] {
        auto document = batch_job();
        const auto names = rc::gen::element<std::string>(
            "kind", "name", "team", "class", "tasks", "request", "run_time_ms",
            "urgent", "priority", "service", "x\n\xc3\xa6");
        // Parentheses: braces would make arrays.
        const auto values = rc::gen::element<json>(
            json(nullptr), json(true), json(-1), json(1e300), json("x\ny"),
            json::array({1}), json::object({{"a\nb", 1}}),
            json(std::string(500, 'x')), json(18446744073709551615ULL));
        document[*names] = *values;
        auto text = document.dump();
        if (*rc::gen::inRange(0, 4) == 0) {
            text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
        }
        reason why;
        for (const bool ok : {parse_job(text, why).has_value(),
                              parse_published(text, why).has_value()}) {
            RC_ASSERT(ok || why.code != result_code::ok);
            RC_ASSERT(why.detail.find('\n') == std::string::npos);
            RC_ASSERT(why.detail.size() < 512);
        }
    }));
}

TEST_CASE("Only the secret itself has its hash", "[documents]")
{
    const auto salt = documents::make_salt();
    const auto secret = documents::make_secret();
    CHECK(salt.size() == 32);
    CHECK(secret.size() == 64);
    CHECK(secret != documents::make_secret());
    const auto hash = documents::hash_secret(salt, secret);
    CHECK(documents::same_hash(hash, documents::hash_secret(salt, secret)));
    CHECK_FALSE(documents::same_hash(
        hash, documents::hash_secret(documents::make_salt(), secret)));
    CHECK_FALSE(
        documents::same_hash(hash, documents::hash_secret(salt, secret + "0")));
    CHECK_FALSE(documents::same_hash(hash, hash.substr(1)));
    CHECK(documents::hash_secret("a", "bc") !=
          documents::hash_secret("ab", "c"));
}

TEST_CASE("A shown key splits at its first dot", "[documents]")
{
    const auto key = documents::parse_key("crane.5ec.ret");
    REQUIRE(key);
    CHECK(key->key == key_id{"crane"});
    CHECK(key->secret == "5ec.ret");
    for (const auto* it : {"", ".", "crane", "crane.", ".secret"}) {
        CHECK_FALSE(documents::parse_key(it));
    }
}
