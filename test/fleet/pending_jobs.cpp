#include <test/lib/worker_fleet.hpp>

#include <catch2/catch.hpp>

namespace rosemarytrail::fleet {

namespace {

using namespace std::chrono_literals;
using test::make_advised_job;
using test::make_job;
using test::task_outcome;
using test::worker_fleet;

constexpr resource_amounts eight_cores{8000, 16000, 0};
constexpr resource_amounts one_core{1000, 1000, 0};

/** @brief Worker w0, whose tasks take ten minutes. */
struct waiting_fleet : worker_fleet
{
    waiting_fleet()
    {
        scripted_outcome = [](const task_key&) {
            return task_outcome{.length = 600s};
        };
        add_workers(1, eight_cores);
        run(1s);
    }

    /** @brief Counts pending jobs at all kinds of nodes, tick by tick. */
    void check_pending(std::size_t jobs, duration length)
    {
        const auto until = now + length;
        bool holds = true;
        while (now < until) {
            run(tick);
            for (const auto* it : {&follower_jobs(), &leader_jobs()}) {
                holds = holds && it->pending("q") == jobs &&
                        it->due("q", to_milliseconds(now.time_since_epoch())) ==
                            jobs;
            }
        }
        CHECK(holds);
    }
};

/** @brief Why a start that was recorded does not begin. */
enum class hindrance
{
    refused,
    unanswered,
    ticket_refused,
    withheld
};

} // namespace

// Guards against jobs that are neither shown as queued nor counted as pending,
// though no task of theirs has begun.
TEST_CASE("A job stays pending until a task of it has begun", "[pending_jobs]")
{
    const auto hindered_by =
        GENERATE(hindrance::refused, hindrance::unanswered,
                 hindrance::ticket_refused, hindrance::withheld);
    const bool taken_over = GENERATE(false, true);
    CAPTURE(static_cast<int>(hindered_by), taken_over);
    waiting_fleet cell;
    auto& w0 = cell.workers["w0"];
    const bool advised = hindered_by == hindrance::ticket_refused ||
                         hindered_by == hindrance::withheld;
    w0.refuses_starts = hindered_by == hindrance::refused;
    cell.refuse_tickets = hindered_by == hindrance::ticket_refused;
    if (hindered_by == hindrance::unanswered) {
        w0.start_delay = 300s;
    }
    if (hindered_by == hindrance::withheld) {
        cell.ledger_delay = 300ms;
    }
    for (std::uint64_t id = 1; id <= 3; ++id) {
        const step_spec step{.demand = one_core};
        cell.submit(advised ? make_advised_job(id, step)
                            : make_job(id, {step}));
        if (advised) {
            cell.grant({.job = id}, {"w0"},
                       hindered_by == hindrance::withheld ? 200ms : 60s);
        }
    }
    cell.check_pending(3, 2s);
    if (taken_over) {
        cell.take_over();
    }
    cell.check_pending(3, 4s);
    CHECK(cell.state(1) == job_state::queued);
    CHECK(cell.starts.empty());
    w0.refuses_starts = false;
    cell.refuse_tickets = false;
    w0.start_delay = {};
    w0.delayed.clear();
    cell.run(30s);
    for (std::uint64_t id = 1; advised && id <= 3; ++id) {
        cell.grant({.job = id}, {"w0"}, 60s);
    }
    cell.run(30s);
    CHECK(cell.running_on("w0") == 3);
    cell.check_pending(0, 1s);
    CHECK(cell.state(1) == job_state::running);
}

// Guards against a job that has begun and is pending again, as its next run is
// refused or under way.
TEST_CASE("A job that has begun is never pending again", "[pending_jobs]")
{
    const bool taken_over = GENERATE(false, true);
    const bool fails = GENERATE(false, true);
    CAPTURE(taken_over, fails);
    waiting_fleet cell;
    auto& w0 = cell.workers["w0"];
    cell.submit(make_job(1, {{.demand = one_core}}));
    cell.run(3s);
    REQUIRE(cell.running_on("w0") == 1);
    w0.refuses_starts = true;
    if (fails) {
        cell.scripted_outcome = [](const task_key&) {
            return task_outcome{.length = 1s, .end = run_end::failed};
        };
        w0.running.begin()->second.ends = cell.now;
    } else {
        cell.restart("w0");
        cell.list_workers();
    }
    cell.check_pending(0, 3s);
    if (taken_over) {
        cell.take_over();
    }
    cell.check_pending(0, 5s);
    CHECK(cell.state(1) == job_state::running);
}

// Guards against a job that stays pending while a task of it runs, as its
// confirmation is not recorded at once.
TEST_CASE("A job whose task runs for long does not stay pending",
          "[pending_jobs]")
{
    const std::int64_t declared_ms = GENERATE(0, 500, 60000);
    CAPTURE(declared_ms);
    waiting_fleet cell;
    cell.submit(
        make_job(1, {{.demand = one_core, .estimate_ms = declared_ms}}));
    cell.run(2200ms);
    cell.check_pending(0, 1s);
}

} // namespace rosemarytrail::fleet
