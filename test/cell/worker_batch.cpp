#include <rosemarytrail/cell/worker_batch.hpp>

#include <catch2/catch.hpp>

namespace rosemarytrail::cell {

namespace {

using namespace std::chrono_literals;

const fleet::worker_address worker{.id = "w1", .address = "10.0.0.9:80"};
const fleet::task_key task{
    .step = {.job = 0xfedcba9876543210ULL, .occurrence = 2, .step = 1},
    .index = 17};

} // namespace

TEST_CASE("Calls to workers round-trip", "[worker_batch]")
{
    const auto payload = std::make_shared<const std::string>(500, 'p');
    worker_call_batch batch{.relay = "r", .leader = "l", .calls = {}};
    const auto add = [&batch](auto request) {
        batch.calls.push_back(std::make_shared<const worker_call>(worker_call{
            .id = batch.calls.size() + 1, .request = std::move(request)}));
    };
    for (int n = 0; n < 3; ++n) {
        add(fleet::start_request{.worker = worker,
                                 .task = task,
                                 .run = 3,
                                 .payload = payload,
                                 .lease_end_ms = 4711,
                                 .epoch = 9,
                                 .generation = 3,
                                 .checkpoint = "c",
                                 .ticket = "t"});
    }
    add(fleet::stop_request{
        .worker = worker, .task = task, .run = 4, .epoch = 9, .generation = 4});
    add(fleet::throttle_request{.worker = worker,
                                .task = task,
                                .run = 5,
                                .percent = 25,
                                .epoch = 9,
                                .generation = 5});
    add(fleet::poll_request{.worker = worker,
                            .epoch = 9,
                            .generation = 6,
                            .acknowledged = 12,
                            .lease_end_ms = 815,
                            .wait = 1s});
    const auto bytes = encode_calls(batch);
    CHECK(bytes.size() < 1000);
    const auto it = decode_calls(bytes);
    REQUIRE(it);
    CHECK(it->relay == "r");
    CHECK(it->leader == "l");
    REQUIRE(it->calls.size() == 6);
    const auto& start = std::get<fleet::start_request>(it->calls[2]->request);
    CHECK(it->calls[2]->id == 3);
    CHECK(start.worker == worker);
    CHECK(start.task == task);
    CHECK(start.run == 3);
    CHECK(*start.payload == *payload);
    CHECK(start.lease_end_ms == 4711);
    CHECK(start.epoch == 9);
    CHECK(start.generation == 3);
    CHECK(start.checkpoint == "c");
    CHECK(start.ticket == "t");
    const auto& stop = std::get<fleet::stop_request>(it->calls[3]->request);
    CHECK(stop.task == task);
    CHECK(stop.run == 4);
    CHECK(stop.epoch == 9);
    CHECK(stop.generation == 4);
    const auto& throttle =
        std::get<fleet::throttle_request>(it->calls[4]->request);
    CHECK(throttle.run == 5);
    CHECK(throttle.percent == 25);
    CHECK(throttle.epoch == 9);
    CHECK(throttle.generation == 5);
    const auto& poll = std::get<fleet::poll_request>(it->calls[5]->request);
    CHECK(poll.generation == 6);
    CHECK(poll.acknowledged == 12);
    CHECK(poll.lease_end_ms == 815);
    CHECK(poll.wait == duration{1s});
}

TEST_CASE("Results of relayed calls round-trip", "[worker_batch]")
{
    const worker_result_batch batch{
        .leader = "l",
        .results = {
            {.id = 1,
             .result =
                 fleet::start_response{.result =
                                           fleet::start_result::ticket_refused,
                                       .clock_ms = 77}},
            {.id = 2, .result = true},
            {.id = 3,
             .result = poll_answer{
                 .result = fleet::poll_result::answered,
                 .response = {.clock_ms = 99,
                              .incarnation = 1234567890123,
                              .running = {{.task = task,
                                           .run = 3,
                                           .checkpoint = "c",
                                           .percent = 41,
                                           .usage = 250}},
                              .ended = {{.number = 7,
                                         .task = task,
                                         .run = 2,
                                         .how = fleet::run_end::gang_broken,
                                         .checkpoint = "d"}},
                              .ended_truncated = true}}}}};
    const auto it = decode_results(encode_results(batch));
    REQUIRE(it);
    CHECK(it->leader == "l");
    REQUIRE(it->results.size() == 3);
    const auto& start = std::get<fleet::start_response>(it->results[0].result);
    CHECK(start.result == fleet::start_result::ticket_refused);
    CHECK(start.clock_ms == 77);
    CHECK(std::get<bool>(it->results[1].result));
    const auto& poll = std::get<poll_answer>(it->results[2].result);
    CHECK(poll.result == fleet::poll_result::answered);
    CHECK(poll.response.clock_ms == 99);
    CHECK(poll.response.incarnation == 1234567890123);
    REQUIRE(poll.response.running.size() == 1);
    CHECK(poll.response.running[0].task == task);
    CHECK(poll.response.running[0].checkpoint == "c");
    CHECK(poll.response.running[0].percent == 41);
    CHECK(poll.response.running[0].usage == 250);
    REQUIRE(poll.response.ended.size() == 1);
    CHECK(poll.response.ended[0].number == 7);
    CHECK(poll.response.ended[0].how == fleet::run_end::gang_broken);
    CHECK(poll.response.ended_truncated);
}

TEST_CASE("Deeply nested batches are rejected", "[worker_batch]")
{
    constexpr std::size_t depth = 1000000;
    const std::string bytes(depth, '\x91');
    CHECK_FALSE(decode_calls(bytes));
    CHECK_FALSE(decode_results(bytes));
}

TEST_CASE("Malformed batches are rejected", "[worker_batch]")
{
    for (const auto* bad :
         {"", "\xc1", "zz", "\x90", "\x94\xa1r\xa1l\x90\x91\x90"}) {
        CHECK_FALSE(decode_calls(bad));
        CHECK_FALSE(decode_results(bad));
    }
    // A start that refers to a missing payload.
    auto bytes = encode_calls(
        {.relay = "r",
         .leader = "l",
         .calls = {std::make_shared<const worker_call>(worker_call{
             .id = 1,
             .request = fleet::start_request{
                 .worker = worker,
                 .payload = std::make_shared<const std::string>("abc")}})}});
    const auto at = bytes.find("\x91\xa3"
                               "abc");
    REQUIRE(at != std::string::npos);
    bytes[at] = '\x90';
    bytes.erase(at + 1, 4);
    CHECK_FALSE(decode_calls(bytes));
}

} // namespace rosemarytrail::cell
