#include <rosemarytrail/fleet/admission.hpp>
#include <test/lib/worker_fleet.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace rosemarytrail::fleet {

namespace {

using namespace std::chrono_literals;
using test::make_job;
using test::task_outcome;
using test::worker_fleet;

/** @brief Jobs of one account that arrive at a constant rate. */
struct traffic
{
    std::string account;
    job_record job;
    double per_s{};
    duration from{};
    duration until{};
};

/** @brief What the jobs of an account came to. */
struct tally
{
    std::size_t sent{};
    /** @brief Ended within the objective, counted from the first attempt. */
    std::size_t in_time{};
    /** @brief Admitted at the first attempt and ended later than three times
     * the objective. */
    std::size_t useless{};
    std::size_t rejections{};
    result_code code{result_code::ok};
};

/** @return Objective of a job, as its caller counts it. */
[[nodiscard]] duration objective_of(const job_record& job)
{
    return std::chrono::milliseconds{
        static_cast<std::int64_t>(
            job.queue.slack_factor *
            static_cast<double>(longest_chain_ms(job.spec))) +
        job.queue.target_latency_ms};
}

/** @brief Replays traffic against a follower that fetches the forecast of the
 * leader every 500 ms; callers repeat a rejected call up to 4 times. */
struct admission_replay
{
    worker_fleet cell;
    bool decides{true};
    std::map<std::string, tally> tallies;

    struct attempt
    {
        job_record job;
        time_point first;
        int number{1};
    };

    struct live_job
    {
        std::string account;
        std::string queue;
        time_point first;
        duration objective{};
        bool repeated{false};
    };

    /** @brief Tasks run for 1.5 times the declared time. */
    void run(const std::vector<traffic>& all, duration length)
    {
        cell.scripted_outcome = [this](const task_key& key) {
            const auto& step =
                cell.entry(key.step.job).record->spec.steps[key.step.step];
            return task_outcome{
                .length = std::chrono::milliseconds{step.estimate_ms * 3 / 2}};
        };
        cell.take_over();
        const auto start = cell.now;
        std::uint64_t next_id = 1;
        for (const auto& it : all) {
            const auto gap = std::chrono::duration_cast<duration>(
                std::chrono::duration<double>{1 / it.per_s});
            for (auto at = it.from; at < it.until; at += gap) {
                auto job = it.job;
                job.id = next_id++ * 0x9E3779B97F4A7C15ULL;
                job.account = it.account;
                attempts_.emplace(start + at,
                                  attempt{std::move(job), start + at});
                ++tallies[it.account].sent;
            }
        }
        while (cell.now < start + length) {
            submit_due();
            cell.run(cell.tick);
            count_ended();
        }
    }

private:
    [[nodiscard]] std::size_t pending(const std::string& queue) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(live_, [&](const auto& it) {
                return it.second.queue == queue &&
                       cell.state(it.first) == job_state::queued;
            }));
    }

    void submit_due()
    {
        const auto now = cell.now;
        if (now >= next_fetch_) {
            next_fetch_ = now + 500ms;
            forecast_ =
                *decode_forecast(encode(cell.leader().forecast(now), now), now);
        }
        while (!attempts_.empty() && attempts_.begin()->first <= now) {
            auto it = std::move(attempts_.begin()->second);
            attempts_.erase(attempts_.begin());
            const auto rejection =
                decides ? reject_by_forecast(
                              forecast_,
                              {.job = it.job,
                               .age = now - it.first,
                               .leader_epoch = cell.options.epoch,
                               .pending =
                                   [&] {
                                       return pending(it.job.queue.name);
                                   }},
                              now)
                        : std::nullopt;
            if (!rejection) {
                live_[it.job.id] = {.account = it.job.account,
                                    .queue = it.job.queue.name,
                                    .first = it.first,
                                    .objective = objective_of(it.job),
                                    .repeated = it.number > 1};
                cell.submit(it.job);
                add_job(forecast_, it.job,
                        cell.config.accounts[it.job.account].limit.cpu_millis);
                continue;
            }
            auto& tally = tallies[it.job.account];
            ++tally.rejections;
            tally.code = rejection->code;
            CHECK(rejection->retry_after >= 1s);
            CHECK(rejection->retry_after <= 20s);
            constexpr int max_attempts = 5;
            if (++it.number <= max_attempts) {
                attempts_.emplace(now + rejection->retry_after, std::move(it));
            }
        }
    }

    void count_ended()
    {
        std::erase_if(live_, [this](const auto& entry) {
            const auto& [id, job] = entry;
            if (cell.state(id) != job_state::completed) {
                return false;
            }
            const auto took = cell.now - job.first;
            auto& tally = tallies[job.account];
            tally.in_time += took <= job.objective ? 1U : 0U;
            const bool useless = took > 3 * job.objective;
            tally.useless += useless && !job.repeated ? 1U : 0U;
            return true;
        });
    }

    std::multimap<time_point, attempt> attempts_;
    std::map<std::uint64_t, live_job> live_;
    load_forecast forecast_;
    time_point next_fetch_;
};

