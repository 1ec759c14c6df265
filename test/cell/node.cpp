#include <test/lib/model_cell.hpp>

#include <rosemarytrail/cell/member_name.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <iterator>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemarytrail::cell {

namespace {

using namespace std::chrono_literals;

/** @brief Maximum time to wait for a condition; a healthy node needs far less.
 */
constexpr duration timeout = 20s;

/** @brief Nodes that share one store and one worker. */
struct model_cell
{
    model_cell(std::size_t count, const node_options& common)
    {
        store.put(feed::configuration, "c", "1");
        store.put(feed::workers, "w1", "1");
        for (std::size_t n = 0; n < count; ++n) {
            workers.push_back(std::make_unique<test::model_workers>(loop));
            const auto name = "n" + std::to_string(n);
            const auto address = name + ":1";
            auto options = common;
            options.name = name;
            options.member = to_text(
                {.incarnation = name, .address = address, .cpu_millis = 250});
            options.cpu_millis = 250;
            nodes.push_back(std::make_unique<node>(
                options, loop, store, *workers[n], peers, advice, formats,
                metrics.emplace_back()));
            peers.nodes[address] = nodes.back().get();
        }
    }

    void start()
    {
        for (const auto& it : nodes) {
            it->start();
        }
    }

    [[nodiscard]] std::size_t polls(std::size_t n) const
    {
        return workers[n]->polls.size();
    }

    test::stepped_loop loop;
    test::model_store store{loop};
    std::vector<std::unique_ptr<test::model_workers>> workers;
    test::model_advice advice{loop};
    test::model_peers peers{loop};
    test::model_formats formats;
    std::deque<metrics::registry> metrics;
    std::vector<std::unique_ptr<node>> nodes;
};

/** @brief Two nodes, which both follow the ledger. */
struct two_nodes : model_cell
{
    explicit two_nodes(const node_options& common = {})
        : model_cell{2, common}
    {}

    /** @return True if one of the nodes polls the worker. */
    [[nodiscard]] bool led() const { return polls(0) > 3 || polls(1) > 3; }
};

/** @brief Six nodes of which two follow the ledger. */
struct six_nodes : model_cell
{
    six_nodes()
        : model_cell{6, {.followers = {.small_cell = 3, .followers = 2}}}
    {}

    [[nodiscard]] bool all_ready() const
    {
        return std::ranges::all_of(
            nodes, [](const auto& it) { return it->ready(boot_clock::now()); });
    }

    /** @return Index of the node that polls the workers, if there is one. */
    [[nodiscard]] std::optional<std::size_t> leader() const
    {
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            if (nodes[n]->leadership_status(boot_clock::now()).leading) {
                return n;
            }
        }
        return std::nullopt;
    }

    /** @brief Serves a call of a client at a node. */
    [[nodiscard]] client_answer ask(std::size_t at, client_call call)
    {
        std::optional<client_answer> result;
        nodes[at]->serve(std::move(call),
                         [&](const client_answer& it) { result = it; });
        REQUIRE(loop.run_until([&] { return result.has_value(); }, timeout));
        return *result;
    }

    /** @return Number of waiting jobs that a node knows of; nothing if it does
     * not follow the ledger. */
    [[nodiscard]] std::optional<std::size_t> pending_at(std::size_t at)
    {
        const auto it = ask(at, {.kind = call_kind::pending,
                                 .host = "h",
                                 .path = "/q/",
                                 .key = {},
                                 .job = std::nullopt,
                                 .deadline = boot_clock::now() + timeout,
                                 .forwarded = true});
        return it.kind == answer_kind::pending ? std::optional{it.pending}
                                               : std::nullopt;
    }

    /** @return Nodes that know of a number of waiting jobs. */
    [[nodiscard]] std::size_t nodes_with_pending(std::size_t jobs)
    {
        std::size_t result = 0;
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            result += pending_at(n) == jobs ? 1U : 0U;
        }
        return result;
    }

    /** @brief Starts all nodes and waits until two of them follow.
     * @return Index of a node that does not follow the ledger. */
    [[nodiscard]] std::size_t start_and_find_other()
    {
        start();
        REQUIRE(loop.run_until(
            [&] {
                return all_ready() && leader() && nodes_with_pending(0) == 2;
            },
            timeout));
        std::size_t result = 0;
        while (pending_at(result)) {
            ++result;
        }
        return result;
    }
};

