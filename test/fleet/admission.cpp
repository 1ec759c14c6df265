#include <rosemarytrail/fleet/admission.hpp>
#include <rosemarytrail/fleet/advice_plan.hpp>
#include <rosemarytrail/fleet/share_meter.hpp>

#include <catch2/catch.hpp>

namespace rosemarytrail::fleet {

namespace {

using namespace std::chrono_literals;

constexpr time_point start{std::chrono::seconds{100}};

/** @brief Result of replaying an account that submits jobs at a fixed rate. */
struct burst_replay
{
    std::size_t accepted{};
    std::size_t rejected{};
    std::size_t beyond{};
};

/** @return Job of one task whose queue needs advice. */
[[nodiscard]] job_record advised_job(std::uint64_t id)
{
    job_record result{.id = id};
    result.queue.service = "s";
    result.queue.advice = advice_policy{.base_ms = 13, .valid_ms = 2500};
    result.spec.steps = {{.tasks = 1}};
    return result;
}

/**
 * @brief Replays one account at a multiple of its weight against a queue that
 * drains at a fixed rate.
 */
[[nodiscard]] burst_replay replay(double weight, double sent_per_s,
                                  double drain_per_s, int seconds)
{
    burst_replay result;
    share_meter shares;
    double pending = 0;
    const int n = static_cast<int>(sent_per_s * seconds);
    for (int i = 0; i < n; ++i) {
        const auto now =
            start + std::chrono::duration_cast<duration>(
                        std::chrono::duration<double>{i / sent_per_s});
        pending = std::max(0.0, pending - drain_per_s / sent_per_s);
        const bool beyond = shares.beyond("a", weight, now);
        result.beyond += beyond ? 1 : 0;
        const auto after =
            rejection_retry_after({.beyond_share = beyond,
                                   .pending = static_cast<std::size_t>(pending),
                                   .starts_per_s = drain_per_s,
                                   .slack = 250ms,
                                   .job = static_cast<std::uint64_t>(i)});
        if (after) {
            ++result.rejected;
            continue;
        }
        shares.record("a", weight, now);
        ++result.accepted;
        ++pending;
    }
    return result;
}

} // namespace

TEST_CASE("An account within its share is never rejected", "[admission]")
{
    const auto it = replay(10, 9, 1, 20);
    CHECK(it.rejected == 0);
    CHECK(it.beyond == 0);
}

TEST_CASE(
    "Jobs beyond the share of an account at five times its share are rejected",
    "[admission]")
{
    const auto it = replay(4, 20, 6, 10);
    CHECK(it.rejected > 100);
    // Jobs within the drain rate of the queue are still accepted.
    CHECK(it.accepted >= 60);
}

TEST_CASE("Jobs beyond the share are accepted while the queue is short",
          "[admission]")
{
    const auto it = replay(4, 20, 40, 10);
    CHECK(it.rejected == 0);
    CHECK(it.beyond > 0);
}

TEST_CASE("Retry delays of rejected callers are spread", "[admission]")
{
    const auto after = [](std::uint64_t job) {
        return *rejection_retry_after({.beyond_share = true,
                                       .pending = 100,
                                       .starts_per_s = 20,
                                       .slack = 250ms,
                                       .job = job});
    };
    CHECK(after(1) >= 5s);
    CHECK(after(1'000'000) - after(0) >= 900ms);
    CHECK(after(2'999'999) <= 8s);
}

TEST_CASE("A leader requests no advice for jobs that a predecessor started",
          "[advice]")
{
    job_index ledger_jobs;
    const std::vector<std::string> members{"a"};
    const std::vector<worker_vm> workers{{.id = "w", .service = "s"}};
    advice_plan plan{{.member = "a"}};
    const auto record = advised_job(9);
    ledger_jobs.apply(encode_key({.kind = entry_kind::job, .step = {.job = 9}}),
                      encode(record), start);
    const std::vector<task_progress> rows{{.run = 1, .worker = "w"}};
    ledger_jobs.apply(
        encode_key({.kind = entry_kind::progress, .step = {.job = 9}}),
        encode(rows), start);
    ledger_jobs.discard_progress();
    CHECK_FALSE(plan.next(ledger_jobs, workers, members, start, 0));
}

// Guards against advice requests that a schedule takes from work that is due.
TEST_CASE("A node requests no advice for an occurrence that is not due",
          "[advice]")
{
    job_index ledger_jobs;
    const std::vector<std::string> members{"a"};
    const std::vector<worker_vm> workers{{.id = "w", .service = "s"}};
    advice_plan plan{{.member = "a"}};
    auto record = advised_job(9);
    record.spec.occurrences = 6;
    record.spec.first_due_ms = 1000;
    record.spec.interval_ms = 1000;
    REQUIRE(ledger_jobs.apply(
        encode_key({.kind = entry_kind::job, .step = {.job = 9}}),
        encode(record), start));
    CHECK_FALSE(plan.next(ledger_jobs, workers, members, start, 999));
    CHECK(ledger_jobs.pending(record.queue.name) == 1);
    CHECK(ledger_jobs.due(record.queue.name, 999) == 0);
    const auto request = plan.next(ledger_jobs, workers, members, start, 1999);
    REQUIRE(request);
    CHECK(request->step.occurrence == 0);
    plan.on_request_sent(request->step, start + 1s);
    CHECK_FALSE(plan.next(ledger_jobs, workers, members, start, 1999));
    CHECK(ledger_jobs.due(record.queue.name, 1999) == 1);
}

TEST_CASE("Steps of ended jobs are removed from the advice plan", "[advice]")
{
    job_index ledger_jobs;
    const std::vector<std::string> members{"a"};
    const std::vector<worker_vm> workers{{.id = "w", .service = "s"}};
    advice_plan plan{{.member = "a"}};
    const auto record = advised_job(9);
    REQUIRE(ledger_jobs.apply(
        encode_key({.kind = entry_kind::job, .step = {.job = 9}}),
        encode(record), start));
    const auto request = plan.next(ledger_jobs, workers, members, start, 0);
    REQUIRE(request);
    plan.on_request_sent(request->step, start + 1s);
    plan.forget_ended(ledger_jobs);
    CHECK(plan.tracked_steps() == 1);
    REQUIRE(ledger_jobs.apply(
        encode_key({.kind = entry_kind::outcome, .step = {.job = 9}}),
        encode(job_outcome{}), start));
    plan.forget_ended(ledger_jobs);
    CHECK(plan.tracked_steps() == 0);
}

// With more workers than a request accepts, requests that all started with the
// same workers left the others idle.
TEST_CASE("Advice requests of many steps cover all workers", "[advice]")
{
    constexpr std::size_t cell_size = 350;
    std::vector<worker_vm> workers;
    for (std::size_t i = 0; i < cell_size; ++i) {
        workers.push_back({.id = "w" + std::to_string(i), .service = "s"});
    }
    const advice_plan plan{{.member = "a"}};
    std::set<std::string> named;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        const auto record = advised_job(id * 0x9E3779B97F4A7C15ULL);
        const job_entry entry{.record = record};
        const auto request =
            plan.make_request({.job = record.id}, entry, workers);
        REQUIRE(request);
        CHECK(request->workers.size() == max_workers_per_request);
        named.insert(request->workers.begin(), request->workers.end());
    }
    CHECK(named.size() == cell_size);
}

TEST_CASE("Fast and slow advice requests go to different nodes", "[advice]")
{
    const std::vector<std::string> members{"a", "b", "c", "d", "e", "f"};
    const auto long_nodes = slow_advice_nodes(members, 0.6);
    CHECK(long_nodes.size() == 4);
    job_record record{.id = 7, .acceptor = "e"};
    CHECK(fast_advice_node(members, 0.6, record) == "e");
    record.acceptor = members.front();
    const auto node = fast_advice_node(members, 0.6, record);
    REQUIRE(node);
    CHECK((*node == "e" || *node == "f"));
    const std::vector<std::string> one{"a"};
    CHECK(slow_advice_nodes(one, 0.6).size() == 1);
    CHECK(fast_advice_node(one, 0.6, record) == "a");
    CHECK_FALSE(fast_advice_node({}, 0.6, record));
}

} // namespace rosemarytrail::fleet
