#include <rosemarytrail/cell/relayed_workers.hpp>

#include <rosemarytrail/cell/member_name.hpp>
#include <rosemarytrail/cell/worker_relay.hpp>

#include <test/lib/model_cell.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <vector>

namespace rosemarytrail::cell {

namespace {

using namespace std::chrono_literals;
constexpr duration timeout = 10s;

/** @brief Peers whose messages the test delivers and answers. */
class scripted_peers final : public peer_link
{
public:
    void forward(std::string_view /*address*/, const client_call& /*call*/,
                 duration /*timeout*/, callback /*done*/) override
    {}
    void query_call(std::string_view /*address*/, const call_number& /*number*/,
                    duration /*timeout*/,
                    std::function<void(const call_report&)> /*done*/) override
    {}
    void send(std::string_view /*address*/, const peer_message& /*message*/,
              duration /*timeout*/,
              std::function<void(message_result)> /*done*/) override
    {}
    void
    query_leader(std::string_view /*address*/, duration /*timeout*/,
                 std::function<void(leader_query_result, const leader_status&)>
                 /*done*/) override
    {}
    void send_calls(std::string_view address, const worker_call_batch& batch,
                    duration /*timeout*/,
                    std::function<void(message_result)> done) override
    {
        calls.push_back({std::string{address}, batch, std::move(done)});
    }
    void send_results(std::string_view address,
                      const worker_result_batch& batch, duration /*timeout*/,
                      std::function<void(message_result)> done) override
    {
        results.push_back({std::string{address}, batch, std::move(done)});
    }

    template <typename Batch>
    struct message
    {
        std::string address;
        Batch batch;
        std::function<void(message_result)> done;
    };

    std::vector<message<worker_call_batch>> calls;
    std::vector<message<worker_result_batch>> results;
};

const std::string leader =
    to_text({.incarnation = "l-1-1", .address = "l:1", .cpu_millis = 500});
const std::string relay =
    to_text({.incarnation = "r-1-1", .address = "r:1", .cpu_millis = 500});

[[nodiscard]] fleet::start_request start_of(std::uint32_t run)
{
    return {.worker = {.id = "w1", .address = "w1:1"},
            .task = {.step = {.job = 1}},
            .run = run,
            .payload = std::make_shared<const std::string>("p")};
}

/** @brief Leader's port whose worker `w1` has a relay. */
struct leader_port
{
    leader_port() { port.set_plan({{"w1", relay}}); }

    /** @brief Starts a run; counts the results of each run. */
    void start(std::uint32_t run)
    {
        port.start(start_of(run), [this, run](const fleet::start_response& it) {
            ++answers[run];
            last = it.result;
        });
    }

    test::stepped_loop loop;
    test::model_workers direct{loop};
    scripted_peers peers;
    metrics::counter relayed;
    metrics::counter lost;
    relayed_workers port{{}, leader, direct, peers, relayed, lost};
    std::map<std::uint32_t, std::size_t> answers;
    std::optional<fleet::start_result> last;
};

/** @brief Leader's port with a poll to each of many workers, which have one
 * relay. */
struct many_polls : leader_port
{
    static constexpr std::size_t workers = 300;

    many_polls()
    {
        for (std::size_t i = 0; i < workers; ++i) {
            plan.emplace("w" + std::to_string(i), relay);
        }
        port.set_plan(plan);
        for (const auto& [worker, name] : plan) {
            port.poll({.worker = {.id = worker, .address = worker + ":1"}},
                      [this](fleet::poll_result, const fleet::poll_response&) {
                          ++answered;
                      });
        }
        port.run(boot_clock::now());
    }

    relay_assignment plan;
    std::size_t answered{};
};

[[nodiscard]] worker_result_batch started(std::uint64_t id)
{
    return {.leader = leader,
            .results = {
                {.id = id,
                 .result = fleet::start_response{
                     .result = fleet::start_result::started, .clock_ms = 5}}}};
}

/** @brief Relay of a leader. */
struct relay_node
{
    [[nodiscard]] static worker_call_batch batch_of(std::string to,
                                                    std::uint32_t run)
    {
        return {.relay = std::move(to),
                .leader = leader,
                .calls = {std::make_shared<const worker_call>(
                    worker_call{.id = run, .request = start_of(run)})}};
    }

