#include <platform/decode.hpp>
#include <platform/settings.hpp>

#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>

namespace rosemarytrail::platform {

namespace {

constexpr const char* settings_text =
    "nodeName=frontend-orkanger-1\nzone=orkanger\nip=10.1.0.17\n"
    "listen.frontend=10.1.0.17:8183\nlisten.ready=10.1.0.17:8184\n"
    "platform.address=10.200.1.7:8182\nadvice=10.200.1.9:8182\n"
    "bounds.graceS=6\nbounds.stopMs=200\nbounds.checkpointS=0.5\n"
    "bounds.restoreMs=300\nportRange=7420,7435\nsome.new.field=1\n";

} // namespace

TEST_CASE("The platform's settings are parsed", "[platform]")
{
    reason why;
    const auto it = parse_settings(settings_text, why);
    REQUIRE(it);
    CHECK(it->node == "frontend-orkanger-1");
    CHECK(it->clients.port == 8183);
    CHECK(it->store_address == "10.200.1.7:8182");
    CHECK(it->grace_s == 6);
    CHECK(it->max_stop_ms == 200);
    CHECK(it->checkpoint_s == 0.5);
    CHECK(it->restore_ms == 300);
    CHECK(it->first_peer_port == 7420);
}

TEST_CASE("A missing or invalid setting is reported by name", "[platform]")
{
    reason why;
    CHECK_FALSE(parse_settings("nodeName=n\nzone=z\n", why));
    CHECK(why.code == result_code::settings_field_missing);
    CHECK(why.detail == "field ip");
    auto text = std::string{settings_text};
    text.replace(text.find(":8183"), 5, ":port");
    CHECK_FALSE(parse_settings(text, why));
    CHECK(why.code == result_code::settings_field_type);
}

TEST_CASE("A configuration is decoded, a malformed one is rejected",
          "[platform]")
{
    const platform_decoder formats;
    const auto it = formats.configuration(
        {.key = "config",
         .value =
             R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
             R"("pathPrefix":"/p/","service":"s","priority":2,"maxAttempts":2,)"
             R"("slackFactor":2.2,"targetLatencyMs":1200,"advice":)"
             R"({"decideMs":400.0,"eachMs":5.7,"validMs":2500},)"
             R"("public":false}],"services":[{"name":"s"}],"tenants":)"
             R"([{"name":"t","apiKeys":["k1","k2"],"weight":14,)"
             R"("cap":{"cpu":5,"memMb":6,"gpu":0}}]})"});
    REQUIRE(it);
    CHECK(it->version == 7);
    CHECK(it->find_queue("h.example", "/p/x")->policy.advice->valid_ms == 2500);
    CHECK(it->find_queue("other", "/p/x") == nullptr);
    CHECK(it->account_of_key.at("k2") == "t");
    CHECK(it->accounts.at("t").limit.cpu_millis == 5);
    CHECK_FALSE(formats.configuration({.key = "config", .value = "{"}));
    CHECK_FALSE(formats.configuration({.key = "wave/1", .value = "{}"}));
}

TEST_CASE("An evacuation request is decoded, a malformed one is reported",
          "[platform]")
{
    using fleet::evacuation_state;
    const platform_decoder formats;
    const auto state_of = [&](std::optional<std::string> value) {
        const auto it = formats.evacuation(
            {.key = "evacuate/z1", .value = std::move(value)});
        REQUIRE(it);
        CHECK(it->zone == "z1");
        return it->state;
    };
    CHECK(state_of("{}") == evacuation_state::requested);
    CHECK(state_of(std::nullopt) == evacuation_state::withdrawn);
    CHECK(state_of("{") == evacuation_state::malformed);
    CHECK(state_of("7") == evacuation_state::malformed);
    CHECK(formats.evacuation({.key = "evacuate/", .value = "{}"})->state ==
          evacuation_state::malformed);
    CHECK_FALSE(formats.evacuation({.key = "config", .value = "{}"}));
}

TEST_CASE("Directory records of other writers are ignored", "[platform]")
{
    const platform_decoder formats;
    const auto read = [&](const char* text) {
        std::string why;
        return formats.worker({.key = "i-1", .value = text}, why);
    };
    const auto it =
        read(R"({"service":"s","address":"1.2.3.4:80","zone":"z",)"
             R"("state":"ready","capacity":{"cpu":16000,"memMb":3,"gpu":0},)"
             R"("labels":["a","r1-3"],"born":17,"coldLeftMs":2400})");
    REQUIRE(it);
    CHECK(it->rack == "r1-3");
    CHECK(it->incarnation == 17);
    CHECK(it->cold_left_ms == 2400);
    CHECK_FALSE(read(R"({"service":"s","address":5,"zone":"z",)"
                     R"("state":"ready","capacity":{}})"));
    CHECK_FALSE(read(R"({"service":"s","address":"a","zone":"z",)"
                     R"("state":"odd","capacity":{}})"));
    CHECK_FALSE(read("\xff\xfe"));
}

TEST_CASE("A worker entry with a value out of range names no worker to use",
          "[platform]")
{
    const platform_decoder formats;
    const auto [field, value] = GENERATE(table<std::string, std::string>({
        {R"("1.2.3.4:80")", R"("1.2.3.4:99999")"},
        {R"("1.2.3.4:80")", R"("1.2.3.4:65536")"},
        {R"("1.2.3.4:80")", R"("1.2.3.4:0")"},
        {R"("1.2.3.4:80")", R"("1.2.3.4:-80")"},
        {R"("1.2.3.4:80")", R"("1.2.3.4:18446744073709551696")"},
        {R"("1.2.3.4:80")", R"("1.2.3.4:")"},
        {R"("1.2.3.4:80")", R"("1.2.3.4")"},
        {R"("1.2.3.4:80")", R"("1.2.3.444:80")"},
        {R"("1.2.3.4:80")", R"("1.2.3.4:80\r\nX: y")"},
        {R"("1.2.3.4:80")", R"("1.2.3.4\u0000:80")"},
        {R"("1.2.3.4:80")", R"("1.2.3.4:80/x")"},
        {R"("1.2.3.4:80")", R"("u@1.2.3.4:80")"},
        {R"("1.2.3.4:80")", R"("")"},
        {R"("cpu":16000)", R"("cpu":-5)"},
        {R"("cpu":16000)", R"("cpu":9223372036854775807)"},
        {R"("cpu":16000)", R"("cpu":18446744073709551615)"},
        {R"("cpu":16000)", R"("cpu":true)"},
        {R"("memMb":3)", R"("memMb":9223372036854775807)"},
        {R"("memMb":3)", R"("memMb":-1)"},
        {R"("gpu":0)", R"("gpu":1e300)"},
        {R"("remainingMs":5)", R"("remainingMs":1e300)"},
        {R"("remainingMs":5)", R"("remainingMs":-1e300)"},
        {R"("remainingMs":5)", R"("remainingMs":1e999)"},
        {R"("remainingMs":5)", R"("remainingMs":99999999999999999999)"},
        {R"("coldLeftMs":2400)", R"("coldLeftMs":9223372036854775807)"},
        {R"("coldLeftMs":2400)", R"("coldLeftMs":"1")"},
        {R"("born":17)", R"("born":9223372036854775807)"},
        {R"("born":17)", R"("born":-1)"},
    }));
    std::string text =
        R"({"service":"s","address":"1.2.3.4:80","zone":"z",)"
        R"("state":"ready","capacity":{"cpu":16000,"memMb":3,"gpu":0},)"
        R"("remainingMs":5,"born":17,"coldLeftMs":2400})";
    std::string why{"left"};
    REQUIRE(formats.worker({.key = "i-1", .value = text}, why));
    CHECK(why.empty());
    text.replace(text.find(field), field.size(), value);
    INFO(text);
    CHECK_FALSE(formats.worker({.key = "i-1", .value = text}, why));
    CHECK_FALSE(why.empty());
    // The removal of an entry is nothing odd.
    CHECK_FALSE(formats.worker({.key = "i-1", .value = std::nullopt}, why));
    CHECK(why.empty());
}

TEST_CASE("A worker entry at the edges of the valid range is taken",
          "[platform]")
{
    const platform_decoder formats;
    std::string why;
    const auto it = formats.worker(
        {.key = "i-1",
         .value = R"({"service":"s","address":"255.1.0.9:65535","zone":"z",)"
                  R"("state":"draining","capacity":{"cpu":999999999,)"
                  R"("memMb":999999999},"remainingMs":86400000,)"
                  R"("coldLeftMs":-3.5,"born":1796436540000})"},
        why);
    REQUIRE(it);
    CHECK(it->remaining_ms == 86400000);
    CHECK(it->cold_left_ms == 0);
    CHECK(it->capacity.gpus == 0);
}

TEST_CASE("A worker entry whose key cannot be sent names no worker to use",
          "[platform]")
{
    const platform_decoder formats;
    const auto key = GENERATE(values<std::string>(
        {"", "\xff\xfe", "a\r\nX: y", std::string("a\0b", 3), "a\x7f"}));
    const auto read = [&](const std::string& with) {
        std::string why;
        return formats.worker(
            {.key = with,
             .value = R"({"service":"s","address":"1.2.3.4:80","zone":"z",)"
                      R"("state":"ready","capacity":{}})"},
            why);
    };
    CHECK_FALSE(read(key));
    CHECK(read("i-1"));
    CHECK(read(R"(\"\u12\ name)"));
    CHECK(read("\xc3\xa9"));
}

TEST_CASE("A deeply nested worker entry is ignored", "[platform]")
{
    constexpr std::size_t depth = 300000;
    const platform_decoder formats;
    const auto field = GENERATE(values<std::string>({"labels", "extra"}));
    const auto text =
        R"({"service":"s","address":5,"zone":"z","state":"ready",)"
        R"("capacity":{},")" +
        field + R"(":)" + std::string(depth, '[') + std::string(depth, ']') +
        "}";
    std::string why;
    CHECK_FALSE(formats.worker({.key = "i-1", .value = text}, why));
    CHECK_FALSE(why.empty());
}