[[nodiscard]] job_record short_job()
{
    auto job = make_job(
        0, {{.tasks = 10, .demand = {2200, 100, 0}, .estimate_ms = 850}});
    job.queue.name = "short";
    job.queue.priority = 0;
    job.queue.slack_factor = 1.5;
    job.queue.target_latency_ms = 275;
    return job;
}

[[nodiscard]] job_record batch_job()
{
    const step_spec step{
        .tasks = 21, .demand = {4500, 100, 0}, .estimate_ms = 3500};
    auto job = make_job(0, {step, step});
    job.queue.name = "batch";
    job.queue.priority = 2;
    job.queue.slack_factor = 2.2;
    job.queue.target_latency_ms = 1200;
    return job;
}

/** @return Forecast of a busy cell in which the account `a` is at its limit. */
[[nodiscard]] load_forecast busy_forecast(time_point now)
{
    return {.epoch = 3,
            .computed_at = now,
            .leading_for = 10s,
            .pace = 0.5,
            .services = {{.service = "s",
                          .cpu_millis = 100000,
                          .used_cpu_millis = 98000}},
            .drains = {{.service = "s",
                        .priority = 0,
                        .running_cpu_millis = 90000,
                        .completed_per_s = 40000}},
            .accounts = {{.account = "a",
                          .limit_cpu_millis = 10000,
                          .used_cpu_millis = 9000,
                          .long_running_cpu_millis = 2000}},
            .waiting = {{.account = "a", .service = "s", .core_ms = 400000},
                        {.account = "", .service = "s", .core_ms = 41000}}};
}

} // namespace

// An account sends 6 times what its limit lets run. Accepted in full, most of
// its jobs end after three times their objective.
TEST_CASE("Jobs that an account's limit makes useless are rejected",
          "[forecast]")
{
    const auto replay = [](bool decides) {
        admission_replay it;
        it.decides = decides;
        it.cell.add_workers(20, {18000, 64000, 0});
        it.cell.config.accounts = {
            {"hot", {.name = "hot", .limit = {.cpu_millis = 88000}}}};
        // The limit lets 31 jobs end in 10 s.
        it.run({{"hot", short_job(), 3.1, 0s, 3s},
                {"hot", short_job(), 6 * 3.1, 3s, 9s},
                {"other", short_job(), 6, 0s, 12s}},
               40s);
        CHECK(it.cell.violations.empty());
        return it.tallies;
    };
    auto without = replay(false);
    auto with = replay(true);
    CHECK(without["hot"].useless > 80);
    CHECK(with["hot"].useless < 12);
    CHECK(with["hot"].code == result_code::account_limit_backlog);
    CHECK(with["hot"].in_time >= without["hot"].in_time);
    CHECK(with["other"].rejections == 0);
    CHECK(with["other"].in_time == with["other"].sent);
}

TEST_CASE("Batch jobs at twice the capacity are rejected once they are useless",
          "[forecast]")
{
    const auto replay = [](bool decides) {
        admission_replay it;
        it.decides = decides;
        it.cell.add_workers(20, {18000, 64000, 0});
        // The cell completes 36 jobs in 100 s.
        it.run({{"batch", batch_job(), 0.36, 0s, 10s},
                {"batch", batch_job(), 0.72, 10s, 160s},
                {"short", short_job(), 1, 0s, 160s}},
               260s);
        CHECK(it.cell.violations.empty());
        return it.tallies;
    };
    auto without = replay(false);
    auto with = replay(true);
    CHECK(without["batch"].useless > 50);
    CHECK(with["batch"].useless < 40);
    CHECK(with["batch"].code == result_code::cell_backlog);
    CHECK(with["batch"].in_time > without["batch"].in_time);
    CHECK(with["short"].rejections == 0);
    CHECK(with["short"].in_time >= without["short"].in_time);
}

// The work that waits for advice is long compared with the little that runs.
TEST_CASE("A cell with free capacity rejects nothing", "[forecast]")
{
    admission_replay it;
    it.cell.add_workers(20, {18000, 64000, 0});
    it.cell.config.accounts = {
        {"a", {.name = "a", .limit = {.cpu_millis = 300000}}}};
    auto advised = batch_job();
    advised.queue.advice = advice_policy{.base_ms = 400, .valid_ms = 2500};
    it.run({{"a", advised, 2, 0s, 40s}, {"b", short_job(), 3, 0s, 40s}}, 45s);
    CHECK(it.tallies["a"].rejections == 0);
    CHECK(it.tallies["b"].rejections == 0);
}