/** @return Question about the state of a job. */
[[nodiscard]] client_call state_query(std::uint64_t id)
{
    return {.kind = call_kind::status,
            .host = "h",
            .path = "/q/" + fleet::to_text(id),
            .key = {},
            .job = std::nullopt,
            .deadline = boot_clock::now() + 3s};
}

[[nodiscard]] client_call submission(std::uint64_t id)
{
    return test::submission_of(id, boot_clock::now() + timeout);
}

/** @return Ledger key of a job. */
[[nodiscard]] std::string key_of(std::uint64_t id)
{
    return fleet::encode_key(
        {.kind = fleet::entry_kind::job, .step = {.job = id}});
}

} // namespace

TEST_CASE("Of two nodes that claim the same epoch concurrently, one leads",
          "[node]")
{
    two_nodes cell;
    // During a rebalance of all partitions, each node considers itself elected.
    cell.store.elects_all = true;
    cell.start();
    REQUIRE(cell.loop.run_until([&] { return cell.led(); }, timeout));
    std::set<std::uint64_t> first;
    std::set<std::uint64_t> second;
    for (const auto& it : cell.workers[0]->polls) {
        first.insert(it.epoch);
    }
    for (const auto& it : cell.workers[1]->polls) {
        second.insert(it.epoch);
    }
    std::vector<std::uint64_t> shared;
    std::ranges::set_intersection(first, second, std::back_inserter(shared));
    CHECK(shared.empty());
}

// Guards against a cell without a leader for as long as its nodes append.
TEST_CASE("A node becomes the leader while others append to the ledger",
          "[node]")
{
    two_nodes cell;
    cell.store.has_other_writers = true;
    cell.start();
    REQUIRE(cell.loop.run_until([&] { return cell.led(); }, timeout));
}

// Guards against a second claim, and as long a wait again, for a leader whose
// claim is on record.
TEST_CASE("A claim without a response takes effect once it is read back",
          "[node]")
{
    two_nodes cell;
    cell.store.leader_responses_to_lose = 1;
    cell.start();
    REQUIRE(cell.loop.run_until([&] { return cell.led(); }, timeout));
    const auto& polls = cell.workers[cell.polls(0) > 3 ? 0 : 1]->polls;
    CHECK(polls.front().epoch == 1);
}

// Guards against a second claim behind the queue that delayed the first one.
TEST_CASE("A claim that is executed after its timeout takes effect", "[node]")
{
    two_nodes cell;
    cell.store.claims_to_delay = 1;
    cell.nodes[0]->start();
    REQUIRE(cell.loop.run_until([&] { return cell.polls(0) > 3; }, timeout));
    CHECK(cell.workers[0]->polls.front().epoch == 1);
}

TEST_CASE("A restarted leader resumes its leadership at once", "[node]")
{
    two_nodes cell;
    // An unreachable member stays elected until its membership expires.
    cell.store.names = {"away"};
    cell.store.candidates = {"away"};
    cell.store.put(feed::ledger,
                   fleet::encode_key({.kind = fleet::entry_kind::leader}),
                   fleet::encode(fleet::leader_record{
                       .epoch = 3,
                       .node = to_text({.incarnation = "earlier",
                                        .address = "n1:1",
                                        .cpu_millis = 250})}));
    cell.start();
    REQUIRE(cell.loop.run_until([&] { return cell.polls(1) > 3; }, timeout));
    CHECK(cell.polls(0) == 0);
}

TEST_CASE("A responsive leader is kept, a lost one is replaced", "[node]")
{
    two_nodes cell;
    cell.nodes[0]->start();
    REQUIRE(cell.loop.run_until([&] { return cell.polls(0) > 3; }, timeout));
    cell.store.elects_all = true;
    cell.nodes[1]->start();
    REQUIRE(cell.loop.run_until(
        [&] { return cell.nodes[1]->ready(boot_clock::now()); }, timeout));
    const auto later = boot_clock::now() + 1s;
    cell.loop.run_until([&] { return boot_clock::now() > later; }, timeout);
    CHECK(cell.polls(1) == 0);
    cell.peers.nodes.erase("n0:1");
    REQUIRE(cell.loop.run_until([&] { return cell.polls(1) > 3; }, timeout));
}

