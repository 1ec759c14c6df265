#include <catch2/catch.hpp>

#include <rosemarytrail/backends/http_log_client.hpp>
#include <rosemarytrail/backends/http_vm_list_client.hpp>
#include <rosemarytrail/backends/http_worker_client.hpp>
#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/standin/log_service.hpp>
#include <rosemarytrail/standin/vm_list_service.hpp>
#include <rosemarytrail/standin/worker_service.hpp>

#include <future>

using namespace rosemarytrail;          // NOLINT
using namespace rosemarytrail::standin; // NOLINT

namespace {

/** @brief Stand-in on a port of the system's choice, and a client for it. */
struct fixture
{
    explicit fixture(http::handler& handler)
        : server{{}, handler}
    {
        reason why;
        const auto port = server.start(why);
        REQUIRE(port);
        address = "127.0.0.1:" + std::to_string(*port);
    }

    http::client_response call(std::string method, const std::string& path,
                               std::string body = "",
                               std::vector<http::header> headers = {}) const
    {
        return client->fetch_and_wait({.method = std::move(method),
                                       .url = "http://" + address + path,
                                       .headers = std::move(headers),
                                       .body = std::move(body)});
    }

    http::server server;
    std::string address;
    std::unique_ptr<http::client> client{http::make_curl_client({})};
};

/** @brief Calls an asynchronous function and waits for what it reports. */
template <typename Outcome, typename Call>
Outcome wait_for(Call&& call)
{
    std::promise<Outcome> done;
    call([&done](Outcome it) { done.set_value(std::move(it)); });
    return done.get_future().get();
}

backends::append_outcome append(backends::log_client& log,
                                const std::string& payload)
{
    return wait_for<backends::append_outcome>(
        [&](auto done) { log.append("cell", payload, done); });
}

/** @brief Two VMs in one process. */
struct two_vms
{
    two_vms()
    {
        for (const std::string name : {"vm-0", "vm-1"}) {
            host.add(
                {.vm = vm_id{name}, .service_address = "s/" + name, .slots = 1},
                {.capacity = {1000, 1000, 0}}, {});
        }
    }

    vm_host host;
    host_handler commands{host, &hosted_vm::serve_command};
    host_handler requests{host, &hosted_vm::serve_request};
};

} // namespace

TEST_CASE("The log stand-in answers a waiting read with the next entry",
          "[standin]")
{
    log_service service{{}};
    fixture it{service};
    const auto log =
        backends::make_http_log_client(*it.client, "http://" + it.address);
    std::promise<backends::read_outcome> waiting;
    log->read({.stream = "cell", .wait = std::chrono::seconds{20}},
              [&](backends::read_outcome outcome) {
                  waiting.set_value(std::move(outcome));
              });
    while (it.server.in_flight() == 0) {
        std::this_thread::yield();
    }
    CHECK(append(*log, "a").result == backends::append_result::appended);
    const auto woken = waiting.get_future().get();
    REQUIRE(woken.entries.size() == 1);
    CHECK(woken.entries[0].payload == "a");
    const auto nothing = wait_for<backends::read_outcome>([&](auto done) {
        log->read({.stream = "cell",
                   .from = 1,
                   .wait = std::chrono::milliseconds{20}},
                  done);
    });
    CHECK(nothing.result == backends::read_result::read);
    CHECK(nothing.entries.empty());
    CHECK(nothing.next_offset == 1);
}

TEST_CASE("The log stand-in loses answers, goes down and trims", "[standin]")
{
    log_service service{{}};
    fixture it{service};
    const auto log =
        backends::make_http_log_client(*it.client, "http://" + it.address);
    const auto control = [&](const std::string& faults) {
        return it.call("POST", "/control", faults).answer.status;
    };
    CHECK(control(R"({"lose_answers":1.0})") == 200);
    CHECK(append(*log, "a").result == backends::append_result::unknown);
    CHECK(control(R"({"lose_answers":0,"mode":"down"})") == 200);
    CHECK(append(*log, "b").result == backends::append_result::refused);
    CHECK(control(R"({"mode":"up"})") == 200);
    CHECK(append(*log, "c").offset == 1);
    CHECK(control(R"({"kept_entries":1})") == 200);
    const auto trimmed = wait_for<backends::read_outcome>(
        [&](auto done) { log->read({.stream = "cell"}, done); });
    CHECK(trimmed.result == backends::read_result::trimmed);
    CHECK(trimmed.first_offset == 1);
    for (const std::string wrong :
         {R"({"mode":"sideways"})", R"({"speed":1})", R"({"seed":-1})", "[]",
          R"({"lose_answers":-1})", ""}) {
        INFO(wrong);
        CHECK(control(wrong) == 400);
    }
    const auto page = it.call("GET", "/control").answer.body;
    CHECK(page.find(R"("kept_entries":1)") != std::string::npos);
    CHECK(page.find(R"("mode":"up")") != std::string::npos);
}

