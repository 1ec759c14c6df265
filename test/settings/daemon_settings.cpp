#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <rosemarytrail/settings/address.hpp>
#include <rosemarytrail/settings/daemon_settings.hpp>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace rosemarytrail; // NOLINT(google-build-using-namespace)
using documents::field_rule;
using documents::field_type;
using nlohmann::json;
using settings::daemon_settings_rules;
using settings::parse_daemon_settings;

namespace {

json least_settings()
{
    return {{"api_port", 7001},
            {"peer_port", 7101},
            {"availability_zone", "brattora"},
            {"log_url", "http://127.0.0.1:7201"},
            {"vm_list_url", "http://127.0.0.1:7202"},
            {"operator_key_salt", std::string(32, 'a')},
            {"operator_key_hash", std::string(64, '0')}};
}

struct fault
{
    const char* patch;
    result_code code;
    const char* detail;
};

/** @brief A value of another type than the rule's, or out of its range. */
json wrong_value(const field_rule& rule, bool of_type)
{
    if (rule.type == field_type::text) {
        return of_type ? json("no such value!") : json(17);
    }
    // A whole number stays one, so that only the range can refuse it.
    const auto beyond = static_cast<std::int64_t>(rule.most) + 1;
    return of_type ? json(beyond) : json("17");
}

} // namespace

TEST_CASE("Settings that are left out have their defaults", "[settings]")
{
    reason why;
    const auto read = parse_daemon_settings(least_settings().dump(), why);
    INFO(why.detail);
    REQUIRE(read);
    const settings::daemon_settings defaults;
    CHECK(read->zone == zone_id{"brattora"});
    CHECK(read->api_port == 7001);
    CHECK(read->task_lease == defaults.task_lease);
    CHECK(read->log_level == "info");
}

TEST_CASE("Each fault of the settings names field, value and what is allowed",
          "[settings]")
{
    const std::vector<fault> faults{
        {R"({"apiport":1})", result_code::settings_field_unknown,
         "field apiport is unknown, its value is 1; allowed: address, api_p"},
        {R"({"api_port":"80"})", result_code::settings_field_type,
         "field api_port is \"80\"; allowed: whole number from 1 to 65535"},
        {R"({"api_port":65536})", result_code::settings_field_range,
         "field api_port is 65536; allowed: whole number from 1 to 65535"},
        {R"({"log_url":null})", result_code::settings_field_missing,
         "field log_url is missing; allowed: http://ip:port"},
        {R"({"log_url":"http://log:80"})", result_code::settings_field_range,
         "field log_url is \"http://log:80\"; allowed: http://ip:port"},
        {R"({"peer_port":7001})", result_code::settings_field_range,
         "field peer_port is 7001; allowed: another port than api_port"},
        {R"({"peer_timeout_ms":200})", result_code::settings_field_range,
         "field peer_timeout_ms is 200; allowed: more than heartbeat_ms, "
         "which is 200"},
        {R"({"news_period_ms":200})", result_code::settings_field_range,
         "field news_period_ms is 200; allowed: more than heartbeat_ms, "
         "which is 200"},
        {R"({"worker_period_ms":10000,"command_bound_ms":10001})",
         result_code::settings_field_range,
         "field task_lease_ms is 10000; allowed: more than worker_period_ms, "
         "which is 10000"},
        {R"({"command_bound_ms":500})", result_code::settings_field_range,
         "field command_bound_ms is 500; allowed: more than worker_period_ms, "
         "which is 500"},
        {R"({"request_timeout_ms":20000})", result_code::settings_field_range,
         "field shutdown_ms is 20000; allowed: more than request_timeout_ms, "
         "which is 20000"}};
    for (const auto& it : faults) {
        auto document = least_settings();
        document.merge_patch(json::parse(it.patch));
        reason why;
        INFO(it.patch);
        CHECK_FALSE(parse_daemon_settings(document.dump(), why));
        CHECK(why.code == it.code);
        CHECK_THAT(why.detail, Catch::Matchers::StartsWith(it.detail));
    }
    reason why;
    CHECK_FALSE(parse_daemon_settings("{", why));
    CHECK(why.code == result_code::settings_not_json);
    CHECK_FALSE(settings::load_daemon_settings("no such file", why));
    CHECK(why.code == result_code::settings_unreadable);
    CHECK(why.detail == "file no such file cannot be read");
    CHECK_FALSE(settings::load_daemon_settings("/", why));
    CHECK(why.code == result_code::settings_unreadable);
}

TEST_CASE("A wrong value in any field is refused under the field's name",
          "[settings]")
{
    CHECK(rc::check([] {
        const auto rules = daemon_settings_rules();
        const auto n = *rc::gen::inRange<std::size_t>(0, rules.size());
        const bool of_type = *rc::gen::arbitrary<bool>();
        auto document = least_settings();
        document[std::string{rules[n].name}] = wrong_value(rules[n], of_type);
        reason why;
        RC_ASSERT(!parse_daemon_settings(document.dump(), why));
        RC_ASSERT(why.code == (of_type ? result_code::settings_field_range
                                       : result_code::settings_field_type));
        RC_ASSERT(why.detail.starts_with("field " + std::string{rules[n].name} +
                                         " is "));
        RC_ASSERT(why.detail.find('\n') == std::string::npos);
    }));
}

TEST_CASE("Numbers within the range of any field are read", "[settings]")
{
    CHECK(rc::check([] {
        const auto rules = daemon_settings_rules();
        const auto& rule =
            rules[*rc::gen::inRange<std::size_t>(0, rules.size())];
        RC_PRE(rule.type == field_type::integer);
        auto document = least_settings();
        document[std::string{rule.name}] =
            *rc::gen::inRange(static_cast<std::int64_t>(rule.least),
                              static_cast<std::int64_t>(rule.most) + 1);
        reason why;
        // Only a check between two fields may refuse it.
        RC_ASSERT(parse_daemon_settings(document.dump(), why) ||
                  why.detail.find("allowed: more than ") != std::string::npos ||
                  why.detail.find("another port") != std::string::npos);
    }));
}

TEST_CASE("docs/OPERATIONS.md has a row for each setting", "[settings]")
{
    std::ifstream file{"docs/OPERATIONS.md"};
    REQUIRE(file);
    std::stringstream page;
    page << file.rdbuf();
    for (const auto& it : daemon_settings_rules()) {
        INFO(it.name);
        CHECK(page.str().find("\n| `" + std::string{it.name} + "` | ") !=
              std::string::npos);
    }
}

TEST_CASE("Addresses are numbers, never names", "[settings]")
{
    for (const auto* it : {"127.0.0.1:1", "[::1]:65535"}) {
        CHECK(settings::is_endpoint(it));
    }
    for (const auto* it :
         {"", ":1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "::1:80",
          "127.0.0.1:+1", "host:80", "[127.0.0.1]:80", "127.0.0.1:80/"}) {
        INFO(it);
        CHECK_FALSE(settings::is_endpoint(it));
    }
    CHECK_FALSE(settings::is_base_url("https://127.0.0.1:80"));
    CHECK_FALSE(settings::is_base_url("http://127.0.0.1:80/x"));
}