    test::stepped_loop loop;
    test::model_workers workers{loop};
    scripted_peers peers;
    worker_relay it{{}, relay, loop, workers, peers};
};

} // namespace

TEST_CASE("Calls that wait are sent to the relay in one message", "[relayed]")
{
    leader_port it;
    it.start(1);
    it.start(2);
    it.port.run(boot_clock::now());
    REQUIRE(it.peers.calls.size() == 1);
    CHECK(it.peers.calls[0].address == "r:1");
    CHECK(it.peers.calls[0].batch.relay == relay);
    CHECK(it.peers.calls[0].batch.calls.size() == 2);
    // The next message waits for the response to this one.
    it.start(3);
    it.port.run(boot_clock::now() + 500ms);
    CHECK(it.peers.calls.size() == 1);
    it.peers.calls[0].done(message_result::accepted);
    it.port.run(boot_clock::now() + 500ms);
    CHECK(it.peers.calls.size() == 2);
    CHECK(it.port.receive(started(1)));
    CHECK(it.answers[1] == 1);
    CHECK(it.direct.starts.empty());
    CHECK(it.relayed.value() == 3);
}

TEST_CASE("A backlog of calls is sent in messages of limited size", "[relayed]")
{
    leader_port it;
    constexpr std::uint32_t calls = 500;
    for (std::uint32_t n = 1; n <= calls; ++n) {
        it.start(n);
    }
    auto now = boot_clock::now();
    std::size_t sent = 0;
    while (sent < calls) {
        it.port.run(now += 20ms);
        auto message = it.peers.calls.back();
        const auto n = message.batch.calls.size();
        CHECK(n <= 100);
        REQUIRE(n > 0);
        sent += n;
        message.done(message_result::accepted);
    }
    // Calls that have not been sent yet are not overdue.
    CHECK(it.lost.value() == 0);
}

TEST_CASE("Calls of a relay that does not respond are made directly",
          "[relayed]")
{
    const auto result =
        GENERATE(message_result::refused, message_result::unknown);
    leader_port it;
    it.start(1);
    it.port.run(boot_clock::now());
    it.start(2);
    it.peers.calls[0].done(result);
    REQUIRE(it.direct.starts.size() == 2);
    CHECK(it.direct.starts[0].run == 1);
    CHECK(it.lost.value() == 1);
    // Until it is trusted again, calls bypass it.
    it.start(3);
    CHECK(it.direct.starts.size() == 3);
    REQUIRE(it.loop.run_until([&] { return it.answers.size() == 3; }, timeout));
    // The relay may have made the call all the same; its result is late.
    CHECK(it.port.receive(started(1)));
    CHECK(it.answers[1] == 1);
    CHECK(it.port.open_calls() == 0);
}

TEST_CASE("A start that a lost relay may have made is never reported as not "
          "executed",
          "[relayed]")
{
    const auto refusal = GENERATE(
        fleet::start_result::not_sent, fleet::start_result::unhealthy,
        fleet::start_result::no_capacity, fleet::start_result::unknown);
    const auto result =
        GENERATE(message_result::refused, message_result::unknown);
    leader_port it;
    it.direct.answer = refusal;
    it.start(1);
    it.port.run(boot_clock::now());
    it.peers.calls[0].done(result);
    REQUIRE(it.loop.run_until([&] { return it.answers[1] == 1; }, timeout));
    // A relay that refuses calls makes none of them.
    CHECK(it.last == (result == message_result::refused
                          ? refusal
                          : fleet::start_result::unknown));
}

TEST_CASE("Another relay makes the calls of a lost one", "[relayed]")
{
    const std::string other =
        to_text({.incarnation = "s-1-1", .address = "s:1", .cpu_millis = 500});
    leader_port it;
    it.port.set_plan({{"w1", relay}, {"w2", other}});
    it.start(1);
    it.port.run(boot_clock::now());
    it.peers.calls[0].done(message_result::unknown);
    it.start(2);
    it.port.run(boot_clock::now());
    REQUIRE(it.peers.calls.size() == 2);
    CHECK(it.peers.calls[1].address == "s:1");
    CHECK(it.peers.calls[1].batch.calls.size() == 2);
    CHECK(it.direct.starts.empty());
    // The lost relay may have made the first one, not the second.
    for (const std::uint64_t id : {1, 2}) {
        CHECK(it.port.receive(
            {.leader = leader,
             .results = {{.id = id,
                          .result = fleet::start_response{
                              .result = fleet::start_result::not_sent,
                              .clock_ms = std::nullopt}}}}));
        CHECK(it.last == (id == 1 ? fleet::start_result::unknown
                                  : fleet::start_result::not_sent));
    }
}

// Guards against a leader that spends its processor time on calls to all
// workers at once after all relays have restarted.
TEST_CASE("The leader makes a limited number of calls directly at a time",
          "[relayed]")
{
    constexpr auto limit = relayed_workers_options{}.max_direct_calls;
    many_polls it;
    it.peers.calls[0].done(message_result::refused);
    CHECK(it.direct.polls.size() == limit);
    CHECK(it.port.open_calls() == many_polls::workers);
    // Calls that wait go to a relay as soon as there is one.
    const std::string other =
        to_text({.incarnation = "s-1-1", .address = "s:1", .cpu_millis = 500});
    for (auto& [worker, name] : it.plan) {
        name = other;
    }
    it.port.set_plan(it.plan);
    it.port.run(boot_clock::now());
    CHECK(it.direct.polls.size() == limit);
    REQUIRE(it.peers.calls.size() == 2);
    CHECK(it.peers.calls[1].address == "s:1");
    REQUIRE(it.loop.run_until([&] { return it.answered == limit; }, timeout));
}

TEST_CASE("Calls that wait for a relay are all made without one", "[relayed]")
{
    many_polls it;
    it.peers.calls[0].done(message_result::unknown);
    REQUIRE(it.loop.run_until(
        [&] {
            it.port.run(boot_clock::now());
            return it.answered == many_polls::workers;
        },
        timeout));
    CHECK(it.port.open_calls() == 0);
}

// Guards against relays that were only paused being unused for long.
TEST_CASE("A relay that refused calls is soon used again", "[relayed]")
{
    leader_port it;
    it.start(1);
    it.port.run(boot_clock::now());
    it.peers.calls[0].done(message_result::refused);
    const auto used_again = [&] {
        it.start(2);
        it.port.run(boot_clock::now());
        return it.peers.calls.size() == 2;
    };
    CHECK(it.loop.run_until(used_again, 3s));
}

TEST_CASE("A poll reaches the third relay after two that return nothing",
          "[relayed]")
{
    leader_port it;
    const auto name = [](const std::string& id) {
        return to_text({.incarnation = id + "-1-1",
                        .address = id + ":1",
                        .cpu_millis = 500});
    };
    it.port.set_plan({{"w1", name("a")}, {"w2", name("b")}, {"w3", name("c")}});
    it.port.poll({.worker = {.id = "w1", .address = "w1:1"}, .wait = 1s},
                 [](fleet::poll_result, const fleet::poll_response&) {});
    auto now = boot_clock::now();
    const auto begin = now;
    std::string order;
    std::size_t seen = 0;
    // All relays accept the calls; a and b return nothing.
    while (now - begin < 30s) {
        it.port.run(now += 50ms);
        for (; seen < it.peers.calls.size(); ++seen) {
            order += it.peers.calls[seen].address + " ";
            const auto done = it.peers.calls[seen].done;
            done(message_result::accepted);
        }
    }
    INFO("the poll went to " << order << "direct " << it.direct.polls.size());
    CHECK(order.find("c:1") != std::string::npos);
}

TEST_CASE("A start that the worker confirms counts as started", "[relayed]")
{
    leader_port it;
    it.start(1);
    it.port.run(boot_clock::now());
    it.peers.calls[0].done(message_result::unknown);
    REQUIRE(it.loop.run_until([&] { return it.answers[1] == 1; }, timeout));
    CHECK(it.last == fleet::start_result::started);
}

TEST_CASE("A relay whose results are overdue is replaced", "[relayed]")
{
    leader_port it;
    it.start(1);
    it.port.run(boot_clock::now());
    it.peers.calls[0].done(message_result::accepted);
    it.port.run(boot_clock::now() + 1s);
    CHECK(it.direct.starts.empty());
    it.port.run(boot_clock::now() + 2s);
    CHECK(it.direct.starts.size() == 1);
    REQUIRE(it.loop.run_until([&] { return it.answers[1] == 1; }, timeout));
}

TEST_CASE("A node that no longer leads sends no queued calls", "[relayed]")
{
    leader_port it;
    it.start(1);
    it.port.clear();
    it.port.run(boot_clock::now() + 1s);
    CHECK(it.peers.calls.empty());
    CHECK(it.direct.starts.empty());
}

TEST_CASE("Results for an earlier incarnation are rejected", "[relayed]")
{
    leader_port it;
    it.start(1);
    auto batch = started(1);
    batch.leader = "earlier";
    CHECK_FALSE(it.port.receive(batch));
    CHECK(it.answers.empty());
}

TEST_CASE("A relay makes the calls and returns their results", "[relayed]")
{
    relay_node node;
    CHECK(node.it.receive(relay_node::batch_of(relay, 1), boot_clock::now()));
    REQUIRE(node.loop.run_until([&] { return !node.peers.results.empty(); },
                                timeout));
    CHECK(node.workers.starts.size() == 1);
    CHECK(node.peers.results[0].address == "l:1");
    CHECK(node.peers.results[0].batch.results.size() == 1);
    // Without response, the results are sent again.
    node.peers.results[0].done(message_result::unknown);
    REQUIRE(node.loop.run_until([&] { return node.peers.results.size() == 2; },
                                timeout));
    CHECK(node.peers.results[1].batch.results[0].id == 1);
}

TEST_CASE("A relay rejects calls for an earlier incarnation", "[relayed]")
{
    relay_node node;
    CHECK_FALSE(
        node.it.receive(relay_node::batch_of("earlier", 1), boot_clock::now()));
    CHECK(node.workers.starts.empty());
}

TEST_CASE("A relay that was paused rejects what waited meanwhile", "[relayed]")
{
    relay_node node;
    const auto now = boot_clock::now();
    node.it.on_tick(now);
    const auto batch = relay_node::batch_of(relay, 1);
    CHECK_FALSE(node.it.receive(batch, now + 4s));
    node.it.on_tick(now + 4s);
    CHECK_FALSE(node.it.receive(batch, now + 4s));
    CHECK(node.workers.starts.empty());
    node.it.on_tick(now + 4200ms);
    node.it.on_tick(now + 4400ms);
    CHECK(node.it.receive(batch, now + 4400ms));
}

} // namespace rosemarytrail::cell
