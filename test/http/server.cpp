#include <catch2/catch.hpp>

#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/http/server.hpp>

#include <test/lib/http_server.hpp>

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

void accept(const exchange_pointer& it)
{
    it->respond({.body = it->incoming().body});
}

} // namespace

TEST_CASE("The body of a request rejected by its head is not read", "[http]")
{
    const auto body_bytes = GENERATE(0U, 1000U, 900000U);
    std::atomic<int> bodies{0};
    http_server server{[&](const exchange_pointer& it) {
        ++bodies;
        accept(it);
    }};
    server.handler.head = [](const request& it) -> std::optional<response> {
        if (it.path == "/closed") {
            return response{.status = 401, .body = "no"};
        }
        return std::nullopt;
    };
    const auto client = make_curl_client({});
    const auto result =
        client->fetch_and_wait({.method = "POST",
                                .url = server.base + "/closed",
                                .body = std::string(body_bytes, 'x')});
    CHECK(bodies == 0);
    if (body_bytes < 65536U) {
        REQUIRE(result.transport == transport_result::complete);
        CHECK(result.answer.status == 401);
    }
    const auto open =
        client->fetch_and_wait({.method = "POST",
                                .url = server.base + "/open",
                                .body = std::string(body_bytes, 'y')});
    CHECK(open.answer.body.size() == body_bytes);
    CHECK(bodies == 1);
}

TEST_CASE("Requests beyond the limits are rejected", "[http]")
{
    http_server server{accept, {.body_bytes = 1000, .headers = 12}};
    const auto client = make_curl_client({});
    const auto send = [&](std::size_t bytes, int headers) {
        client_request out{.method = "POST", .url = server.base + "/"};
        out.body = std::string(bytes, 'x');
        for (int i = 0; i < headers; ++i) {
            out.headers.push_back({"X-H" + std::to_string(i), "v"});
        }
        const auto result = client->fetch_and_wait(std::move(out));
        REQUIRE(result.transport == transport_result::complete);
        return result.answer.status;
    };
    CHECK(send(1000, 0) == 200);
    CHECK(send(1001, 0) == 413);
    CHECK(send(0, 20) == 431);
    client_request chunked{.method = "POST", .url = server.base + "/"};
    chunked.headers = {{"Transfer-Encoding", "chunked"}};
    chunked.body = std::string(1500, 'x');
    const auto rejected = client->fetch_and_wait(chunked);
    CHECK(rejected.transport == transport_result::complete);
    CHECK(rejected.answer.status == 413);
}

TEST_CASE("A response beyond the size limit is dropped", "[http]")
{
    http_server server{[](const exchange_pointer& it) {
        it->respond({.body = std::string(2000, 'x')});
    }};
    const auto client = make_curl_client({});
    const auto transport_of = [&](std::size_t max_bytes) {
        return client
            ->fetch_and_wait({.url = server.base, .answer_bytes = max_bytes})
            .transport;
    };
    CHECK(transport_of(1999) == transport_result::too_large);
    CHECK(transport_of(2000) == transport_result::complete);
}

TEST_CASE("A server that stops accepting still answers", "[http]")
{
    std::promise<exchange_pointer> first;
    http_server server{[&](const exchange_pointer& it) {
        if (it->incoming().path == "/first") {
            first.set_value(it);
            return;
        }
        accept(it);
    }};
    const auto client = make_curl_client({});
    std::promise<client_response> answered;
    client->fetch({.url = server.base + "/first"}, [&](client_response it) {
        answered.set_value(std::move(it));
    });
    const auto held = first.get_future().get();
    server.inner.stop_accepting();
    CHECK(server.inner.in_flight() == 1);
    const auto other = client->fetch_and_wait({.url = server.base + "/new"});
    CHECK(other.transport == transport_result::not_sent);
    held->respond({.body = "whole"});
    const auto result = answered.get_future().get();
    REQUIRE(result.transport == transport_result::complete);
    CHECK(result.answer.body == "whole");
    CHECK(find_header(result.answer.headers, "Connection") == "close");
}

TEST_CASE("A stopping server closes only connections that wait", "[http]")
{
    std::promise<exchange_pointer> first;
    auto server = std::make_unique<http_server>(
        [&](const exchange_pointer& it) { first.set_value(it); });
    const auto client = make_curl_client({});
    std::promise<client_response> answered;
    client->fetch({.url = server->base + "/"}, [&](client_response it) {
        answered.set_value(std::move(it));
    });
    const auto held = first.get_future().get();
    server->inner.stop();
    CHECK(server->inner.in_flight() == 0);
    CHECK(answered.get_future().get().transport == transport_result::cut_off);
    server.reset();
    held->respond({.body = "too late"});
}

TEST_CASE("An idle connection closed by the peer fails no request", "[http]")
{
    const auto client = make_curl_client({.connections_per_host = 1});
    std::uint16_t port = 0;
    for (int i = 0; i < 3; ++i) {
        std::atomic<int> runs{0};
        http_server server{[&](const exchange_pointer& it) {
                               ++runs;
                               accept(it);
                           },
                           {.port = port}};
        const auto colon = server.base.rfind(':') + 1;
        port = static_cast<std::uint16_t>(std::stoi(server.base.substr(colon)));
        const auto result = client->fetch_and_wait(
            {.method = "POST", .url = server.base + "/", .body = "x"});
        CHECK(result.transport == transport_result::complete);
        CHECK(runs == 1);
    }
}

TEST_CASE("Connections beyond the limit are closed without serving requests",
          "[http]")
{
    std::mutex lock;
    std::vector<exchange_pointer> held;
    http_server server{[&](const exchange_pointer& it) {
                           const std::lock_guard guard{lock};
                           held.push_back(it);
                       },
                       {.connections = 2}};
    const auto client = make_curl_client({});
    std::vector<std::promise<client_response>> first(2);
    for (auto& done : first) {
        client->fetch({.url = server.base + "/"}, [&](client_response it) {
            done.set_value(std::move(it));
        });
    }
    while (server.inner.in_flight() < first.size()) {
        std::this_thread::yield();
    }
    const auto third = client->fetch_and_wait({.url = server.base + "/"});
    CHECK(third.transport != transport_result::complete);
    CHECK(server.inner.in_flight() == first.size());
    server.inner.stop();
    CHECK(held.size() == first.size());
    for (auto& done : first) {
        CHECK(done.get_future().get().transport == transport_result::cut_off);
    }
}

TEST_CASE("Listening on an invalid address returns an error", "[http]")
{
    rosemarytrail::test::function_handler unused;
    reason why;
    server wrong{{.address = "nowhere"}, unused};
    CHECK_FALSE(wrong.start(why));
    CHECK(why.code == result_code::settings_field_range);
}
