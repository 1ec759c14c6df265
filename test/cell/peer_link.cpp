#include <rosemarytrail/cell/peer_link.hpp>
#include <rosemarytrail/fleet/msgpack.hpp>
#include <test/lib/fixed_server.hpp>

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <future>

namespace rosemarytrail::cell {

namespace {

using namespace std::chrono_literals;
constexpr time_point now{std::chrono::seconds{50}};

} // namespace

TEST_CASE("A call to a peer round-trips", "[peer]")
{
    client_call call{
        .kind = call_kind::submit,
        .host = "h",
        .path = "/p/1",
        .key = "k",
        .job = fleet::job_spec{.payload = "x", .steps = {{.tasks = 3}}},
        .deadline = now + 700ms,
        .min_config = 9,
        .number = {.origin = "n1", .value = 4}};
    const auto other_clock = now + 1h;
    const auto it = decode_call(encode_call(call, now), other_clock);
    REQUIRE(it);
    CHECK(it->kind == call_kind::submit);
    CHECK(it->job->steps[0].tasks == 3);
    CHECK(it->deadline == other_clock + 700ms);
    CHECK(it->forwarded);
    CHECK(it->min_config == 9);
    CHECK(it->number == call.number);
    CHECK_FALSE(decode_call("\xc1", now));
}

TEST_CASE("The status of a call round-trips", "[peer]")
{
    const call_number number{.origin = "n1", .value = 4};
    CHECK(decode_call_number(encode_call_number(number)) == number);
    CHECK_FALSE(decode_call_number("zz"));
    const auto in_progress = decode_call_report(encode_call_report(
        {.progress = call_progress::in_progress, .answer = std::nullopt}));
    REQUIRE(in_progress);
    CHECK(in_progress->progress == call_progress::in_progress);
    CHECK_FALSE(in_progress->answer);
    const auto answered = decode_call_report(encode_call_report(
        {.progress = call_progress::answered,
         .answer = client_answer{.kind = answer_kind::cancelled}}));
    REQUIRE(answered);
    CHECK(answered->answer->kind == answer_kind::cancelled);
    CHECK_FALSE(decode_call_report("zz"));
}

TEST_CASE("A status query distinguishes the states of a peer", "[peer]")
{
    test::fixed_server server;
    auto expected = call_progress::unanswered;
    SECTION("serving the call")
    {
        expected = call_progress::in_progress;
        server.answer.body =
            encode_call_report({.progress = expected, .answer = std::nullopt});
    }
    SECTION("of a build that does not know the path")
    {
        expected = call_progress::unsupported;
        server.answer.status = 404;
    }
    SECTION("stopped: nothing listens")
    {
        expected = call_progress::refused;
        server.stop();
    }
    SECTION("failing: no status")
    {
        server.answer.status = 500;
    }
    server.publish();
    const auto client = http::make_curl_client({});
    const auto peers = make_peer_link(*client);
    const auto address = server.base().substr(std::string{"http://"}.size());
    std::promise<call_progress> result;
    peers->query_call(
        address, {.origin = "n1", .value = 4}, 5s,
        [&](const call_report& it) { result.set_value(it.progress); });
    CHECK(result.get_future().get() == expected);
}

TEST_CASE("A message to a peer round-trips", "[peer]")
{
    const peer_message message{
        .entries = {{.key = "j/1", .value = "v"},
                    {.key = "c/2", .value = std::nullopt}},
        .send_within = 800ms,
        .advice_requests = {{.step = {.job = 5, .occurrence = 1, .step = 2},
                             .workers = {"w1", "w2"},
                             .expected = std::chrono::milliseconds{700}}}};
    const auto it = decode_message(encode_message(message));
    REQUIRE(it);
    REQUIRE(it->entries.size() == 2);
    CHECK(it->entries[0].value == "v");
    CHECK_FALSE(it->entries[1].value);
    CHECK(it->send_within == duration{800ms});
    const auto without = decode_message(encode_message({}));
    REQUIRE(without);
    CHECK_FALSE(without->send_within);
    CHECK(it->advice_requests == message.advice_requests);
    CHECK_FALSE(decode_message("\xc1"));
}

TEST_CASE("Messages of earlier builds and those for them are decoded", "[peer]")
{
    using json = nlohmann::json;
    const auto encoded = encode_message({.advice_node = "n-1-1@h:1#250"});
    const auto it = decode_message(encoded);
    REQUIRE(it);
    CHECK(it->advice_node == "n-1-1@h:1#250");
    // An earlier build reads the first two fields only.
    const auto fields = json::from_msgpack(encoded);
    REQUIRE(fields.size() == 4);
    CHECK(fields.at(0) == json::array());
    CHECK(fields.at(1) == json::array());
    const auto old = decode_message(
        fleet::pack(json::array({json::array(), json::array()})));
    REQUIRE(old);
    CHECK(old->advice_node.empty());
    CHECK(json::from_msgpack(encode_message({})).size() == 3);
    CHECK_FALSE(decode_message(
        fleet::pack(json::array({json::array(), json::array(), "n"}))));
    CHECK_FALSE(decode_message(
        fleet::pack(json::array({json::array(), json::array(), -1, 7}))));
}

TEST_CASE("A leadership status round-trips", "[peer]")
{
    const auto it = decode_leader_status(encode_leader_status(
        {.leading = true, .epoch = 7, .store_age = 300ms}));
    REQUIRE(it);
    CHECK(it->leading);
    CHECK(it->epoch == 7);
    CHECK(it->store_age == duration{300ms});
    CHECK_FALSE(decode_leader_status("zz"));
}

TEST_CASE("Deeply nested messages of peers are rejected", "[peer]")
{
    constexpr std::size_t depth = 1000000;
    const std::string bytes(depth, '\x91');
    CHECK_FALSE(decode_message(bytes));
    CHECK_FALSE(decode_call(bytes, now));
    CHECK_FALSE(decode_answer(bytes));
    CHECK_FALSE(decode_call_number(bytes));
    CHECK_FALSE(decode_call_report(bytes));
    CHECK_FALSE(decode_leader_status(bytes));
}

TEST_CASE("A response of a peer round-trips", "[peer]")
{
    const client_answer answer{.kind = answer_kind::state,
                               .state = fleet::job_state::completed,
                               .code = result_code::ok,
                               .retry_after = 1s,
                               .config = 7};
    const auto it = decode_answer(encode_answer(answer));
    REQUIRE(it);
    CHECK(it->state == fleet::job_state::completed);
    CHECK(it->retry_after == duration{1s});
    CHECK(it->config == 7);
    CHECK_FALSE(decode_answer("zz"));
}

} // namespace rosemarytrail::cell