TEST_CASE("Numbers of a configuration out of range are brought into it",
          "[platform]")
{
    const platform_decoder formats;
    const auto number = GENERATE(
        values<std::string>({"1e300", "-1e300", "9223372036854775807",
                             "-9223372036854775808", "99999999999999999999"}));
    const auto it = formats.configuration(
        {.key = "config",
         .value = R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
                  R"("pathPrefix":"/p/","service":"s","priority":)" +
                  number + R"(,"maxAttempts":)" + number +
                  R"(,"slackFactor":)" + number + R"(,"targetLatencyMs":)" +
                  number + R"(,"advice":{"decideMs":)" + number +
                  R"(,"eachMs":)" + number + R"(,"validMs":)" + number +
                  R"(}}],"services":[],"tenants":[{"name":"t","apiKeys":[],)"
                  R"("weight":)" +
                  number + R"(,"cap":{"cpu":)" + number + R"(,"memMb":)" +
                  number + "}}]}"});
    INFO(number);
    REQUIRE(it);
    constexpr auto week_ms = std::int64_t{7} * 24 * 3600 * 1000;
    constexpr std::int64_t max_amount = 1'000'000'000'000'000;
    const auto& policy = it->queues.at(0).policy;
    CHECK(std::abs(policy.priority) <= 1000000);
    CHECK(policy.max_attempts >= 1);
    CHECK(policy.max_attempts <= 1000000);
    CHECK(policy.slack_factor >= 0);
    CHECK(policy.slack_factor <= 1e6);
    CHECK(policy.target_latency_ms >= 0);
    CHECK(policy.target_latency_ms <= week_ms);
    REQUIRE(policy.advice);
    CHECK(policy.advice->base_ms >= 0);
    CHECK(policy.advice->base_ms <= static_cast<double>(week_ms));
    CHECK(policy.advice->per_worker_ms <= static_cast<double>(week_ms));
    CHECK(policy.advice->valid_ms >= 0);
    CHECK(policy.advice->valid_ms <= week_ms);
    const auto& account = it->accounts.at("t");
    CHECK(account.weight >= 0);
    CHECK(account.weight <= 1e9);
    CHECK(account.limit.cpu_millis >= 0);
    CHECK(account.limit.cpu_millis <= max_amount);
    CHECK(account.limit.memory_mb <= max_amount);
}

