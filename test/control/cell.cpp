#include <catch2/catch.hpp>

#include <test/lib/cell.hpp>

#include <chrono>

using namespace std::chrono_literals;
using rosemarytrail::job_class;
using rosemarytrail::job_spec;
using rosemarytrail::resources;
using rosemarytrail::service_id;
using rosemarytrail::team_id;
using rosemarytrail::test::cell;
using rosemarytrail::test::cell_options;

namespace {

constexpr resources one_core{.millicores = 1000, .memory_mib = 512};
constexpr resources wide_limit{.millicores = 100'000, .memory_mib = 100'000};

[[nodiscard]] job_spec batch_job(std::uint32_t tasks)
{
    return {.name = "nightly",
            .team = team_id{"salmon"},
            .policy = job_class::batch,
            .tasks = tasks,
            .request = one_core,
            .run_time = 2s};
}

} // namespace

TEST_CASE("A cell runs a job of each class to completion", "[control]")
{
    cell it{cell_options{}};
    REQUIRE(it.settle());
    REQUIRE(it.publish_team("salmon", wide_limit));
    const auto batch = it.submit(0, batch_job(6));
    INFO(batch.why.detail);
    REQUIRE(batch.job);
    auto gang = batch_job(4);
    gang.policy = job_class::gang;
    const auto together = it.submit(1, gang);
    REQUIRE(together.job);
    job_spec service{.name = "plugs",
                     .team = team_id{"salmon"},
                     .policy = job_class::service,
                     .service = service_id{"plugs"},
                     .tasks = 2,
                     .request = one_core};
    const auto standing = it.submit(2, service);
    REQUIRE(standing.job);

    CHECK(it.run_until(30s, [&] {
        const auto status = it.status(2, team_id{"salmon"}, *batch.job);
        return status && status->phase == "finished";
    }));
    CHECK(it.run_until(30s, [&] {
        const auto status = it.status(2, team_id{"salmon"}, *together.job);
        return status && status->phase == "finished";
    }));
    const auto running = it.status(0, team_id{"salmon"}, *standing.job);
    REQUIRE(running);
    CHECK(running->running == 2);
    CHECK(it.daemons[1].table->services.at(service_id{"plugs"}).size() == 2);
    CHECK(it.broken().empty());
}

TEST_CASE("Partitions of a killed daemon are taken over while tasks continue",
          "[control]")
{
    cell it{cell_options{}};
    REQUIRE(it.settle());
    REQUIRE(it.publish_team("salmon", wide_limit));
    auto spec = batch_job(12);
    spec.run_time = 20s;
    const auto job = it.submit(0, spec);
    REQUIRE(job.job);
    it.run_for(3s);
    it.kill(1);
    CHECK(it.run_until(60s, [&] {
        const auto status = it.status(2, team_id{"salmon"}, *job.job);
        return status && status->phase == "finished";
    }));
    CHECK(it.broken().empty());
}

TEST_CASE("A new holder records that its takeover is complete", "[control]")
{
    cell it{cell_options{}};
    REQUIRE(it.settle());
    it.kill(0);
    it.run_for(20s);
    std::size_t claimed_by_others = 0;
    std::size_t settled = 0;
    for (const auto& record : it.records()) {
        const auto* claim =
            std::get_if<rosemarytrail::state::partition_claimed>(&record);
        claimed_by_others += claim != nullptr && claim->replaces != 0 ? 1 : 0;
        settled +=
            std::holds_alternative<rosemarytrail::state::partition_settled>(
                record)
                ? 1
                : 0;
    }
    CHECK(claimed_by_others > 0);
    CHECK(settled == claimed_by_others);
}

TEST_CASE("A peer that shuts down provides no freshness evidence", "[control]")
{
    // A takeover counts a member that wrote its own leave record as reached,
    // so later responses must not extend the authority of a previous holder.
    cell it{cell_options{.daemons = 2}};
    REQUIRE(it.settle());
    it.log.set_faults({.mode = rosemarytrail::standin::fault_mode::down});
    it.run_for(5s);
    REQUIRE_FALSE(it.daemons[0].controller->not_ready(it.time.now()));
    it.daemons[1].controller->begin_shutdown(it.time.now());
    it.run_for(it.options.freshness.news_period + 1s);
    const auto closed = it.daemons[0].controller->not_ready(it.time.now());
    REQUIRE(closed);
    CHECK(closed->code == rosemarytrail::result_code::isolated);
}

TEST_CASE("A job submitted while the log goes down is refused at once",
          "[control]")
{
    cell it{cell_options{}};
    REQUIRE(it.settle());
    REQUIRE(it.publish_team("salmon", wide_limit));
    it.log.set_faults({.mode = rosemarytrail::standin::fault_mode::down});
    const auto asked = it.time.now();
    const auto outcome = it.submit(0, batch_job(1));
    CHECK(it.time.now() - asked < 1s);
    CHECK(outcome.not_run);
    CHECK(outcome.why.code == rosemarytrail::result_code::submission_log_down);
    it.log.set_faults({});
    it.run_for(10s);
    for (const auto& record : it.records()) {
        CHECK_FALSE(
            std::holds_alternative<rosemarytrail::state::job_accepted>(record));
    }
}

TEST_CASE("An isolated daemon refuses a revoked key", "[control]")
{
    cell it{cell_options{}};
    REQUIRE(it.settle());
    REQUIRE(it.publish_team("salmon", wide_limit));
    const auto key = it.publish_key(0, "k1", "salmon", false, 0);
    REQUIRE(key.revision);
    it.run_for(1s);
    it.daemons[0].log_cut = true;
    it.daemons[0].peers_cut = {1, 2};
    it.daemons[1].peers_cut = {0};
    it.daemons[2].peers_cut = {0};
    REQUIRE(it.publish_key(1, "k1", "salmon", true, *key.revision).revision);
    it.run_for(4s);
    for (std::size_t n = 0; n < it.daemons.size(); ++n) {
        const auto answer = it.request(n, "GET", "");
        REQUIRE(answer->arrived);
        CHECK((answer->answer.status == 401 || answer->answer.status == 503));
    }
    CHECK(it.broken().empty());
}
