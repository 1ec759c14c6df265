#include <rosemarytrail/metrics/registry.hpp>
#include <rosemarytrail/rpc/internal/conversion.hpp>
#include <rosemarytrail/rpc/internal/heartbeat_codec.hpp>
#include <rosemarytrail/rpc/peer_client.hpp>
#include <rosemarytrail/rpc/peer_server.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <random>

namespace rosemarytrail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

control::heartbeat some_heartbeat()
{
    const request::upstream_view upstream{.vm = vm_id{"vm-1"},
                                          .zone = zone_id{"z"},
                                          .address = "127.0.0.1:9",
                                          .slots = 8,
                                          .connections = 64,
                                          .busy_slots = 3,
                                          .leaving = true};
    return {.sender = incarnation_id{"a"},
            .next_offset = 42,
            .draining = true,
            .partitions = {{.partition = 7,
                            .epoch = 1025,
                            .free = {1, 2, 3},
                            .capacity = {4, 5, 6},
                            .largest_room = {7, 8, 9},
                            .vms = 2,
                            .queued_tasks = 10,
                            .running_tasks = 11,
                            .settled = true,
                            .teams = {{.team = team_id{"t"},
                                       .used = {1, 1, 1},
                                       .queued = {2, 2, 2}}},
                            .endpoints = {{.service = service_id{"plugs"},
                                           .upstream = upstream}}}}};
}

/** Handler with fixed responses. */
class fake_handler final : public rpc::peer_handler
{
public:
    control::heartbeat on_heartbeat(const control::heartbeat& theirs) override
    {
        received = theirs;
        return answer;
    }
    std::vector<backends::log_entry> on_relay(std::uint64_t from,
                                              std::size_t bytes) override
    {
        relay_bytes = bytes;
        return {{.offset = from, .payload = std::string{"a\0b", 3}},
                {.offset = from + 1, .payload = ""}};
    }
    std::optional<control::job_status> on_status(const job_id& job) override
    {
        if (job != job_id{"j"})
            return std::nullopt;
        return control::job_status{.job = job,
                                   .name = "n",
                                   .team = team_id{"t"},
                                   .policy = "batch",
                                   .phase = "running",
                                   .partition = 3,
                                   .tasks = 9,
                                   .queued = 1,
                                   .running = 2,
                                   .succeeded = 4,
                                   .failed = 2,
                                   .waits_for = result_code::waiting_for_room,
                                   .wait_detail = "d",
                                   .waits_since = seconds{5},
                                   .from_holder = true,
                                   .vms = {vm_id{"v"}}};
    }
    void on_cancel(const job_id& job,
                   std::function<void(control::cancel_outcome)> done) override
    {
        cancelled = job;
        if (defer_cancel)
            deferred.push_back(std::move(done));
        else
            done({.in_effect = true, .recorded = false});
    }

    control::heartbeat answer{.sender = incarnation_id{"b"}};
    control::heartbeat received;
    std::size_t relay_bytes{};
    job_id cancelled;
    bool defer_cancel{false};
    std::vector<std::function<void(control::cancel_outcome)>> deferred;
};

/** Server and client on one event loop. */
struct fixture
{
    explicit fixture(rpc::peer_client_options how = {})
        : client{how, network(), timer(), metrics}
    {
        start();
    }

    kj::Network& network() { return io.provider->getNetwork(); }
    kj::Timer& timer() { return io.provider->getTimer(); }

    void start()
    {
        server = std::make_unique<rpc::peer_server>(
            rpc::peer_server_options{.port = port, .message_bytes = 1U << 20U},
            network(), timer(), handler, metrics);
        reason why;
        const auto listening = server->start(why);
        REQUIRE(listening);
        port = *listening;
        address = "127.0.0.1:" + std::to_string(port);
    }

    /** Runs the loop until a condition holds; fails after 10000 turns. */
    template <typename Condition>
    void run_until(Condition met)
    {
        for (int n = 0; n < 10000 && !met(); ++n)
            timer().afterDelay(1 * kj::MILLISECONDS).wait(io.waitScope);
        REQUIRE(met());
    }

    std::optional<control::heartbeat> exchange()
    {
        std::optional<control::heartbeat> theirs;
        int calls = 0;
        client.exchange(address, some_heartbeat(), [&](auto value) {
            theirs = std::move(value);
            ++calls;
        });
        REQUIRE(calls == 0);
        run_until([&] { return calls > 0; });
        REQUIRE(calls == 1);
        return theirs;
    }

    kj::AsyncIoContext io{kj::setupAsyncIo()};
    metrics::registry metrics;
    fake_handler handler;
    std::uint16_t port{0};
    std::string address;
    std::unique_ptr<rpc::peer_server> server;
    rpc::peer_client client;
};

} // namespace