TEST_CASE("A node that has not read the ledger reports no pending jobs",
          "[node]")
{
    two_nodes cell;
    // Jobs without advice stay pending.
    cell.formats.advice = fleet::advice_policy{.base_ms = 1e6, .valid_ms = 1};
    cell.nodes[0]->start();
    REQUIRE(cell.loop.run_until(
        [&] { return cell.nodes[0]->ready(boot_clock::now()); }, timeout));
    constexpr std::uint64_t jobs = 3;
    std::size_t accepted = 0;
    for (std::uint64_t id = 1; id <= jobs; ++id) {
        auto call = submission(id);
        call.job->steps[0].demand.cpu_millis = 1000000;
        cell.nodes[0]->serve(std::move(call), [&](const client_answer& it) {
            accepted += it.kind == answer_kind::accepted ? 1U : 0U;
        });
    }
    REQUIRE(cell.loop.run_until([&] { return accepted == jobs; }, timeout));
    cell.store.withholds_ledger = true;
    cell.nodes[1]->start();
    const auto until = boot_clock::now() + 1500ms;
    cell.loop.run_until([&] { return boot_clock::now() > until; }, timeout);
    const auto ask = [&](bool forwarded) {
        std::optional<client_answer> result;
        cell.nodes[1]->serve({.kind = call_kind::pending,
                              .host = "h",
                              .path = "/q/",
                              .key = {},
                              .job = std::nullopt,
                              .deadline = boot_clock::now() + timeout,
                              .forwarded = forwarded},
                             [&](const client_answer& it) { result = it; });
        REQUIRE(
            cell.loop.run_until([&] { return result.has_value(); }, timeout));
        return *result;
    };
    CHECK(ask(false).kind == answer_kind::pending);
    CHECK(ask(false).pending == jobs);
    CHECK(ask(true).code == result_code::catching_up);
}

// Guards against a cell that starts nothing any more because of one record.
TEST_CASE("A record that the store never accepts fails its job only", "[node]")
{
    two_nodes cell;
    cell.store.rejected_key = fleet::encode_key(
        {.kind = fleet::entry_kind::progress, .step = {.job = 2}});
    cell.start();
    REQUIRE(cell.loop.run_until([&] { return cell.led(); }, timeout));
    std::size_t accepted = 0;
    constexpr std::uint64_t jobs = 3;
    for (std::uint64_t id = 1; id <= jobs; ++id) {
        cell.nodes[0]->serve(submission(id), [&](const client_answer& it) {
            accepted += it.kind == answer_kind::accepted ? 1U : 0U;
        });
    }
    REQUIRE(cell.loop.run_until([&] { return accepted == jobs; }, timeout));
    std::optional<fleet::job_state> state;
    REQUIRE(cell.loop.run_until(
        [&] {
            cell.nodes[0]->serve(state_query(2), [&](const client_answer& it) {
                state = it.state;
            });
            return state == fleet::job_state::failed;
        },
        timeout));
    const auto started = [&cell] {
        std::set<std::uint64_t> result;
        for (const auto& worker : cell.workers) {
            for (const auto& it : worker->starts) {
                result.insert(it.task.step.job);
            }
        }
        return result;
    };
    const std::set<std::uint64_t> others{1, 3};
    CHECK(cell.loop.run_until([&] { return started() == others; }, timeout));
}

// Guards against a record that no append can hold.
TEST_CASE("A job whose record is too large is refused at submission", "[node]")
{
    two_nodes cell;
    cell.start();
    REQUIRE(cell.loop.run_until([&] { return cell.led(); }, timeout));
    auto call = submission(1);
    call.job->payload = std::string(append_limits{}.record_bytes, 'p');
    std::optional<client_answer> result;
    cell.nodes[0]->serve(std::move(call),
                         [&](const client_answer& it) { result = it; });
    REQUIRE(cell.loop.run_until([&] { return result.has_value(); }, timeout));
    CHECK(result->kind == answer_kind::malformed);
    CHECK(result->code == result_code::job_too_large);
}

