#include <rosemarytrail/fleet/job_index.hpp>
#include <rosemarytrail/fleet/msgpack.hpp>

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>

namespace rosemarytrail::fleet {

namespace {

constexpr std::uint64_t id = 0x71252ff36e752662ULL;
constexpr time_point now{std::chrono::seconds{5}};

[[nodiscard]] job_record make_record()
{
    return {.id = id,
            .account = "a",
            .acceptor = "n1",
            .accepted_unix_ms = 77,
            .queue = {.name = "q",
                      .service = "s",
                      .priority = 2,
                      .max_attempts = 3,
                      .slack_factor = 1.5,
                      .target_latency_ms = 250,
                      .advice = advice_policy{.base_ms = 13,
                                              .per_worker_ms = 0.19,
                                              .valid_ms = 2500}},
            .spec = {.payload = "text",
                     .steps = {
                         {.tasks = 2, .demand = {1, 2, 3}, .checkpoints = true},
                         {.tasks = 1,
                          .depends_on = {0},
                          .scavenger = true,
                          .data_rack = "r1-2"}}}};
}

[[nodiscard]] std::string job_key()
{
    return encode_key({.kind = entry_kind::job, .step = {.job = id}});
}

} // namespace

TEST_CASE("Names of jobs, steps and tasks round-trip through text", "[ledger]")
{
    const task_key task{.step = {.job = id, .occurrence = 3, .step = 1},
                        .index = 17};
    CHECK(to_text(task) == "71252ff36e752662.3.1.17");
    CHECK(parse_task_key(to_text(task)) == task);
    CHECK(parse_step_key(to_text(task.step)) == task.step);
    for (const auto* bad : {"", "71252ff36e752662", "71252ff36e752662.1",
                            "71252ff36e752662.1.x.2", "zz252ff36e752662.1.1.1",
                            "71252ff36e752662.1.1.1.1"}) {
        CHECK_FALSE(parse_task_key(bad));
    }
}

TEST_CASE("A job round-trips through the ledger", "[ledger]")
{
    job_index ledger_jobs;
    REQUIRE(ledger_jobs.apply(job_key(), encode(make_record()), now));
    const auto* entry = ledger_jobs.find(id);
    REQUIRE(entry != nullptr);
    REQUIRE(entry->record);
    CHECK(entry->record->queue.advice->valid_ms == 2500);
    CHECK(entry->record->spec.steps[1].scavenger);
    CHECK(entry->record->spec.steps[1].data_rack == "r1-2");
    CHECK(entry->record->spec.steps[0].demand == resource_amounts{1, 2, 3});
    CHECK(entry->state() == job_state::queued);
    CHECK(ledger_jobs.pending("q") == 1);
}

TEST_CASE("A repeated submission after the end of a job has no effect",
          "[ledger]")
{
    job_index ledger_jobs;
    REQUIRE(ledger_jobs.apply(job_key(), encode(make_record()), now));
    REQUIRE(ledger_jobs.apply(
        encode_key({.kind = entry_kind::outcome, .step = {.job = id}}),
        encode(job_outcome{.state = job_state::completed, .unix_ms = 1}), now));
    REQUIRE(ledger_jobs.apply(job_key(), std::nullopt, now));
    REQUIRE(ledger_jobs.apply(job_key(), encode(make_record()), now));
    CHECK(ledger_jobs.find(id)->state() == job_state::completed);
    std::size_t live = 0;
    ledger_jobs.each_live([&](std::uint64_t, const job_entry&) { ++live; });
    CHECK(live == 0);
}

TEST_CASE("Malformed and unknown entries are rejected", "[ledger]")
{
    job_index ledger_jobs;
    CHECK_FALSE(ledger_jobs.apply("x/1", "1", now));
    CHECK_FALSE(ledger_jobs.apply("j/nonsense", "1", now));
    CHECK_FALSE(ledger_jobs.apply(job_key(), "\x01\x02", now));
    CHECK(ledger_jobs.find(id) == nullptr);
    CHECK(ledger_jobs.pending("q") == 0);
}

TEST_CASE("A deeply nested entry of the ledger is rejected", "[ledger]")
{
    constexpr std::size_t depth = 1000000;
    constexpr char array_of_one = '\x91';
    constexpr char object_of_one = '\x81';
    auto bytes = std::string(
        depth, GENERATE(values<char>({array_of_one, object_of_one})));
    bytes.push_back('\x01');
    CHECK_FALSE(decode_job(bytes));
    CHECK_FALSE(decode_leader(bytes));
    CHECK_FALSE(decode_worker(bytes));
    job_index ledger_jobs;
    CHECK_FALSE(ledger_jobs.apply(job_key(), bytes, now));
    CHECK(ledger_jobs.find(id) == nullptr);
}

TEST_CASE("A number of the ledger that is too large is rejected", "[ledger]")
{
    using nlohmann::json;
    const auto number = GENERATE(
        values<json>({json(std::uint64_t{1} << 62U), json(1e300), json(-1),
                      json(std::numeric_limits<std::uint64_t>::max())}));
    INFO(number.dump());
    CHECK_FALSE(decode_progress(
        pack(json::array({json::array({1, number, "w", ""})}))));
    CHECK(decode_progress(pack(json::array({json::array({1, 3, "w", ""})})))
              ->at(0)
              .failed_runs.size() == 3);
}

TEST_CASE("A job of the ledger with too much work is rejected", "[ledger]")
{
    REQUIRE(decode_job(encode(make_record())));
    auto record = make_record();
    SECTION("tasks")
    {
        record.spec.steps.back().tasks =
            std::numeric_limits<std::uint32_t>::max();
    }
    SECTION("occurrences")
    {
        record.spec.occurrences = std::numeric_limits<std::uint32_t>::max();
    }
    SECTION("steps")
    {
        record.spec.steps.resize(1000000, record.spec.steps.back());
    }
    SECTION("a dependency on no earlier step")
    {
        record.spec.steps.back().depends_on = {
            static_cast<std::uint32_t>(record.spec.steps.size() - 1)};
    }
    CHECK_FALSE(decode_job(encode(record)));
}

TEST_CASE("Values that nest as deep as entries may round-trip", "[ledger]")
{
    auto value = nlohmann::json::object(
        {{"text", "x"},
         {"null", nullptr},
         {"numbers", {1, -1, 1.5, true, 18446744073709551615U}},
         {"bytes", nlohmann::json::binary({1, 2})},
         {"empty", {nlohmann::json::array(), nlohmann::json::object()}}});
    const auto nested = [&value](std::size_t levels) {
        auto result = value;
        for (std::size_t n = 0; n < levels; ++n) {
            result = nlohmann::json::array({result, 7});
        }
        return result;
    };
    const auto read = [](const nlohmann::json& it) {
        return it;
    };
    // The value itself has three levels.
    const auto deepest = nested(max_msgpack_depth - 3);
    CHECK(unpack(pack(deepest), read) == deepest);
    CHECK_FALSE(unpack(pack(nested(max_msgpack_depth - 2)), read));
    CHECK_FALSE(unpack(pack(value) + "x", read));
    CHECK_FALSE(unpack(pack(value).substr(0, 9), read));
    CHECK_FALSE(unpack("", read));
}

// Guards against jobs that are shown as running, and not counted as pending,
// though every start of theirs was refused.
TEST_CASE("A job counts as started once a task has begun", "[ledger]")
{
    const bool keeps_progress = GENERATE(false, true);
    const task_progress begun =
        GENERATE(task_progress{.done = true},
                 task_progress{.run = 1, .worker = "w", .confirmed = true},
                 task_progress{.run = 2, .failed_runs = {1}},
                 task_progress{.run = 2, .worker = "w", .begun = true},
                 task_progress{.run = 2, .earlier_start = "w", .begun = true});
    CAPTURE(keeps_progress);
    job_index ledger_jobs;
    REQUIRE(ledger_jobs.apply(job_key(), encode(make_record()), now));
    if (!keeps_progress) {
        ledger_jobs.discard_progress();
    }
    const auto apply = [&](const task_progress& second) {
        const std::vector<task_progress> rows{{.run = 1, .worker = "w"},
                                              second};
        CHECK(decode_progress(encode(rows)) == rows);
        return ledger_jobs.apply(
            encode_key({.kind = entry_kind::progress, .step = {.job = id}}),
            encode(rows), now);
    };
    REQUIRE(apply({.run = 1, .earlier_start = "w"}));
    CHECK(ledger_jobs.find(id)->state() == job_state::queued);
    CHECK(ledger_jobs.pending("q") == 1);
    REQUIRE(apply(begun));
    CHECK(ledger_jobs.find(id)->state() == job_state::running);
    CHECK(ledger_jobs.pending("q") == 0);
}

TEST_CASE("Run times round-trip through the ledger in few bytes", "[ledger]")
{
    std::vector<run_time_ratio> rows;
    rows.reserve(20);
    for (int i = 0; i < 20; ++i) {
        rows.push_back({.key = "i/image-" + std::to_string(10 + i),
                        .median = 1.25,
                        .ninth_decile = 1.5});
    }
    const auto key = encode_key({.kind = entry_kind::run_times});
    // Builds that do not know the entry ignore such a key.
    CHECK(key.size() < 3);
    CHECK(encode(rows).size() < 400);
    job_index ledger_jobs;
    REQUIRE(ledger_jobs.apply(key, encode(rows), now));
    CHECK(ledger_jobs.run_times() == rows);
    CHECK_FALSE(ledger_jobs.apply(key, "\x91\x01", now));
    CHECK_FALSE(ledger_jobs.apply("r/1", encode(rows), now));
    CHECK_FALSE(ledger_jobs.apply("y", "1", now));
    CHECK(ledger_jobs.run_times() == rows);
}

TEST_CASE("The progress of a step round-trips in few bytes", "[ledger]")
{
    std::vector<task_progress> rows(26);
    for (auto& it : rows) {
        it = {.run = 1,
              .worker = "i-c2f53553f2",
              .checkpoint = "00000bb87a21d94b"};
    }
    const auto all_running = encode(rows).size();
    for (std::size_t n = 0; n < 13; ++n) {
        rows[n] = {.done = true};
    }
    rows[25] = {};
    rows[24] = {.run = 3, .failed_runs = {1, 2}};
    rows[23] = {.run = 2,
                .crashes = {.confirmed = 1,
                            .possible = 2,
                            .unexplained = {
                                {.id = "i-c2f53553f2", .run_confirmed = true},
                                {.id = "i-c2f53553f3"}}}};
    const auto it = decode_progress(encode(rows));
    REQUIRE(it);
    CHECK(*it == rows);
    CHECK(encode(rows).size() < all_running * 6 / 10);
    // As written by earlier versions: run, number of failures, worker and
    // checkpoint.
    const auto old = decode_progress("\x91\x94\x03\x02\xa1w\xa0");
    REQUIRE(old);
    CHECK(old->front().failed_runs.size() == 2);
    CHECK_FALSE(decode_progress("\x91\x01"));
    CHECK_FALSE(decode_progress("\x93\xc2\x01\xc2"));
    CHECK_FALSE(decode_progress("\x91\x91\x01"));
}

TEST_CASE("An index that keeps no progress knows which jobs have started",
          "[ledger]")
{
    constexpr std::uint64_t before = 1;
    constexpr std::uint64_t after = 2;
    constexpr std::uint64_t waiting = 3;
    job_index it;
    const auto add_job = [&](std::uint64_t job) {
        it.apply(encode_key({.kind = entry_kind::job, .step = {.job = job}}),
                 encode(job_record{.id = job, .spec = {.steps = {{}}}}), now);
    };
    const auto add_progress = [&](std::uint64_t job) {
        const std::vector<task_progress> rows{
            {.run = 1, .worker = "w", .confirmed = true}};
        it.apply(
            encode_key({.kind = entry_kind::progress, .step = {.job = job}}),
            encode(rows), now);
    };
    for (const auto job : {before, after, waiting}) {
        add_job(job);
    }
    add_progress(before);
    it.discard_progress();
    add_progress(after);
    CHECK(it.find(before)->state() == job_state::running);
    CHECK(it.find(before)->progress.empty());
    CHECK(it.find(after)->state() == job_state::running);
    CHECK(it.find(after)->progress.empty());
    CHECK(it.find(waiting)->state() == job_state::queued);
    CHECK(it.pending("") == 1);
}

} // namespace rosemarytrail::fleet
