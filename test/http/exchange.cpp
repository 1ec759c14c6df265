#include <catch2/catch.hpp>

#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/http/server.hpp>

#include <test/lib/http_server.hpp>
#include <test/lib/silent_server.hpp>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

using namespace rosemarytrail;       // NOLINT
using namespace rosemarytrail::http; // NOLINT
using rosemarytrail::test::http_server;

namespace {

using exchange_pointer = std::shared_ptr<exchange>;

void echo(const exchange_pointer& it)
{
    const auto& in = it->incoming();
    response out{.headers = {{"X-Method", in.method}}};
    out.body = in.path + "|" + in.query + "|" + in.body;
    it->respond(std::move(out));
}

} // namespace

TEST_CASE("An immediate response arrives complete", "[http]")
{
    http_server server{echo};
    const auto client = make_curl_client({});
    for (const std::string method : {"GET", "POST", "PUT", "DELETE"}) {
        const auto result = client->fetch_and_wait(
            {.method = method, .url = server.base + "/a%2Fb?c=%20d"});
        REQUIRE(result.transport == transport_result::complete);
        CHECK(result.answer.status == 200);
        CHECK(result.answer.body == "/a%2Fb|c=%20d|");
        CHECK(find_header(result.answer.headers, "x-method") == method);
    }
    const auto head =
        client->fetch_and_wait({.method = "HEAD", .url = server.base + "/h"});
    CHECK(head.transport == transport_result::complete);
    CHECK(head.answer.body.empty());
}

TEST_CASE("Deferred responses from another thread reach their own callers",
          "[http]")
{
    std::mutex lock;
    std::vector<exchange_pointer> held;
    std::promise<void> all_received;
    constexpr std::size_t requests = 40;
    http_server server{[&](const exchange_pointer& it) {
        const std::lock_guard guard{lock};
        held.push_back(it);
        if (held.size() == requests) {
            all_received.set_value();
        }
    }};
    const auto client = make_curl_client({.threads = 2});
    std::vector<std::promise<client_response>> results(requests);
    for (std::size_t i = 0; i < requests; ++i) {
        client->fetch({.method = "POST",
                       .url = server.base + "/x",
                       .body = std::to_string(i)},
                      [&results, i](client_response it) {
                          results[i].set_value(std::move(it));
                      });
    }
    all_received.get_future().wait();
    CHECK(server.inner.in_flight() == requests);
    std::thread answering{[&] {
        for (auto it = held.rbegin(); it != held.rend(); ++it) {
            echo(*it);
            (*it)->respond({.status = 500});
        }
        held.clear();
    }};
    for (std::size_t i = 0; i < requests; ++i) {
        const auto result = results[i].get_future().get();
        REQUIRE(result.transport == transport_result::complete);
        CHECK(result.answer.status == 200);
        CHECK(result.answer.body == "/x||" + std::to_string(i));
    }
    answering.join();
}

TEST_CASE("A dropped exchange is answered with 500", "[http]")
{
    http_server server{[](const exchange_pointer&) {
    }};
    const auto client = make_curl_client({});
    const auto result = client->fetch_and_wait({.url = server.base + "/"});
    REQUIRE(result.transport == transport_result::complete);
    CHECK(result.answer.status == 500);
}

TEST_CASE("A truncated response never counts as complete", "[http]")
{
    const auto partial_bytes = GENERATE(0U, 5U, 99U);
    std::atomic<int> runs{0};
    http_server server{[&](const exchange_pointer& it) {
        ++runs;
        if (it->incoming().path == "/cut") {
            it->cut_off({.body = std::string(100, 'x')}, partial_bytes);
            return;
        }
        echo(it);
    }};
    const auto client = make_curl_client({.connections_per_host = 1});
    // The second request reuses the connection of the first. By default,
    // libcurl would retry it on a new connection.
    REQUIRE(client->fetch_and_wait({.url = server.base + "/"}).transport ==
            transport_result::complete);
    for (const std::string method : {"GET", "POST"}) {
        runs = 0;
        const auto result = client->fetch_and_wait(
            {.method = method, .url = server.base + "/cut", .body = ""});
        CHECK(result.transport == transport_result::cut_off);
        CHECK(runs == 1);
        CHECK(client->fetch_and_wait({.url = server.base + "/"}).transport ==
              transport_result::complete);
    }
}

TEST_CASE("A timeout on a connection makes older ones to the peer stale",
          "[http]")
{
    test::silent_server server;
    const auto client = make_curl_client({});
    constexpr std::size_t kept = 4;
    std::vector<std::promise<client_response>> results(kept);
    for (auto& it : results) {
        client->fetch(
            {.url = server.base + "/"},
            [&it](client_response answer) { it.set_value(std::move(answer)); });
    }
    for (auto& it : results) {
        REQUIRE(it.get_future().get().transport == transport_result::complete);
    }
    server.silence_open();
    const auto lost = client->fetch_and_wait(
        {.url = server.base + "/", .timeout = std::chrono::milliseconds{50}});
    CHECK(lost.transport == transport_result::timed_out);
    const int before = server.connections;
    for (std::size_t i = 0; i < 3 * kept; ++i) {
        CHECK(client->fetch_and_wait({.url = server.base + "/"}).transport ==
              transport_result::complete);
    }
    // Each of the other connections is tried at most once.
    CHECK(server.connections < before + static_cast<int>(kept));
}