// Guards against a leader that is over its memory limit with the jobs that were
// accepted.
TEST_CASE("A job is refused while the live jobs have too many tasks", "[node]")
{
    constexpr std::uint64_t limit = 3;
    two_nodes cell{{.max_live_tasks = limit}};
    cell.start();
    REQUIRE(cell.loop.run_until([&] { return cell.led(); }, timeout));
    const auto submit = [&cell](std::uint64_t id) {
        auto call = submission(id);
        call.job->steps[0].demand.cpu_millis = 1000000;
        std::optional<client_answer> result;
        cell.nodes[0]->serve(std::move(call),
                             [&](const client_answer& it) { result = it; });
        REQUIRE(
            cell.loop.run_until([&] { return result.has_value(); }, timeout));
        return *result;
    };
    for (std::uint64_t id = 1; id <= limit; ++id) {
        CHECK(submit(id).kind == answer_kind::accepted);
    }
    const auto refused = submit(limit + 1);
    CHECK(refused.kind == answer_kind::unavailable);
    CHECK(refused.code == result_code::queue_full);
    CHECK(refused.retry_after);
    CHECK(submit(1).kind == answer_kind::accepted);
}

TEST_CASE("An advice request reaches a node that has not read the job",
          "[node]")
{
    two_nodes cell;
    cell.formats.advice =
        fleet::advice_policy{.base_ms = 400, .valid_ms = 2500};
    cell.start();
    REQUIRE(cell.loop.run_until(
        [&] {
            return cell.nodes[0]->ready(boot_clock::now()) &&
                   cell.nodes[1]->ready(boot_clock::now()) &&
                   cell.polls(0) + cell.polls(1) > 3;
        },
        timeout));
    constexpr std::uint64_t jobs = 8;
    std::size_t accepted = 0;
    for (std::uint64_t id = 1; id <= jobs; ++id) {
        cell.nodes[id % 2]->serve(submission(id), [&](const client_answer& it) {
            accepted += it.kind == answer_kind::accepted ? 1U : 0U;
        });
    }
    // A dropped advice request would be repeated only after seconds.
    const auto started = [&] {
        return cell.workers[0]->starts.size() +
                   cell.workers[1]->starts.size() ==
               jobs;
    };
    REQUIRE(cell.loop.run_until(started, timeout));
    CHECK(accepted == jobs);
    CHECK(cell.advice.requests.size() == jobs);
}

// Guards against the appends of all nodes with advice holding up those of the
// next leader.
TEST_CASE("Advice that the leader does not take is not written to the ledger",
          "[node]")
{
    two_nodes cell;
    cell.formats.advice = fleet::advice_policy{.base_ms = 20, .valid_ms = 2500};
    cell.nodes[0]->start();
    REQUIRE(cell.loop.run_until([&] { return cell.polls(0) > 3; }, timeout));
    cell.nodes[1]->start();
    REQUIRE(cell.loop.run_until(
        [&] { return cell.nodes[1]->ready(boot_clock::now()); }, timeout));
    cell.peers.nodes.erase("n0:1");
    cell.nodes[1]->serve(submission(1), [](const client_answer&) {});
    const auto tried_again = [&] {
        const auto text = cell.metrics[1].expose();
        return text.find("rosemarytrail_advice_grants_not_taken_total 2\n") !=
               std::string::npos;
    };
    CHECK(cell.loop.run_until(tried_again, 2s));
    for (const auto& [key, count] : cell.store.appended) {
        const auto about = fleet::decode_key(key);
        CHECK_FALSE((about && about->kind == fleet::entry_kind::advice));
    }
}

TEST_CASE("A node that the store does not list is assigned advice requests",
          "[node]")
{
    two_nodes cell;
    cell.formats.advice =
        fleet::advice_policy{.base_ms = 400, .valid_ms = 2500};
    cell.store.unlisted.insert(
        to_text({.incarnation = "n1", .address = "n1:1", .cpu_millis = 250}));
    cell.start();
    REQUIRE(cell.loop.run_until(
        [&] {
            return cell.nodes[0]->ready(boot_clock::now()) && cell.polls(0) > 3;
        },
        timeout));
    std::uint64_t id = 0;
    REQUIRE(cell.loop.run_until(
        [&] {
            ++id;
            cell.nodes[0]->serve(submission(id), [](const client_answer&) {});
            return cell.peers.advice_requests["n1:1"] > 0;
        },
        timeout));
    // It sends them without a copy of the ledger.
    CHECK(cell.loop.run_until(
        [&] {
            return cell.metrics[1].expose().find(
                       "rosemarytrail_advice_seconds_count 0\n") ==
                   std::string::npos;
        },
        timeout));
    CHECK(cell.polls(1) == 0);
    CHECK_FALSE(cell.nodes[1]->leadership_status(boot_clock::now()).leading);
}