TEST_CASE("A configuration whose version is out of range is ignored",
          "[platform]")
{
    const platform_decoder formats;
    const auto version = GENERATE(values<std::string>(
        {"1e300", "99999999999999999999", "-1", R"("7")", "1e999"}));
    CHECK_FALSE(
        formats.configuration({.key = "config",
                               .value = R"({"version":)" + version +
                                        R"(,"routes":[],"services":[]})"}));
}

TEST_CASE("A job is parsed, an invalid one is rejected", "[platform]")
{
    const auto it = parse_job(
        R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,)"
        R"("estimateMs":900,"affinity":"r1-3"},{"count":20,"cpu":2000,)"
        R"("dependsOn":[0],"checkpoints":true,"fillCount":true}]})");
    REQUIRE(it);
    CHECK(it->steps[0].data_rack == "r1-3");
    CHECK(it->steps[1].depends_on == std::vector<std::uint32_t>{0});
    CHECK(it->steps[1].scavenger);
    CHECK_FALSE(parse_job(R"({"spec":"x","steps":[]})"));
    CHECK_FALSE(parse_job(R"({"steps":[{"count":1,"dependsOn":[0]}]})"));
    CHECK_FALSE(parse_job(R"({"steps":[{"count":-1}]})"));
    CHECK_FALSE(parse_job("no json"));
}

} // namespace rosemarytrail::platform
