#include <rosemarytrail/fleet/run_times.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace rosemarytrail::fleet {

namespace {

using namespace std::chrono_literals;

constexpr time_point start{1000s};

/** @brief Records runs that took `factor` times the declared time on average,
 * and 10 % more or less. */
void add_runs(run_times& to, const run_time_source& source, double factor,
              std::size_t n, double slowness = 1.0)
{
    for (std::size_t i = 0; i < n; ++i) {
        const auto vary = 0.9 + 0.02 * static_cast<double>(i * 7 % 11);
        to.add({.source = source,
                .declared = 1s,
                .observed = std::chrono::duration_cast<duration>(
                    1s * (factor * vary * slowness)),
                .slowness = slowness},
               start + i * 1ms);
    }
}

[[nodiscard]] double ratio(const run_times& of, const run_time_source& source,
                           std::size_t tasks = 1)
{
    return std::chrono::duration<double>(of.expected(source, 1s, tasks))
        .count();
}

} // namespace

TEST_CASE("Without samples, the declared duration is expected", "[run_times]")
{
    run_times it;
    CHECK(ratio(it, {.image = "i", .queue = "q"}, 10) == 1.0);
    add_runs(it, {.image = "i", .queue = "q"}, 1.5, 5);
    CHECK(ratio(it, {.image = "i", .queue = "q"}, 10) == 1.0);
}

TEST_CASE("Runs that take longer than declared correct later estimates",
          "[run_times]")
{
    run_times it;
    add_runs(it, {.image = "i", .queue = "q"}, 1.5, 100);
    CHECK(ratio(it, {.image = "i", .queue = "q"}) == Approx(1.5).epsilon(0.05));
    // The slowest of many tasks takes longer than a typical one.
    CHECK(ratio(it, {.image = "i", .queue = "q"}, 20) ==
          Approx(1.65).epsilon(0.06));
    // Another image of the queue has no samples of its own.
    CHECK(ratio(it, {.image = "j", .queue = "q"}) == Approx(1.5).epsilon(0.05));
    CHECK(ratio(it, {.image = "i", .queue = "other"}) ==
          Approx(1.5).epsilon(0.05));
}

TEST_CASE("A slow worker does not make its tasks' image slow", "[run_times]")
{
    run_times it;
    add_runs(it, {.image = "i", .queue = "q"}, 1.2, 100, 2.4);
    CHECK(ratio(it, {.image = "i", .queue = "q"}) == Approx(1.2).epsilon(0.05));
}

TEST_CASE("Estimates follow a change of the run times", "[run_times]")
{
    run_times it{{.samples_kept = 100}};
    add_runs(it, {.image = "i", .queue = "q"}, 1.5, 300);
    add_runs(it, {.image = "i", .queue = "q"}, 0.8, 300);
    CHECK(ratio(it, {.image = "i", .queue = "q"}) == Approx(0.8).epsilon(0.06));
}

TEST_CASE("Stragglers do not raise the expected run time", "[run_times]")
{
    run_times it;
    for (int i = 0; i < 20; ++i) {
        add_runs(it, {.image = "i", .queue = "q"}, 1.0, 29);
        add_runs(it, {.image = "i", .queue = "q"}, 7.0, 1);
    }
    CHECK(ratio(it, {.image = "i", .queue = "q"}, 40) < 1.25);
}

TEST_CASE("The number of images is bounded", "[run_times]")
{
    run_times it{{.max_keys = 8, .min_samples = 1}};
    for (int i = 0; i < 100; ++i) {
        add_runs(it, {.image = std::to_string(i), .queue = "q"}, 1.5, 10);
    }
    CHECK(it.ratios().size() == 8);
    CHECK(ratio(it, {.image = "99", .queue = "other"}) > 1.3);
}

TEST_CASE("A new leader starts with the estimates of its predecessor",
          "[run_times]")
{
    run_times before;
    add_runs(before, {.image = "i", .queue = "q"}, 1.5, 100);
    run_times it;
    it.restore(before.ratios(), start);
    CHECK(it.ratios() == before.ratios());
    CHECK(ratio(it, {.image = "i", .queue = "q"}) == Approx(1.5).epsilon(0.05));
    // Malformed estimates are ignored.
    it.restore({{.key = "q/x", .median = -1, .ninth_decile = 2}}, start);
    CHECK(ratio(it, {.image = "", .queue = "x"}) == 1.0);
}

} // namespace rosemarytrail::fleet