TEST_CASE("A node starts nothing in a zone that operators have evacuated",
          "[node]")
{
    two_nodes cell;
    cell.start();
    REQUIRE(cell.loop.run_until(
        [&] { return cell.polls(0) + cell.polls(1) > 0; }, timeout));
    const auto starts = [&] {
        return cell.workers[0]->starts.size() + cell.workers[1]->starts.size();
    };
    std::string value;
    bool expected = false;
    SECTION("requested")
    {
        value = "on";
    }
    SECTION("malformed: changes nothing")
    {
        value = "?";
        expected = true;
    }
    cell.store.put(feed::configuration, "e/z", value);
    cell.loop.run_until([] { return false; }, 300ms);
    bool accepted = false;
    cell.nodes[0]->serve(submission(1), [&](const client_answer& it) {
        accepted = it.kind == answer_kind::accepted;
    });
    cell.loop.run_until([&] { return starts() > 0; }, 500ms);
    CHECK(accepted);
    CHECK((starts() > 0) == expected);
    // Withdrawn, or replaced by a record that is well-formed.
    cell.store.put(feed::configuration, "e/z", "off");
    CHECK(cell.loop.run_until([&] { return starts() > 0; }, timeout));
}

TEST_CASE("Nodes that do not follow the ledger serve every call", "[node]")
{
    six_nodes cell;
    cell.formats.advice = fleet::advice_policy{.base_ms = 20, .valid_ms = 2500};
    cell.start();
    REQUIRE(cell.loop.run_until(
        [&] { return cell.all_ready() && cell.leader(); }, timeout));
    for (std::size_t n = 0; n < cell.nodes.size(); ++n) {
        CHECK(cell.ask(n, submission(n + 1)).kind == answer_kind::accepted);
    }
    REQUIRE(cell.loop.run_until(
        [&] {
            return cell.workers[*cell.leader()]->starts.size() ==
                   cell.nodes.size();
        },
        timeout));
    for (std::size_t n = 0; n < cell.nodes.size(); ++n) {
        const auto other = (n + 1) % cell.nodes.size() + 1;
        // The leader records that the task has begun once its worker lists it.
        CHECK(cell.loop.run_until(
            [&] {
                return cell.ask(n, state_query(other)).state ==
                       fleet::job_state::running;
            },
            timeout));
        CHECK(cell.ask(n, state_query(99)).kind == answer_kind::no_such_job);
    }
    for (std::size_t n = 0; n < cell.nodes.size(); ++n) {
        auto cancellation = state_query(n + 1);
        cancellation.kind = call_kind::cancel;
        CHECK(cell.ask(n, cancellation).kind == answer_kind::cancelled);
    }
}

TEST_CASE("Only the followers read the ledger and the directory", "[node]")
{
    six_nodes cell;
    cell.start();
    REQUIRE(cell.loop.run_until(
        [&] { return cell.all_ready() && cell.leader(); }, timeout));
    // Until it is listed that there are more, the first nodes follow.
    const auto settled = boot_clock::now() + 4s;
    cell.loop.run_until([&] { return boot_clock::now() > settled; }, timeout);
    cell.store.reads.clear();
    const auto until = boot_clock::now() + 2s;
    cell.loop.run_until([&] { return boot_clock::now() > until; }, timeout);
    // A read of the ledger waits up to 0.8 s, one of the directory is sent each
    // 1.5 s.
    constexpr std::size_t followers = 2;
    constexpr std::size_t all = 6;
    CHECK(cell.store.reads[feed::ledger] <= followers * 3);
    CHECK(cell.store.reads[feed::workers] <= followers * 2);
    CHECK(cell.store.reads[feed::configuration] >= all * 2);
}

TEST_CASE("A question to a node without the ledger causes no read of it",
          "[node]")
{
    six_nodes cell;
    cell.store.withholds_ledger = true;
    cell.nodes[0]->start();
    const auto until = boot_clock::now() + 1s;
    cell.loop.run_until([&] { return boot_clock::now() > until; }, timeout);
    cell.store.reads.clear();
    CHECK(cell.ask(0, state_query(1)).kind == answer_kind::unavailable);
    // It would read the ledger from its start.
    CHECK(cell.store.reads[feed::ledger] == 0);
}