TEST_CASE("A late response never reaches the next request", "[http]")
{
    std::mutex lock;
    std::vector<exchange_pointer> held;
    http_server server{[&](const exchange_pointer& it) {
        const std::lock_guard guard{lock};
        if (it->incoming().path == "/late") {
            held.push_back(it);
            return;
        }
        for (const auto& late : held) {
            late->respond({.body = "late"});
        }
        held.clear();
        echo(it);
    }};
    const auto client = make_curl_client({.connections_per_host = 1});
    client_response late{.transport = transport_result::not_sent};
    // On a busy machine the deadline may pass before a byte is sent.
    for (int i = 0; i < 100 && late.transport == transport_result::not_sent;
         ++i) {
        late =
            client->fetch_and_wait({.url = server.base + "/late",
                                    .timeout = std::chrono::milliseconds{50}});
    }
    CHECK(late.transport == transport_result::timed_out);
    for (int i = 0; i < 3; ++i) {
        const auto next = client->fetch_and_wait({.url = server.base + "/n"});
        CHECK(next.answer.body == "/n||");
    }
}

TEST_CASE("A response with the id of another request is dropped", "[http]")
{
    http_server server{[](const exchange_pointer& it) {
        const auto request_id = it->incoming().query;
        response out{.body = "x"};
        if (!request_id.empty()) {
            out.headers.push_back({"X-Request-Id", request_id});
        }
        it->respond(std::move(out));
    }};
    const auto client = make_curl_client({});
    const auto transport_of = [&](const std::string& query) {
        client_request out{.url = server.base + "/?" + query};
        out.echo = {"X-Request-Id", "7"};
        return client->fetch_and_wait(std::move(out)).transport;
    };
    CHECK(transport_of("7") == transport_result::complete);
    CHECK(transport_of("8") == transport_result::crossed);
    CHECK(transport_of("") == transport_result::crossed);
}

TEST_CASE("A duplicate response does not reach the next request", "[http]")
{
    http_server server{[](const exchange_pointer& it) {
        const auto& path = it->incoming().path;
        response out{.headers = {{"X-Path", path}}, .body = path};
        if (path == "/twice") {
            it->respond_twice(std::move(out));
            return;
        }
        it->respond(std::move(out));
    }};
    const auto client = make_curl_client({.connections_per_host = 1});
    for (int i = 0; i < 5; ++i) {
        for (const std::string path : {"/twice", "/once"}) {
            client_request out{.method = "POST", .url = server.base + path};
            out.echo = {"X-Path", path};
            // The second response is sent once no request is in flight.
            while (server.inner.in_flight() > 0) {
                std::this_thread::yield();
            }
            const auto result = client->fetch_and_wait(std::move(out));
            REQUIRE(result.transport == transport_result::complete);
            CHECK(result.answer.body == path);
        }
    }
}

TEST_CASE("Requests that were never sent are distinguished from lost ones",
          "[http]")
{
    std::string dead;
    {
        http_server server{echo};
        dead = server.base;
    }
    const auto client = make_curl_client({});
    CHECK(client->fetch_and_wait({.url = dead}).transport ==
          transport_result::not_sent);
    client_request injected{.url = dead};
    injected.headers = {{"A", "b\r\nC: d"}};
    CHECK(client->fetch_and_wait(injected).transport ==
          transport_result::not_sent);
}

TEST_CASE("The deadline of a request applies while it is queued", "[http]")
{
    std::promise<exchange_pointer> first;
    http_server server{[&](const exchange_pointer& it) {
        first.set_value(it);
    }};
    const auto client = make_curl_client({.connections_per_host = 1});
    std::promise<client_response> answered;
    client->fetch({.url = server.base + "/first"}, [&](client_response it) {
        answered.set_value(std::move(it));
    });
    const auto held = first.get_future().get();
    const auto waiting = client->fetch_and_wait(
        {.url = server.base + "/", .timeout = std::chrono::milliseconds{30}});
    CHECK(waiting.transport == transport_result::not_sent);
    held->respond({});
    CHECK(answered.get_future().get().transport == transport_result::complete);
}

TEST_CASE("A destroyed client reports each request once", "[http]")
{
    std::promise<exchange_pointer> first;
    http_server server{[&](const exchange_pointer& it) {
        first.set_value(it);
    }};
    auto client = make_curl_client({.connections_per_host = 1});
    std::vector<transport_result> results;
    const auto record = [&](const client_response& it) {
        results.push_back(it.transport);
    };
    client->fetch({.url = server.base + "/sent"}, record);
    const auto held = first.get_future().get();
    client->fetch({.url = server.base + "/queued"}, record);
    client.reset();
    CHECK(results ==
          std::vector{transport_result::cut_off, transport_result::not_sent});
}
