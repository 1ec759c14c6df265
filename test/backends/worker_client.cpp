#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <rosemarytrail/backends/http_worker_client.hpp>
#include <rosemarytrail/backends/worker_wire.hpp>

#include <test/lib/fixed_server.hpp>

#include <future>

using namespace rosemarytrail;           // NOLINT
using namespace rosemarytrail::backends; // NOLINT
using rosemarytrail::test::fixed_server;

namespace {

[[nodiscard]] worker_batch batch_of_one()
{
    worker_batch result{.epoch = 4096, .token = 9};
    result.lease = std::chrono::seconds{10};
    result.commands.push_back({.kind = command_kind::throttle,
                               .task = {job_id{"j"}, 3},
                               .attempt = 2,
                               .request = {1000, 64, 1},
                               .service = service_id{"s"}});
    return result;
}

[[nodiscard]] worker_outcome outcome_of_one()
{
    worker_outcome result{.code = result_code::ok, .epoch = 4096, .token = 11};
    result.token_span = std::chrono::milliseconds{2000};
    result.capacity = {64000, 131072, 8};
    result.commands.push_back({result_code::worker_full});
    result.tasks.push_back({.task = {job_id{"j"}, 3},
                            .attempt = 2,
                            .phase = task_phase::lapsed,
                            .request = {1000, 64, 1},
                            .used = {700, 60, 0},
                            .age = std::chrono::milliseconds{1234}});
    return result;
}

/** @brief Worker client and a server with one fixed response. */
struct fixture
{
    fixed_server server;
    std::unique_ptr<http::client> client{http::make_curl_client({})};
    std::unique_ptr<worker_client> workers{make_http_worker_client(*client)};

    [[nodiscard]] worker_outcome send()
    {
        server.publish();
        std::promise<worker_outcome> done;
        workers->send(
            server.base().substr(std::string{"http://"}.size()), batch_of_one(),
            [&](worker_outcome it) { done.set_value(std::move(it)); });
        return done.get_future().get();
    }
};

} // namespace

TEST_CASE("A batch and an outcome round-trip through JSON", "[platform]")
{
    const auto batch = batch_of_one();
    const auto text = encode_worker_batch(batch);
    const auto again = decode_worker_batch(text);
    REQUIRE(again);
    CHECK(encode_worker_batch(*again) == text);
    CHECK(again->commands.at(0).task == batch.commands[0].task);
    CHECK(again->commands.at(0).kind == command_kind::throttle);

    const auto outcome = outcome_of_one();
    const auto line = encode_worker_outcome(outcome);
    const auto back = decode_worker_outcome(line);
    REQUIRE(back);
    CHECK(encode_worker_outcome(*back) == line);
    CHECK(back->tasks.at(0).age == outcome.tasks[0].age);
    CHECK(back->commands.at(0).code == result_code::worker_full);
}

TEST_CASE("A corrupted message is rejected or is another valid message",
          "[platform]")
{
    const auto text = GENERATE(encode_worker_batch(batch_of_one()),
                               encode_worker_outcome(outcome_of_one()));
    rc::check([&text] {
        auto corrupted = text;
        const auto at = *rc::gen::inRange<std::size_t>(0, corrupted.size());
        corrupted[at] = *rc::gen::arbitrary<char>();
        corrupted.resize(
            *rc::gen::inRange<std::size_t>(at, corrupted.size() + 1));
        (void)decode_worker_batch(corrupted);
        (void)decode_worker_outcome(corrupted);
    });
}

TEST_CASE("Fields of the wrong type or range are rejected", "[platform]")
{
    for (const std::string text :
         {R"([])", R"({"epoch":-1})", R"({"epoch":1.5})", R"({"renew":1})",
          R"({"lease_ms":-5})", R"({"commands":{}})",
          R"({"commands":[{"kind":"run","job":"j"}]})",
          R"({"commands":[{"kind":"start","job":""}]})",
          R"({"commands":[{"kind":"start","job":"j","index":4294967296}]})",
          R"({"commands":[{"kind":"start","job":"j","millicores":-1}]})"}) {
        INFO(text);
        CHECK_FALSE(decode_worker_batch(text));
    }
}

TEST_CASE("The outcome distinguishes rejected from possibly executed batches",
          "[platform]")
{
    fixture it;
    it.server.answer.body = encode_worker_outcome(outcome_of_one());
    CHECK(it.send().code == result_code::ok);

    auto fenced = outcome_of_one();
    fenced.code = result_code::worker_epoch_refused;
    it.server.answer = {.status = 412, .body = encode_worker_outcome(fenced)};
    CHECK(it.send().code == result_code::worker_epoch_refused);
    CHECK(it.send().epoch == 4096);

    // Status 200 contradicts the code of a rejection.
    it.server.answer.status = 200;
    CHECK(it.send().code == result_code::worker_answer_malformed);
    auto short_answer = outcome_of_one();
    short_answer.commands.clear();
    it.server.answer.body = encode_worker_outcome(short_answer);
    CHECK(it.send().code == result_code::worker_answer_malformed);
    it.server.answer.body = "{";
    CHECK(it.send().code == result_code::worker_answer_malformed);

    it.server.answer.status = 404;
    CHECK(it.send().code == result_code::worker_unreachable);
    it.server.answer.status = 500;
    CHECK(it.send().code == result_code::worker_answer_unknown);
    it.server.answer = {.body = encode_worker_outcome(outcome_of_one())};
    it.server.lose = true;
    it.server.lose_after = 10;
    CHECK(it.send().code == result_code::worker_answer_unknown);
    it.server.stop();
    CHECK(it.send().code == result_code::worker_unreachable);
}