TEST_CASE("each message round-trips unchanged")
{
    fixture it;
    it.handler.answer = some_heartbeat();
    const auto theirs = it.exchange();
    REQUIRE(theirs);
    for (const auto& got : {*theirs, it.handler.received}) {
        CHECK(got.sender == incarnation_id{"a"});
        CHECK(got.next_offset == 42);
        CHECK(got.draining);
        REQUIRE(got.partitions.size() == 1);
        const auto& part = got.partitions[0];
        CHECK(part.partition == 7);
        CHECK(part.epoch == 1025);
        CHECK(part.free == resources{1, 2, 3});
        CHECK(part.capacity == resources{4, 5, 6});
        CHECK(part.largest_room == resources{7, 8, 9});
        CHECK(part.vms == 2);
        CHECK(part.queued_tasks == 10);
        CHECK(part.running_tasks == 11);
        CHECK(part.settled);
        CHECK(part.teams.at(0).team == team_id{"t"});
        CHECK(part.teams.at(0).used == resources{1, 1, 1});
        CHECK(part.teams.at(0).queued == resources{2, 2, 2});
        const auto& end = part.endpoints.at(0);
        CHECK(end.service == service_id{"plugs"});
        CHECK(end.upstream.vm == vm_id{"vm-1"});
        CHECK(end.upstream.zone == zone_id{"z"});
        CHECK(end.upstream.address == "127.0.0.1:9");
        CHECK(end.upstream.slots == 8);
        CHECK(end.upstream.connections == 64);
        CHECK(end.upstream.busy_slots == 3);
        CHECK(end.upstream.leaving);
    }

    int answers = 0;
    it.client.relay(it.address, 5, 1U << 30U, [&](auto entries) {
        ++answers;
        REQUIRE(entries);
        REQUIRE(entries->size() == 2);
        CHECK(entries->at(0).offset == 5);
        CHECK(entries->at(0).payload == std::string{"a\0b", 3});
    });
    it.client.status(it.address, job_id{"j"}, [&](auto job) {
        ++answers;
        REQUIRE(job);
        CHECK(job->name == "n");
        CHECK(job->team == team_id{"t"});
        CHECK(job->policy == "batch");
        CHECK(job->phase == "running");
        CHECK(job->partition == 3);
        CHECK(job->tasks == 9);
        CHECK(job->queued == 1);
        CHECK(job->running == 2);
        CHECK(job->succeeded == 4);
        CHECK(job->failed == 2);
        CHECK(job->waits_for == result_code::waiting_for_room);
        CHECK(job->wait_detail == "d");
        CHECK(job->waits_since == seconds{5});
        CHECK(job->from_holder);
        CHECK(job->vms == std::vector{vm_id{"v"}});
    });
    it.client.status(it.address, job_id{"other"}, [&](auto job) {
        ++answers;
        CHECK_FALSE(job);
    });
    it.client.cancel(it.address, job_id{"k"}, [&](auto outcome) {
        ++answers;
        REQUIRE(outcome);
        CHECK(outcome->in_effect);
        CHECK_FALSE(outcome->recorded);
    });
    it.run_until([&] { return answers == 4; });
    CHECK(it.handler.cancelled == job_id{"k"});
    CHECK(it.handler.relay_bytes <= std::size_t{1} << 20U);
    CHECK(it.server->connections() == 1);
}

TEST_CASE("delta heartbeats carry the same state in fewer bytes")
{
    fixture it;
    std::mt19937_64 random{1};
    auto mine = some_heartbeat();
    mine.partitions.clear();
    for (int n = 0; n < 100; ++n) {
        // Each direction adds, changes and removes partitions.
        for (auto* side : {&mine, &it.handler.answer}) {
            auto summary = some_heartbeat().partitions[0];
            summary.partition = random() % 8;
            summary.epoch = random() % 3;
            summary.endpoints[0].upstream.busy_slots = random() % 3;
            std::erase_if(side->partitions, [&](const auto& old) {
                return old.partition == summary.partition ||
                       old.partition == random() % 16;
            });
            side->partitions.push_back(summary);
            std::ranges::sort(side->partitions, {},
                              &control::partition_summary::partition);
        }
        std::optional<control::heartbeat> theirs;
        bool ended = false;
        // A rejected call in between must not affect the next one.
        if (n % 10 == 5) {
            auto wrong = mine;
            wrong.partitions[0].partition = 256;
            it.client.exchange(it.address, wrong, [](auto) {});
        }
        it.client.exchange(it.address, mine, [&](auto value) {
            theirs = std::move(value);
            ended = true;
        });
        it.run_until([&] { return ended; });
        if (n % 10 == 5)
            continue;
        REQUIRE(theirs);
        const auto differs = [](const auto& got, const auto& sent) {
            return got.partition != sent.partition || got.epoch != sent.epoch ||
                   got.endpoints[0].upstream.busy_slots !=
                       sent.endpoints[0].upstream.busy_slots;
        };
        CHECK(std::ranges::mismatch(theirs->partitions,
                                    it.handler.answer.partitions,
                                    std::not_fn(differs))
                  .in1 == theirs->partitions.end());
        CHECK(theirs->partitions.size() == it.handler.answer.partitions.size());
        REQUIRE(it.handler.received.partitions.size() ==
                mine.partitions.size());
        CHECK(std::ranges::equal(it.handler.received.partitions,
                                 mine.partitions, std::not_fn(differs)));
    }
    CHECK(it.server->connections() == 1);

    rpc::internal::heartbeat_encoder encoder;
    capnp::MallocMessageBuilder first;
    capnp::MallocMessageBuilder second;
    encoder.write(first.initRoot<rpc::wire::Heartbeat>(), some_heartbeat());
    encoder.write(second.initRoot<rpc::wire::Heartbeat>(), some_heartbeat());
    CHECK(4 * second.sizeInWords() < first.sizeInWords());
}

