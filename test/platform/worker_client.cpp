#include <platform/worker_client.hpp>

#include <rosemarytrail/http/client.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

namespace rosemarytrail::platform {

namespace {

/** @brief HTTP client that gets the same response to each request. */
struct scripted_http final : http::client
{
    void fetch(http::client_request /*outgoing*/, callback done) override
    {
        done({.transport = http::transport_result::complete, .answer = answer});
    }

    http::response answer{.status = 200};
};

} // namespace

TEST_CASE("A rejection that cannot be read does not end the caller",
          "[platform]")
{
    scripted_http http;
    http.answer = {.status = 409};
    http.answer.body =
        GENERATE(values<std::string>({R"({"reason":5})", R"({"reason":null})",
                                      R"({"reason":[]})", "[]", "{", "1e999"}));
    INFO(http.answer.body);
    worker_client client{http};
    std::optional<fleet::poll_result> polled;
    client.poll({}, [&](fleet::poll_result it, const auto&) { polled = it; });
    CHECK(polled == fleet::poll_result::failed);
    std::optional<fleet::start_response> started;
    client.start({.payload = std::make_shared<const std::string>("x")},
                 [&](const fleet::start_response& it) { started = it; });
    REQUIRE(started);
    CHECK(started->result == fleet::start_result::invalid);
    CHECK_FALSE(started->clock_ms);
}

// Guards against a restart that goes unnoticed, as the clock in the response to
// a start is not read.
TEST_CASE("A response to a start carries the worker's clock", "[platform]")
{
    const auto [status, body, result] =
        GENERATE(table<int, std::string, fleet::start_result>(
            {{200, R"({"clockMs":482113})", fleet::start_result::started},
             {409, R"({"clockMs":482113,"reason":"room"})",
              fleet::start_result::no_capacity}}));
    scripted_http http;
    http.answer.status = status;
    http.answer.body = body;
    worker_client client{http};
    std::optional<fleet::start_response> started;
    client.start({.payload = std::make_shared<const std::string>("x")},
                 [&](const fleet::start_response& it) { started = it; });
    REQUIRE(started);
    CHECK(started->result == result);
    CHECK(started->clock_ms == 482113);
}

// Runs that a response lists nowhere are taken for lost if it is complete.
TEST_CASE("A response with as many ends as a worker returns is truncated",
          "[platform]")
{
    const auto [rows, truncated] = GENERATE(table<std::size_t, bool>(
        {{0, false}, {1, false}, {499, false}, {500, true}}));
    CAPTURE(rows);
    std::string finished;
    for (std::size_t i = 1; i <= rows; ++i) {
        finished += (i > 1 ? "," : "") + ("[" + std::to_string(i)) +
                    R"(,"00000000000000a1.0.0.1",1,"done",""])";
    }
    scripted_http http;
    http.answer.body =
        R"({"clockMs":5,"running":[],"finished":[)" + finished + "]}";
    worker_client client{http};
    std::optional<fleet::poll_response> polled;
    client.poll({},
                [&](fleet::poll_result, auto it) { polled = std::move(it); });
    REQUIRE(polled);
    CHECK(polled->ended.size() == rows);
    CHECK(polled->ended_truncated == truncated);
}

TEST_CASE("A worker whose id is no UTF-8 does not end an advice request",
          "[platform]")
{
    scripted_http http;
    http.answer.status = 400;
    advice_client client{http, "s:1"};
    const std::vector<std::string> workers{"a", "\xff\xfe"};
    std::optional<cell::advice_answer> result;
    client.advise({}, workers, std::chrono::seconds{1},
                  [&](cell::advice_answer it) { result = std::move(it); });
    REQUIRE(result);
    CHECK_FALSE(result->answered);
}

} // namespace rosemarytrail::platform