TEST_CASE("Calls are served after the loss of the leader", "[node]")
{
    six_nodes cell;
    cell.start();
    REQUIRE(cell.loop.run_until(
        [&] { return cell.all_ready() && cell.leader(); }, timeout));
    const auto lost = *cell.leader();
    cell.peers.nodes.erase("n" + std::to_string(lost) + ":1");
    const auto at = (lost + 1) % cell.nodes.size();
    CHECK(cell.ask(at, submission(7)).kind == answer_kind::accepted);
    CHECK(cell.ask(at, state_query(7)).kind == answer_kind::state);
}

TEST_CASE("A submission that a lost peer may have recorded is never rejected",
          "[node]")
{
    six_nodes cell;
    // Jobs without advice stay pending.
    cell.formats.advice = fleet::advice_policy{.base_ms = 1e6, .valid_ms = 1};
    cell.formats.account_weight = 0.01;
    const auto at = cell.start_and_find_other();
    constexpr std::uint64_t id = 1000;
    cell.store.delayed_key = key_of(id);
    cell.peers.responses_to_lose = 1;
    std::optional<client_answer> result;
    auto call = submission(id);
    call.key = "k";
    // No worker has capacity for it, so the job stays pending.
    call.job->steps[0].demand.cpu_millis = 1000000;
    cell.nodes[at]->serve(std::move(call),
                          [&](const client_answer& it) { result = it; });
    REQUIRE(cell.peers.responses_to_lose == 0);
    // Meanwhile the account submits many jobs at other nodes.
    constexpr std::uint64_t jobs = 20;
    for (std::uint64_t other = 1; other <= jobs; ++other) {
        fleet::job_record record{.id = other, .account = "a"};
        record.queue.name = "q";
        record.spec.steps = {
            {.tasks = 1, .demand = {.cpu_millis = 1000000, .memory_mb = 1}}};
        cell.store.put(feed::ledger, key_of(other), fleet::encode(record));
    }
    REQUIRE(cell.loop.run_until(
        [&] { return cell.nodes_with_pending(jobs) == 2; }, timeout));
    auto further = submission(id + 1);
    further.key = "k";
    REQUIRE(cell.ask(at, further).kind == answer_kind::too_many);
    CHECK_FALSE(result);
    REQUIRE(cell.loop.run_until(
        [&] {
            cell.peers.time_out();
            return result.has_value();
        },
        2s));
    CHECK(result->kind == answer_kind::outcome_unknown);
    CHECK(result->code == result_code::submission_outcome_unknown);
    cell.store.release();
    REQUIRE(cell.loop.run_until(
        [&] { return cell.nodes_with_pending(jobs + 1) == 2; }, timeout));
    CHECK(cell.ask(at, state_query(id)).kind == answer_kind::state);
}

TEST_CASE(
    "A change that lost peers may have made is never reported as not made",
    "[node]")
{
    six_nodes cell;
    cell.formats.advice = fleet::advice_policy{.base_ms = 1e6, .valid_ms = 1};
    const auto at = cell.start_and_find_other();
    auto call = submission(1);
    SECTION("submission") {}
    SECTION("cancellation")
    {
        REQUIRE(cell.ask(at, call).kind == answer_kind::accepted);
        call.kind = call_kind::cancel;
    }
    cell.store.refuses_appends = true;
    cell.peers.responses_to_lose = 2;
    std::optional<client_answer> result;
    cell.nodes[at]->serve(std::move(call),
                          [&](const client_answer& it) { result = it; });
    REQUIRE(cell.loop.run_until(
        [&] {
            cell.peers.time_out();
            return result.has_value();
        },
        timeout));
    CHECK(cell.peers.responses_to_lose == 0);
    CHECK(result->kind == answer_kind::outcome_unknown);
}

TEST_CASE("A submission by way of a peer is recorded once by a slow store",
          "[node]")
{
    six_nodes cell;
    const auto at = cell.start_and_find_other();
    cell.store.answer_time = 400ms;
    const auto sent = boot_clock::now();
    constexpr std::uint64_t jobs = 8;
    std::size_t accepted = 0;
    std::size_t answered = 0;
    for (std::uint64_t id = 1; id <= jobs; ++id) {
        auto call = submission(id);
        call.deadline = sent + 3s;
        cell.nodes[at]->serve(std::move(call), [&](const client_answer& it) {
            ++answered;
            accepted += it.kind == answer_kind::accepted ? 1U : 0U;
        });
    }
    REQUIRE(cell.loop.run_until([&] { return answered == jobs; },
                                sent + 3s - boot_clock::now()));
    CHECK(accepted == jobs);
    CHECK(cell.peers.forwarded == jobs);
    for (std::uint64_t id = 1; id <= jobs; ++id) {
        CHECK(cell.store.appended[key_of(id)] == 1);
    }
}