TEST_CASE("a lost peer fails the calls in flight and is reconnected")
{
    fixture it{
        {.min_backoff = milliseconds{1}, .max_backoff = milliseconds{2}}};
    REQUIRE(it.exchange());
    it.handler.defer_cancel = true;
    int ended = 0;
    it.client.cancel(it.address, job_id{"k"}, [&](auto outcome) {
        ++ended;
        CHECK_FALSE(outcome);
    });
    it.run_until([&] { return !it.handler.deferred.empty(); });
    it.server->stop();
    it.run_until([&] { return ended == 1; });
    // The handler may still complete a call whose connection is closed.
    it.handler.deferred[0]({.in_effect = true});
    CHECK_FALSE(it.exchange());
    it.start();
    it.run_until([&] { return it.exchange().has_value(); });
    CHECK(ended == 1);
}

TEST_CASE("a call without a response fails at its timeout")
{
    fixture it{
        {.call_timeout = milliseconds{20}, .cancel_timeout = milliseconds{20}}};
    it.handler.defer_cancel = true;
    int ended = 0;
    it.client.cancel(it.address, job_id{"k"}, [&](auto outcome) {
        ++ended;
        CHECK_FALSE(outcome);
    });
    it.run_until([&] { return ended == 1; });
    // A cancellation waits for workers, so its timeout keeps the connection.
    REQUIRE(it.exchange());
    CHECK(it.server->connections() == 1);
}

TEST_CASE("calls beyond the limit are rejected and stop fails the rest")
{
    fixture it{{.calls_in_flight = 2}};
    it.handler.defer_cancel = true;
    int ended = 0;
    for (int n = 0; n < 3; ++n) {
        it.client.cancel(it.address, job_id{"k"}, [&](auto outcome) {
            ++ended;
            CHECK_FALSE(outcome);
        });
    }
    it.run_until([&] { return ended == 1; });
    int late = 0;
    it.client.stop();
    CHECK(ended == 3);
    it.client.exchange(it.address, some_heartbeat(), [&](auto theirs) {
        ++late;
        CHECK_FALSE(theirs);
    });
    CHECK(late == 1);
}

TEST_CASE("a field out of range fails only its call")
{
    fixture it;
    auto wrong = some_heartbeat();
    wrong.partitions[0].partition = rpc::internal::max_partition + 1;
    int ended = 0;
    it.client.exchange(it.address, wrong, [&](auto theirs) {
        ++ended;
        CHECK_FALSE(theirs);
    });
    it.run_until([&] { return ended == 1; });
    CHECK(it.handler.received.sender.empty());
    CHECK(it.exchange());
    CHECK(it.server->connections() == 1);
}

TEST_CASE("malformed bytes close only their connection")
{
    fixture it;
    std::mt19937_64 random{1};
    for (int n = 0; n < 200; ++n) {
        auto node =
            it.network().parseAddress(it.address.c_str()).wait(it.io.waitScope);
        auto stream = node->connect().wait(it.io.waitScope);
        std::string noise(1 + random() % 256, '\0');
        for (auto& c : noise)
            c = static_cast<char>(random() % (n % 2 == 0 ? 256 : 4));
        stream->write(noise.data(), noise.size()).wait(it.io.waitScope);
        stream->shutdownWrite();
        if (n % 10 == 0)
            REQUIRE(it.exchange());
    }
    // A message that declares more than the limit is rejected at once.
    const std::uint32_t huge[] = {0, 0x7fffffffU};
    auto node =
        it.network().parseAddress(it.address.c_str()).wait(it.io.waitScope);
    auto stream = node->connect().wait(it.io.waitScope);
    stream->write(huge, sizeof huge).wait(it.io.waitScope);
    it.run_until([&] { return it.server->connections() <= 1; });
    CHECK(it.exchange());
}

TEST_CASE("a corrupted heartbeat is read or rejected without a crash")
{
    rc::check([](std::uint64_t seed) {
        capnp::MallocMessageBuilder builder;
        rpc::internal::write(builder.initRoot<rpc::wire::Heartbeat>(),
                             some_heartbeat());
        auto words = capnp::messageToFlatArray(builder);
        auto bytes = words.asBytes();
        std::mt19937_64 random{seed};
        for (int n = 0; n < 4; ++n)
            bytes[random() % bytes.size()] = static_cast<kj::byte>(random());
        const auto failed = kj::runCatchingExceptions([&] {
            capnp::FlatArrayMessageReader reader{words};
            const auto value =
                rpc::internal::read(reader.getRoot<rpc::wire::Heartbeat>());
            RC_ASSERT(!value || !value->sender.empty());
        });
        (void)failed;
    });
}

} // namespace rosemarytrail
