#include <rosemarytrail/cell/retry_delay.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

namespace rosemarytrail::cell {

namespace {

using namespace std::chrono_literals;
constexpr time_point served{std::chrono::seconds{50}};
constexpr std::uint64_t jobs = 1000;

/** @brief Delays of many jobs that are rejected at one time. */
struct delays
{
    delays(duration age, std::int32_t priority)
    {
        for (std::uint64_t job = 1; job <= jobs; ++job) {
            const auto it = retry_delay(
                {.store_served = served, .priority = priority, .job = job},
                served + age);
            least = std::min(least, it);
            most = std::max(most, it);
            sum += it;
        }
    }

    duration least{1h};
    duration most{};
    duration sum{};
};

} // namespace

TEST_CASE("While the store is slow, callers return after a second", "[retry]")
{
    for (const std::int32_t priority : {0, 1, 2}) {
        const delays it{800ms, priority};
        CHECK(it.least == duration{1s});
        CHECK(it.most == duration{1s});
    }
}

TEST_CASE("The delay grows with the age of the outage", "[retry]")
{
    for (const auto age : {1500ms, 2300ms, 3700ms}) {
        const delays first{age, 0};
        // Rounding by job leaves the mean at the age of the outage.
        CHECK(first.sum / jobs > duration{age} - 50ms);
        CHECK(first.sum / jobs < duration{age} + 50ms);
        CHECK(first.least < first.most);
        const delays others{age, 2};
        CHECK(others.least == first.least + 1s);
    }
}

TEST_CASE("The delay is limited, and still spread", "[retry]")
{
    const delays first{1h, 0};
    CHECK(first.least == duration{4s});
    CHECK(first.most == duration{5s});
    const delays others{1h, 1};
    CHECK(others.least == duration{5s});
    CHECK(others.most == duration{5s});
}

TEST_CASE("Callers with four repeats outlive an outage of 6.4 s", "[retry]")
{
    // With a constant delay of 1 s, the last repeat is rejected 4 s after the
    // first call.
    for (std::uint64_t job = 1; job <= jobs; ++job) {
        time_point now = served + 500ms;
        constexpr int repeats = 4;
        for (int n = 0; n < repeats; ++n) {
            now += retry_delay(
                {.store_served = served, .priority = 0, .job = job}, now);
        }
        CHECK(now > served + 6400ms);
    }
}

} // namespace rosemarytrail::cell
