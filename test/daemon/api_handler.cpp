#include <rosemarytrail/daemon/api_handler.hpp>
#include <rosemarytrail/documents/key_secret.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarytrail::daemon {

namespace {

class fixed_clock final : public time_source
{
public:
    [[nodiscard]] time_point now() const noexcept override { return value; }
    time_point value{std::chrono::seconds{100}};
};

class fake_exchange final : public http::exchange
{
public:
    explicit fake_exchange(http::request it)
        : request_{std::move(it)}
    {}
    [[nodiscard]] const http::request& incoming() const noexcept override
    {
        return request_;
    }
    void respond(http::response value) override
    {
        if (!answer)
            answer = std::move(value);
    }
    void cut_off(http::response, std::size_t) override {}
    std::optional<http::response> answer;

private:
    http::request request_;
};

class fake_services final : public http::handler
{
public:
    std::optional<http::response> on_head(const http::request&) override
    {
        ++heads;
        return std::nullopt;
    }
    void on_request(std::shared_ptr<http::exchange> it) override
    {
        it->respond({.status = 299, .headers = {}, .body = {}});
    }
    int heads{0};
};

/** Stores or refuses calls without a controller. */
class fake_access final : public controller_access
{
public:
    [[nodiscard]] bool post(call it) override
    {
        if (full)
            return false;
        posted.push_back(std::move(it));
        return true;
    }
    bool full{false};
    std::vector<call> posted;
};

struct fixture
{
    fixture()
    {
        key_spec key{.key = key_id{"k1"}, .team = team_id{"salmon"}};
        key.salt = documents::make_salt();
        key.hash = documents::hash_secret(key.salt, "s1");
        key_spec gone = key;
        gone.key = key_id{"k2"};
        gone.withdrawn = true;
        request::routing_table table;
        table.keys = {{key.key, key}, {gone.key, gone}};
        table.fresh_until = clock.value + std::chrono::seconds{1};
        table.catching_up = false;
        view.set_table(std::make_shared<request::routing_table>(table));
        view.set_readiness(std::nullopt, clock.value);
    }

    http::response send(http::request head)
    {
        const auto refused = api.on_head(head);
        const auto it = std::make_shared<fake_exchange>(std::move(head));
        api.on_request(it);
        REQUIRE(it->answer);
        if (refused) {
            // A request whose head is refused is refused as a whole, too.
            CHECK(refused->status == it->answer->status);
            CHECK(refused->body == it->answer->body);
        }
        return *it->answer;
    }

    fixed_clock clock;
    metrics::registry metrics;
    shared_view view;
    fake_services services;
    fake_access access;
    std::string salt{documents::make_salt()};
    api_handler api{{.operator_key_salt = salt,
                     .operator_key_hash = documents::hash_secret(salt, "op")},
                    {.controller = access,
                     .view = view,
                     .services = services,
                     .clock = clock,
                     .metrics = metrics}};
};

const std::vector<http::header> caller{{"Authorization", "Bearer k1.s1"}};
const std::vector<http::header> operator_key{{"X-Operator-Key", "op"}};
const std::string job =
    R"({"kind":"job","name":"n","team":"salmon","class":"batch","tasks":1,)"
    R"("request":{"millicores":1,"memory_mib":1,"accelerators":0},)"
    R"("run_time_ms":10})";
const std::string key_document =
    R"({"kind":"team","team":"salmon","weight":1.0,)"
    R"("limit":{"millicores":1,"memory_mib":1,"accelerators":0}})";

std::vector<http::header> with(std::vector<http::header> headers,
                               http::header extra)
{
    headers.push_back(std::move(extra));
    return headers;
}

void check_refusal(const http::response& answer, result_code code)
{
    const auto& row = describe(code);
    INFO(answer.body);
    CHECK(answer.status == row.http_status);
    const auto body = nlohmann::json::parse(answer.body);
    CHECK(body.at("code") == static_cast<int>(code));
    CHECK(body.at("reason") == std::string{row.name});
    CHECK(body.at("not_run") == true);
    CHECK(http::find_header(answer.headers, "X-Rosemarytrail-Code") ==
          std::to_string(static_cast<int>(code)));
    CHECK(http::find_header(answer.headers, "X-Request-Id"));
    const bool again = row.http_status == 503 || row.http_status == 429;
    CHECK(http::find_header(answer.headers, "Retry-After").has_value() ==
          again);
    CHECK(http::find_header(answer.headers, "Retry-After-Ms").has_value() ==
          again);
}

} // namespace

