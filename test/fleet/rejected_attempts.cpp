#include <rosemarytrail/fleet/rejected_attempts.hpp>

#include <catch2/catch.hpp>

namespace rosemarytrail::fleet {

TEST_CASE("A repeat keeps the age of the first attempt in a bounded table",
          "[admission]")
{
    using namespace std::chrono_literals;
    constexpr time_point start{100s};
    rejected_attempts it;
    CHECK(it.age(1, start) == duration{});
    it.record(1, start);
    it.record(1, start + 3s);
    CHECK(it.age(1, start + 5s) == duration{5s});
    CHECK(it.age(1, start + 121s) == duration{});
    for (std::uint64_t job = 2; job <= 2 * rejected_attempts::max_jobs; ++job) {
        it.record(job, start + 4s);
    }
    CHECK(it.size() == rejected_attempts::max_jobs);
    CHECK(it.age(1, start + 5s) == duration{});
    it.record(1, start + 200s);
    CHECK(it.size() == 1);
}

} // namespace rosemarytrail::fleet