TEST_CASE("Workers of one process register and stay apart", "[standin]")
{
    two_vms vms;
    fixture worker{vms.commands};
    vm_list_service list_service{{}};
    fixture list{list_service};
    vm_registration registration{vms.host, *list.client,
                                 "http://" + list.address};
    const auto listed = [&] {
        const auto client = backends::make_http_vm_list_client(
            *list.client, "http://" + list.address);
        return wait_for<backends::vm_list_outcome>(
                   [&](auto done) { client->fetch(done); })
            .vms;
    };
    registration.send();
    REQUIRE(listed().size() == 2);
    CHECK(worker.call("POST", "/vm-1/control", R"({"leaving":true})")
              .answer.status == 200);
    registration.send();
    CHECK_FALSE(listed().at(0).leaving);
    CHECK(listed().at(1).leaving);

    const auto whole = list.call("GET", "/v1/vms").answer;
    const auto tag = http::find_header(whole.headers, "ETag");
    REQUIRE(tag);
    const auto ask = [&] {
        return list.call("GET", "/v1/vms", "",
                         {{"If-None-Match", std::string{*tag}}});
    };
    const auto same = ask();
    REQUIRE(same.transport == http::transport_result::complete);
    CHECK(same.answer.status == 304);
    CHECK(same.answer.body.empty());
    (void)worker.call("POST", "/vm-1/control", R"({"leaving":false})");
    registration.send();
    CHECK(ask().answer.body != whole.body);
    CHECK(ask().answer.status == 200);

    const auto workers = backends::make_http_worker_client(*worker.client);
    const auto send = [&](const std::string& vm, record_number epoch) {
        return wait_for<backends::worker_outcome>([&](auto done) {
            workers->send(worker.address + "/" + vm, {.epoch = epoch}, done);
        });
    };
    CHECK(send("vm-0", 20).epoch == 20);
    CHECK(send("vm-1", 10).epoch == 10);
    CHECK(send("vm-0", 10).code == result_code::worker_epoch_refused);
    CHECK(send("vm-2", 10).code == result_code::worker_unreachable);
    (void)worker.call("POST", "/vm-0/control", R"({"lose_answers":1})");
    CHECK(send("vm-0", 30).code == result_code::worker_answer_unknown);
    (void)worker.call("POST", "/vm-0/control", R"({"lose_answers":0})");
    CHECK(send("vm-0", 20).code == result_code::worker_epoch_refused);
    registration.withdraw();
    CHECK(listed().empty());
}

TEST_CASE("A VM serves requests only to services that run on it", "[standin]")
{
    two_vms vms;
    fixture worker{vms.commands};
    fixture upstream{vms.requests};
    const std::vector<http::header> headers{{"X-Request-Id", "7"},
                                            {"Idempotency-Key", "k"}};
    const auto ask = [&](const std::string& vm) {
        return upstream.call("POST", "/" + vm + "/plugs/a/b", "", headers)
            .answer;
    };
    const auto refused = ask("vm-0");
    CHECK(refused.status == 503);
    CHECK(http::find_header(refused.headers, "X-Not-Run") == "1");

    const auto workers = backends::make_http_worker_client(*worker.client);
    backends::worker_batch batch{.epoch = 10,
                                 .lease = std::chrono::seconds{60}};
    for (int i = 0; i < 2; ++i) {
        const auto outcome = wait_for<backends::worker_outcome>([&](auto done) {
            workers->send(worker.address + "/vm-0", batch, done);
        });
        REQUIRE(outcome.code == result_code::ok);
        batch.token = outcome.token;
        batch.commands = {{.task = {job_id{"j"}, 0},
                           .attempt = 1,
                           .request = {100, 100, 0},
                           .service = service_id{"plugs"}}};
    }
    const auto answer = ask("vm-0");
    CHECK(answer.status == 200);
    CHECK(http::find_header(answer.headers, "X-Request-Id") == "7");
    CHECK(answer.body == R"({"path":"a/b","request_id":"7","run":1,)"
                         R"("service":"plugs","vm":"vm-0"})");
    CHECK(ask("vm-1").status == 503);
    (void)upstream.call("POST", "/vm-0/control", R"({"cut_off":1.0})");
    CHECK(upstream.call("POST", "/vm-0/plugs/a", "", headers).transport ==
          http::transport_result::cut_off);
    CHECK(upstream.call("GET", "/vm-1/runs?key=k").answer.body ==
          R"({"most":2,"runs":2})");
}
