#include <catch2/catch.hpp>

#include <rosemarytrail/state/append_queue.hpp>

#include <set>

namespace {

using namespace rosemarytrail;        // NOLINT(google-build-using-namespace)
using namespace rosemarytrail::state; // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds{100}};

record cancel(const std::string& job)
{
    return job_cancelled{job_id{job}};
}

std::size_t records_of(const pending_append& entry)
{
    std::uint64_t unknown = 0;
    reason why;
    return decode(entry.payload, unknown, why)->records.size();
}

TEST_CASE("queued records are batched and one append is in flight at a time")
{
    append_queue queue{{.writer = incarnation_id{"d1"}}};
    reason why;
    CHECK(queue.push(cancel("a"), why) == 1);
    CHECK(queue.push(cancel("b"), why) == 1);
    const auto entry = queue.next(start);
    REQUIRE(entry);
    CHECK(entry->sequence == 1);
    CHECK(records_of(*entry) == 2);
    CHECK(queue.push(cancel("c"), why) == 2);
    CHECK_FALSE(queue.next(start + seconds{10}));
    CHECK(queue.waiting() == 3);
    queue.appended(start + seconds{10});
    CHECK(queue.waiting() == 1);
    CHECK(queue.next(start + seconds{10})->sequence == 2);
}

TEST_CASE("an append whose response was lost is resent byte for byte")
{
    append_queue queue{{.writer = incarnation_id{"d1"}}};
    reason why;
    (void)queue.push(cancel("a"), why);
    const auto first = queue.next(start);
    CHECK(queue.push(cancel("b"), why) == 2);
    queue.failed(std::nullopt, start);
    CHECK_FALSE(queue.next(start + milliseconds{99}));
    const auto again = queue.next(start + milliseconds{100});
    REQUIRE(again);
    CHECK(again->sequence == first->sequence);
    CHECK(again->payload == first->payload);
}

TEST_CASE("retries back off to the cap and respect retry_after")
{
    append_queue queue{{.writer = incarnation_id{"d1"}}};
    reason why;
    (void)queue.push(cancel("a"), why);
    time_point now = start;
    for (const int wait : {100, 200, 400, 800, 1600, 3200, 5000, 5000}) {
        REQUIRE(queue.next(now));
        queue.failed(std::nullopt, now);
        CHECK_FALSE(queue.next(now + milliseconds{wait - 1}));
        now += milliseconds{wait};
    }
    REQUIRE(queue.next(now));
    queue.failed(seconds{9}, now);
    CHECK_FALSE(queue.next(now + milliseconds{8999}));
    CHECK(queue.next(now + seconds{9}));
}

TEST_CASE("a writer does not exceed its append rate after an outage")
{
    append_queue queue{{.writer = incarnation_id{"d1"},
                        .appends_per_second = 20.0,
                        .batch_bytes = 300}};
    reason why;
    int sent = 0;
    bool up = false;
    for (int ms = 0; ms < 20000; ++ms) {
        const time_point now = start + milliseconds{ms};
        up = ms >= 10000;
        (void)queue.push(cancel("job" + std::to_string(ms)), why);
        if (queue.next(now)) {
            sent += up ? 1 : 0;
            up ? queue.appended(now) : queue.failed(std::nullopt, now);
        }
    }
    CHECK(sent <= 201);
    CHECK(sent > 100);
}

TEST_CASE("batches and the queue respect their size limits")
{
    append_queue queue{{.writer = incarnation_id{"d1"},
                        .appends_per_second = 1e6,
                        .max_queued_records = 3000}};
    reason why;
    for (int i = 0; i < 3000; ++i) {
        REQUIRE(queue.push(cancel("j" + std::to_string(i)), why));
    }
    CHECK_FALSE(queue.push(cancel("more"), why));
    CHECK(why.code == result_code::queue_full);
    std::size_t records = 0;
    time_point now = start;
    while (const auto it = queue.next(now)) {
        CHECK(it->payload.size() <= (std::size_t{64} << 10U));
        CHECK(records_of(*it) <= records_per_batch);
        records += records_of(*it);
        queue.appended(now);
        now += milliseconds{1};
    }
    CHECK(records == 3000);
    CHECK(queue.waiting() == 0);
}

TEST_CASE("only records that are not in the log can be dropped")
{
    append_queue queue{{.writer = incarnation_id{"d1"}}};
    reason why;
    const auto first = queue.push(cancel("a"), why);
    REQUIRE(queue.next(start));
    queue.failed(std::nullopt, start);
    CHECK_FALSE(queue.drop(*first));
    const auto second = queue.push(cancel("b"), why);
    CHECK(queue.push(cancel("c"), why) == second);
    const auto is_b = [](const record& it) {
        return std::get<job_cancelled>(it).job.str() == "b";
    };
    CHECK(queue.drop(*second, is_b));
    CHECK_FALSE(queue.drop(*second, is_b));
    CHECK(queue.waiting() == 2);
    CHECK(queue.drop(*second));
    CHECK_FALSE(queue.drop(*second));
    CHECK(queue.waiting() == 1);
    CHECK(queue.push(cancel("d"), why) > second);
}

} // namespace
