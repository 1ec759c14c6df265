#include <test/lib/model_cell.hpp>

#include <rosemarytrail/cell/member_name.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>
#include <set>

namespace rosemarytrail::cell {

namespace {

using namespace std::chrono_literals;

/** @brief Maximum time to wait for a condition; a healthy node needs far less.
 */
constexpr duration timeout = 20s;

/** @brief Two nodes that share one store and one worker. */
struct two_nodes
{
    two_nodes()
    {
        store.put(feed::configuration, "c", "1");
        store.put(feed::workers, "w1", "1");
        for (int n = 0; n < 2; ++n) {
            const auto name = "n" + std::to_string(n);
            const auto address = name + ":1";
            node_options options{.name = name,
                                 .member = to_text({.incarnation = name,
                                                    .address = address,
                                                    .cpu_millis = 250}),
                                 .cpu_millis = 250};
            nodes.push_back(std::make_unique<node>(options, loop, store,
                                                   *workers[n], peers, advice,
                                                   formats, metrics[n]));
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
    std::array<std::unique_ptr<test::model_workers>, 2> workers{
        std::make_unique<test::model_workers>(loop),
        std::make_unique<test::model_workers>(loop)};
    test::model_advice advice{loop};
    test::model_peers peers{loop};
    test::model_formats formats;
    std::array<metrics::registry, 2> metrics;
    std::vector<std::unique_ptr<node>> nodes;
};

[[nodiscard]] client_call submission(std::uint64_t id)
{
    client_call call{.kind = call_kind::submit,
                     .host = "h",
                     .path = "/q/" + fleet::to_text(id),
                     .key = {},
                     .job = fleet::job_spec{},
                     .deadline = boot_clock::now() + timeout};
    call.job->steps = {
        {.tasks = 1, .demand = {.cpu_millis = 1000, .memory_mb = 1}}};
    return call;
}

} // namespace

TEST_CASE("Of two nodes that claim the same epoch concurrently, one leads",
          "[node]")
{
    two_nodes cell;
    // During a rebalance of all partitions, each node considers itself elected.
    cell.store.elects_all = true;
    cell.start();
    const auto both = [&] {
        return cell.polls(0) > 3 || cell.polls(1) > 3;
    };
    REQUIRE(cell.loop.run_until(both, timeout));
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

TEST_CASE("A restarted leader resumes its leadership at once", "[node]")
{
    two_nodes cell;
    // An unreachable member stays elected until its membership expires.
    cell.store.names = {"away"};
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

} // namespace rosemarytrail::cell