TEST_CASE("The wait for the cell leaves out what an account's limit holds back",
          "[forecast]")
{
    const auto it = busy_forecast({});
    // At 45 cores a second, the account takes up at most 4 of them.
    const auto cell = wait_for_cell(it, "s", {});
    REQUIRE(cell);
    CHECK(cell->drain_per_s == 45000);
    CHECK(to_milliseconds(cell->wait) == 1000);
    const auto limit = wait_for_limit(it, "a", {});
    REQUIRE(limit);
    CHECK(to_milliseconds(limit->wait) == 100000);
    CHECK_FALSE(wait_for_limit(it, "b", {}));
    CHECK_FALSE(wait_for_cell(it, "other", {}));
}

TEST_CASE("Only a current forecast and a long queue reject", "[forecast]")
{
    constexpr time_point now{100s};
    auto job = short_job();
    job.id = 5;
    const auto code = [&](const load_forecast& it, std::size_t pending = 10,
                          duration age = {}) {
        const auto rejection = reject_by_forecast(it,
                                                  {.job = job,
                                                   .age = age,
                                                   .leader_epoch = 3,
                                                   .pending =
                                                       [pending] {
                                                           return pending;
                                                       }},
                                                  now);
        return rejection ? rejection->code : result_code::ok;
    };
    CHECK(code(busy_forecast(now)) == result_code::account_limit_backlog);
    CHECK(code(busy_forecast(now), 9) == result_code::ok);
    CHECK(code(busy_forecast(now - 2001ms)) == result_code::ok);
    auto it = busy_forecast(now);
    it.leading_for = 1999ms;
    CHECK(code(it) == result_code::ok);
    it = busy_forecast(now);
    it.epoch = 2;
    CHECK(code(it) == result_code::ok);
    it = busy_forecast(now);
    it.accounts[0].used_cpu_millis = 7800;
    CHECK(code(it) == result_code::ok);
    // A repeat has used up its time.
    CHECK(code(it, 10, 3s) == result_code::cell_backlog);
    job.spec.occurrences = 2;
    CHECK(code(busy_forecast(now)) == result_code::ok);
    job.spec.occurrences = 0;
    job.spec.steps[0].long_running = true;
    CHECK(code(busy_forecast(now)) == result_code::ok);
}

TEST_CASE("A forecast round-trips and is bounded", "[forecast]")
{
    constexpr time_point now{100s};
    const auto sent = busy_forecast(now - 300ms);
    const auto it = decode_forecast(encode(sent, now), now + 1h);
    REQUIRE(it);
    CHECK(it->epoch == 3);
    CHECK(it->computed_at == now + 1h - 300ms);
    CHECK(it->leading_for == sent.leading_for);
    CHECK(it->pace == Approx(0.5));
    CHECK(it->services == sent.services);
    CHECK(it->drains == sent.drains);
    CHECK(it->accounts == sent.accounts);
    CHECK(it->waiting == sent.waiting);
    CHECK_FALSE(decode_forecast("\xc1", now));

    worker_fleet cell;
    for (std::uint64_t id = 1; id <= 300; ++id) {
        const auto name = "account-" + std::to_string(id);
        cell.config.accounts[name] = {.name = name,
                                      .limit = {.cpu_millis = 1000}};
    }
    cell.take_over();
    for (std::uint64_t id = 1; id <= 300; ++id) {
        auto job = short_job();
        job.id = id;
        job.account = "account-" + std::to_string(id);
        cell.submit(job);
    }
    const auto full = cell.leader().forecast(cell.now);
    CHECK(full.waiting.size() == max_forecast_rows);
    CHECK(encode(full, cell.now).size() < 4500);
}

// Work of steps whose predecessors run will wait next; steps further behind are
// not counted.
TEST_CASE("A forecast counts waiting work up to the next step", "[forecast]")
{
    worker_fleet cell;
    cell.add_workers(1, {8000, 64000, 0});
    const step_spec step{
        .tasks = 4, .demand = {2000, 100, 0}, .estimate_ms = 500};
    cell.submit(make_job(1, {step, step, step}));
    cell.run(300ms);
    REQUIRE(cell.running(1) == 4);
    const auto it = cell.leader().forecast(cell.now);
    REQUIRE(it.waiting.size() == 1);
    CHECK(it.waiting[0].core_ms == 4000);
    REQUIRE(it.services.size() == 1);
    CHECK(it.services[0].used_cpu_millis == 8000);
    cell.run(3s);
    REQUIRE(cell.state(1) == job_state::completed);
    const auto later = cell.leader().forecast(cell.now);
    CHECK(later.waiting.empty());
    REQUIRE(later.drains.size() == 1);
    CHECK(later.drains[0].completed_per_s > 3000);
    CHECK(later.pace == Approx(1).margin(0.1));
}

} // namespace rosemarytrail::fleet
