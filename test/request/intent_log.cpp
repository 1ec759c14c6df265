#include <catch2/catch.hpp>

#include "intent_cell.hpp"

namespace rosemarytrail::test {

using request::intent_verdict;

namespace {

constexpr int long_enough = 100;

request::kept_answer answer(const std::string& body)
{
    return {.status = 201, .content_type = "text/plain", .body = body};
}

} // namespace

TEST_CASE("Only one of two concurrent entry VMs runs a key", "[request]")
{
    intent_cell cell;
    const auto first = cell.open(cell.a, booking("k"));
    const auto second = cell.open(cell.b, booking("k"));
    cell.run(long_enough);
    REQUIRE(first->has_value());
    REQUIRE(second->has_value());
    CHECK((*first)->verdict == intent_verdict::run);
    CHECK((*second)->verdict == intent_verdict::in_progress);

    cell.a.store->close(booking("k"), true, answer("plug 7"));
    const auto same = cell.open(cell.a, booking("k"));
    REQUIRE(same->has_value());
    CHECK((*same)->answer.body == "plug 7");
    cell.run(long_enough);
    const auto other = cell.open(cell.b, booking("k"));
    REQUIRE(other->has_value());
    CHECK((*other)->verdict == intent_verdict::answered);
    CHECK((*other)->answer.body == "plug 7");
    const auto reused = cell.open(cell.b, booking("k", 2));
    REQUIRE(reused->has_value());
    CHECK((*reused)->why.code == result_code::request_id_reused);
}

TEST_CASE("A lost append acknowledgement does not open a key twice",
          "[request]")
{
    intent_cell cell;
    cell.a.log.lose_answers = true;
    const auto first = cell.open(cell.a, booking("k"));
    cell.run(1);
    cell.a.store->close(booking("k"), false, {});
    cell.a.log.lose_answers = false;
    cell.run(long_enough);
    REQUIRE(first->has_value());
    CHECK((*first)->verdict == intent_verdict::run);
    // The retried opening record is in the log before the close.
    CHECK(cell.stream.entries.size() >= 3);
    const auto next = cell.open(cell.b, booking("k"));
    cell.run(long_enough);
    REQUIRE(next->has_value());
    CHECK((*next)->verdict == intent_verdict::run);
}

TEST_CASE("The state of a key after its writer dies", "[request]")
{
    intent_cell cell;
    SECTION("before its record is in the log: the key is free")
    {
        const auto lost = cell.open(cell.a, booking("k"));
        cell.a.log.paused = true;
        cell.a.alive = false;
        const auto next = cell.open(cell.b, booking("k"));
        cell.run(long_enough);
        CHECK_FALSE(lost->has_value());
        REQUIRE(next->has_value());
        CHECK((*next)->verdict == intent_verdict::run);
    }
    SECTION("after its record is in the log: unknown")
    {
        const auto lost = cell.open(cell.a, booking("k"));
        cell.a.log.take_effect();
        cell.a.log.paused = true;
        cell.run(1);
        const auto alive = cell.open(cell.b, booking("k"));
        REQUIRE(alive->has_value());
        CHECK((*alive)->verdict == intent_verdict::in_progress);
        cell.a.alive = false;
        const auto gone = cell.open(cell.b, booking("k"));
        REQUIRE(gone->has_value());
        CHECK((*gone)->verdict == intent_verdict::unknown);
    }
    SECTION("while it runs: unknown")
    {
        const auto ran = cell.open(cell.a, booking("k"));
        cell.run(long_enough);
        REQUIRE((*ran)->verdict == intent_verdict::run);
        cell.a.log.paused = true;
        cell.a.alive = false;
        const auto next = cell.open(cell.b, booking("k"));
        cell.run(long_enough);
        REQUIRE(next->has_value());
        CHECK((*next)->verdict == intent_verdict::unknown);
    }
    SECTION("after the close is in the log: the first response")
    {
        const auto ran = cell.open(cell.a, booking("k"));
        cell.run(long_enough);
        cell.a.store->close(booking("k"), true, answer("plug 7"));
        cell.run(long_enough);
        cell.a.log.paused = true;
        cell.a.alive = false;
        const auto next = cell.open(cell.b, booking("k"));
        REQUIRE(next->has_value());
        CHECK((*next)->verdict == intent_verdict::answered);
    }
}

TEST_CASE("A paused writer does not dispatch after the deadline", "[request]")
{
    intent_cell cell;
    const auto late = cell.open(cell.a, booking("k"));
    cell.a.log.take_effect();
    cell.a.log.paused = true;
    cell.run(2 * long_enough);
    cell.a.log.paused = false;
    cell.run(long_enough);
    REQUIRE(late->has_value());
    CHECK((*late)->verdict == intent_verdict::not_run);
    // The key is free again once the close is in the log.
    const auto next = cell.open(cell.b, booking("k"));
    cell.run(long_enough);
    REQUIRE(next->has_value());
    CHECK((*next)->verdict == intent_verdict::run);
}

TEST_CASE("Requests fail fast and do not run while the log is down",
          "[request]")
{
    intent_cell cell;
    const auto answered = cell.open(cell.a, booking("before"));
    cell.run(long_enough);
    cell.a.store->close(booking("before"), true, answer("plug 7"));
    cell.run(long_enough);

    cell.a.log.down = true;
    const auto first = cell.open(cell.a, booking("k"));
    cell.run(long_enough);
    REQUIRE(first->has_value());
    CHECK((*first)->verdict == intent_verdict::not_run);
    CHECK(cell.a.store->log_down());
    const auto second = cell.open(cell.a, booking("k2"));
    REQUIRE(second->has_value());
    CHECK((*second)->why.code == result_code::log_down);
    CHECK((*second)->why.retry_after.has_value());
    const auto kept = cell.open(cell.a, booking("before"));
    REQUIRE(kept->has_value());
    CHECK((*kept)->verdict == intent_verdict::answered);

    cell.a.log.down = false;
    cell.run(10 * long_enough);
    CHECK(cell.a.store->flushed());
    const auto again = cell.open(cell.b, booking("k"));
    cell.run(long_enough);
    REQUIRE(again->has_value());
    CHECK((*again)->verdict == intent_verdict::run);
}

TEST_CASE("Of a large response only the status is stored", "[request]")
{
    intent_cell cell;
    const auto ran = cell.open(cell.a, booking("k"));
    cell.run(long_enough);
    cell.a.store->close(booking("k"), true,
                        answer(std::string(std::size_t{17} << 10U, 'x')));
    cell.run(long_enough);
    const auto next = cell.open(cell.b, booking("k"));
    REQUIRE(next->has_value());
    CHECK((*next)->verdict == intent_verdict::unknown);
    CHECK((*next)->why.detail.find("201") != std::string::npos);
}

} // namespace rosemarytrail::test