TEST_CASE("the API refuses immediately with a numbered code")
{
    fixture it;
    const std::vector<http::header> none;
    const auto shown = [](std::string key) {
        return std::vector<http::header>{
            {"Authorization", "Bearer " + std::move(key)}};
    };
    check_refusal(it.send({"GET", "/none", "", none, ""}),
                  result_code::path_unknown);
    check_refusal(it.send({"PATCH", "/v1/jobs", "", caller, ""}),
                  result_code::path_unknown);
    check_refusal(it.send({"GET", "/v1/jobs", "", none, ""}),
                  result_code::key_missing);
    check_refusal(it.send({"GET", "/v1/jobs", "", shown("k9.s1"), ""}),
                  result_code::key_unknown);
    check_refusal(it.send({"GET", "/v1/jobs", "", shown("k1.s2"), ""}),
                  result_code::key_unknown);
    check_refusal(it.send({"GET", "/v1/jobs", "", shown("k2.s1"), ""}),
                  result_code::key_withdrawn);
    for (const auto* path : {"/metrics", "/v1/members", "/v1/config"}) {
        check_refusal(it.send({"GET", path, "", caller, ""}),
                      result_code::operator_key_wrong);
    }
    check_refusal(
        it.send({"GET", "/metrics", "", {{"X-Operator-Key", "oq"}}, ""}),
        result_code::operator_key_wrong);
    check_refusal(it.send({"POST", "/v1/jobs", "", caller, "{"}),
                  result_code::document_not_json);
    auto other = job;
    other.replace(other.find("salmon"), 6, "cattle");
    check_refusal(it.send({"POST", "/v1/jobs", "", caller, other}),
                  result_code::team_mismatch);
    check_refusal(it.send({"GET", "/v1/jobs/j", "",
                           with(caller, {"X-Read-Offset", "soon"}), ""}),
                  result_code::usage);
    check_refusal(it.send({"PUT", "/v1/config/team/salmon", "", operator_key,
                           key_document}),
                  result_code::usage);
    check_refusal(
        it.send({"PUT", "/v1/config/team/cattle", "",
                 with(operator_key, {"If-Match", "0"}), key_document}),
        result_code::usage);
    CHECK(it.access.posted.empty());

    it.access.full = true;
    check_refusal(it.send({"POST", "/v1/jobs", "", caller, job}),
                  result_code::queue_full);
    CHECK(it.metrics.expose().find(
              R"(rosemarytrail_api_refusals_total{code="214")") !=
          std::string::npos);
}

TEST_CASE("an entry VM that may not trust its keys accepts no requests")
{
    fixture it;
    it.clock.value += std::chrono::seconds{2};
    check_refusal(it.send({"POST", "/v1/jobs", "", caller, job}),
                  result_code::not_fresh);
    // The control thread has not run either, so the daemon is not ready.
    check_refusal(it.send({"GET", "/ready", "", {}, ""}),
                  result_code::not_fresh);
    CHECK(it.send({"GET", "/live", "", {}, ""}).status == 200);
}

TEST_CASE("the readiness endpoint reports a shutdown immediately")
{
    fixture it;
    CHECK(it.send({"GET", "/ready", "", {}, ""}).status == 200);
    it.view.begin_drain();
    check_refusal(it.send({"GET", "/ready", "", {}, ""}),
                  result_code::draining);
}

TEST_CASE("a refusal never has a success status")
{
    for (const auto& row : result_code_table()) {
        const auto answer = to_response({.why = {.code = row.code}});
        CHECK(answer.status >= 400);
    }
}

TEST_CASE("requests to services are forwarded with the caller's id")
{
    fixture it;
    CHECK(it.send({"GET", "/v1/services/plugs/x", "", {}, ""}).status == 299);
    CHECK(it.services.heads == 1);
    const auto answer =
        it.send({"GET", "/live", "", {{"X-Request-Id", "mine-1"}}, ""});
    CHECK(http::find_header(answer.headers, "X-Request-Id") == "mine-1");
    const auto odd =
        it.send({"GET", "/live", "", {{"X-Request-Id", "a\"b"}}, ""});
    CHECK(http::find_header(odd.headers, "X-Request-Id") != "a\"b");
}

TEST_CASE("requests without a response from the control state time out")
{
    fixture it;
    const auto waiting = std::make_shared<fake_exchange>(http::request{
        "POST", "/v1/jobs", "", with(caller, {"X-Deadline-Ms", "500"}), job});
    it.api.on_request(waiting);
    REQUIRE(it.access.posted.size() == 1);
    it.api.sweep(it.clock.value + std::chrono::milliseconds{1400});
    CHECK_FALSE(waiting->answer);
    it.api.sweep(it.clock.value + std::chrono::milliseconds{1500});
    REQUIRE(waiting->answer);
    const auto body = nlohmann::json::parse(waiting->answer->body);
    CHECK(body.at("code") == static_cast<int>(result_code::outcome_unknown));
    CHECK(body.at("not_run") == false);
}

} // namespace rosemarytrail::daemon
