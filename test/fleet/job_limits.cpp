#include <rosemarytrail/fleet/job_limits.hpp>

#include <catch2/catch.hpp>

#include <cstdint>
#include <limits>

namespace rosemarytrail::fleet {

namespace {

[[nodiscard]] job_spec schedule(std::uint32_t occurrences,
                                std::int64_t first_due_ms,
                                std::int64_t interval_ms)
{
    return {.steps = {{.tasks = 2}},
            .occurrences = occurrences,
            .first_due_ms = first_due_ms,
            .interval_ms = interval_ms};
}

} // namespace

// Guards against jobs that a leader cannot track.
TEST_CASE("A job with too many steps or tasks is refused", "[job_limits]")
{
    job_spec job{.steps = {{.tasks = 15000}, {.tasks = 5000}}};
    CHECK(check_limits(job, {}) == result_code::ok);
    job.steps.push_back({.tasks = 1});
    CHECK(check_limits(job, {}) == result_code::job_too_many_tasks);
    job.steps = {{.tasks = std::numeric_limits<std::uint32_t>::max()},
                 {.tasks = 2}};
    CHECK(check_limits(job, {}) == result_code::job_too_many_tasks);
    job.steps.assign(1001, {.tasks = 1});
    CHECK(check_limits(job, {}) == result_code::job_too_many_tasks);
}

// Guards against times whose sum is out of range.
TEST_CASE("Occurrences beyond the range of times are refused", "[job_limits]")
{
    constexpr auto longest = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t hour = 3600000;
    constexpr std::int64_t now = 1796587701859;
    CHECK(check_limits(schedule(8760, now, hour), {}) == result_code::ok);
    CHECK(check_limits(schedule(100000, now, hour), {}) == result_code::ok);
    constexpr auto out_of_range = result_code::job_times_out_of_range;
    CHECK(check_limits(schedule(100001, now, hour), {}) == out_of_range);
    CHECK(check_limits(schedule(2, now, longest), {}) == out_of_range);
    CHECK(check_limits(schedule(2, longest, 1), {}) == out_of_range);
    CHECK(check_limits(schedule(2, -1, 1), {}) == out_of_range);
    CHECK(check_limits(schedule(2, now, -1), {}) == out_of_range);
}

} // namespace rosemarytrail::fleet