TEST_CASE("A peer that cannot be queried is left for the next one", "[node]")
{
    six_nodes cell;
    const auto at = cell.start_and_find_other();
    for (const auto& [address, node] : cell.peers.nodes) {
        cell.peers.without_status.insert(address);
    }
    cell.peers.responses_to_lose = 1;
    std::optional<client_answer> result;
    const auto sent = boot_clock::now();
    cell.nodes[at]->serve(submission(1),
                          [&](const client_answer& it) { result = it; });
    REQUIRE(cell.loop.run_until([&] { return result.has_value(); }, 2s));
    CHECK(result->kind == answer_kind::accepted);
    CHECK(boot_clock::now() - sent >= duration{700ms});
}

TEST_CASE("Entries that the leader has not appended by their deadline are not "
          "executed",
          "[node]")
{
    six_nodes cell;
    // Jobs without advice stay pending.
    cell.formats.advice = fleet::advice_policy{.base_ms = 1e6, .valid_ms = 1};
    const auto other = cell.start_and_find_other();
    std::size_t at = 0;
    while (at == *cell.leader() || !cell.pending_at(at)) {
        ++at;
    }
    // A follower sends its entries to the leader while the store is slow.
    cell.store.answer_time = 400ms;
    REQUIRE(cell.ask(at, submission(1)).kind == answer_kind::accepted);
    cell.loop.run_until([] { return false; }, 600ms);
    cell.store.answer_time = 2ms;
    std::map<std::uint64_t, answer_kind> results;
    const auto submit = [&](std::uint64_t id) {
        auto call = submission(id);
        call.deadline = boot_clock::now() + 1s;
        cell.nodes[at]->serve(
            std::move(call),
            [&, id](const client_answer& it) { results[id] = it.kind; });
    };
    std::set<std::uint64_t> rejected{3};
    SECTION("not sent")
    {
        cell.store.ignores_leader = true;
    }
    SECTION("rejected by the store")
    {
        cell.store.refuses_leader = true;
        rejected.insert(2);
    }
    submit(2);
    REQUIRE(cell.loop.run_until(
        [&] { return cell.store.ineffective_keys.contains(key_of(2)); },
        500ms));
    submit(3);
    REQUIRE(cell.loop.run_until([&] { return results.size() == 2; }, 1s));
    CHECK(results[2] == (rejected.contains(2) ? answer_kind::unavailable
                                              : answer_kind::outcome_unknown));
    CHECK(results[3] == answer_kind::unavailable);
    cell.store.ignores_leader = false;
    cell.store.refuses_leader = false;
    // Later jobs are recorded, the rejected ones are not.
    CHECK(cell.ask(other, submission(4)).kind == answer_kind::accepted);
    REQUIRE(cell.loop.run_until(
        [&] { return cell.store.appended[key_of(4)] > 0; }, timeout));
    for (const auto id : rejected) {
        CHECK(cell.store.appended[key_of(id)] == 0);
    }
}

TEST_CASE("A rejection during an outage asks for a retry after as long again",
          "[node]")
{
    six_nodes cell;
    const auto at = cell.start_and_find_other();
    cell.store.down = true;
    const auto down_since = boot_clock::now();
    // Until then, a submission may still be recorded by a repeat.
    cell.loop.run_until([] { return false; }, 2100ms);
    auto call = submission(1);
    call.deadline = boot_clock::now() + 3s;
    const auto it = cell.ask(at, std::move(call));
    const auto age = boot_clock::now() - down_since;
    CHECK(it.kind == answer_kind::unavailable);
    REQUIRE(it.retry_after);
    CHECK(*it.retry_after >= duration{2s});
    CHECK(*it.retry_after < age + 2s);
    cell.store.down = false;
    CHECK(cell.loop.run_until([&] { return cell.all_ready(); }, timeout));
}

} // namespace rosemarytrail::cell
