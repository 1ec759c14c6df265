#include <catch2/catch.hpp>

#include "intent_cell.hpp"

namespace rosemarytrail::test {

using request::intent_status;

namespace {

constexpr int settle_steps = 100;

request::stored_response answer(const std::string& body)
{
    return {.status = 201, .content_type = "text/plain", .body = body};
}

} // namespace

TEST_CASE("Only one of two concurrent entry VMs runs a key", "[request]")
{
    intent_cell cell;
    const auto first = cell.open(cell.a, make_intent_key("k"));
    const auto second = cell.open(cell.b, make_intent_key("k"));
    cell.run(settle_steps);
    REQUIRE(first->has_value());
    REQUIRE(second->has_value());
    CHECK((*first)->status == intent_status::run);
    CHECK((*second)->status == intent_status::in_progress);

    cell.a.store->close(make_intent_key("k"), true, answer("plug 7"));
    const auto same = cell.open(cell.a, make_intent_key("k"));
    REQUIRE(same->has_value());
    CHECK((*same)->answer.body == "plug 7");
    cell.run(settle_steps);
    const auto other = cell.open(cell.b, make_intent_key("k"));
    REQUIRE(other->has_value());
    CHECK((*other)->status == intent_status::answered);
    CHECK((*other)->answer.body == "plug 7");
    const auto reused = cell.open(cell.b, make_intent_key("k", 2));
    REQUIRE(reused->has_value());
    CHECK((*reused)->why.code == result_code::request_id_reused);
}

TEST_CASE("A lost append acknowledgement does not open a key twice",
          "[request]")
{
    intent_cell cell;
    cell.a.log.lose_acknowledgements = true;
    const auto first = cell.open(cell.a, make_intent_key("k"));
    cell.run(1);
    cell.a.store->close(make_intent_key("k"), false, {});
    cell.a.log.lose_acknowledgements = false;
    cell.run(settle_steps);
    REQUIRE(first->has_value());
    CHECK((*first)->status == intent_status::run);
    // The retried opening record is in the log before the close.
    CHECK(cell.stream.entries.size() >= 3);
    const auto next = cell.open(cell.b, make_intent_key("k"));
    cell.run(settle_steps);
    REQUIRE(next->has_value());
    CHECK((*next)->status == intent_status::run);
}

TEST_CASE("The state of a key after its writer dies", "[request]")
{
    intent_cell cell;
    SECTION("before its record is in the log: the key is free")
    {
        const auto lost = cell.open(cell.a, make_intent_key("k"));
        cell.a.log.paused = true;
        cell.a.alive = false;
        const auto next = cell.open(cell.b, make_intent_key("k"));
        cell.run(settle_steps);
        CHECK_FALSE(lost->has_value());
        REQUIRE(next->has_value());
        CHECK((*next)->status == intent_status::run);
    }
    SECTION("after its record is in the log: unknown")
    {
        const auto lost = cell.open(cell.a, make_intent_key("k"));
        cell.a.log.apply_unacknowledged();
        cell.a.log.paused = true;
        cell.run(1);
        const auto alive = cell.open(cell.b, make_intent_key("k"));
        REQUIRE(alive->has_value());
        CHECK((*alive)->status == intent_status::in_progress);
        cell.a.alive = false;
        const auto after_death = cell.open(cell.b, make_intent_key("k"));
        REQUIRE(after_death->has_value());
        CHECK((*after_death)->status == intent_status::unknown);
    }
    SECTION("while it runs: unknown")
    {
        const auto ran = cell.open(cell.a, make_intent_key("k"));
        cell.run(settle_steps);
        REQUIRE((*ran)->status == intent_status::run);
        cell.a.log.paused = true;
        cell.a.alive = false;
        const auto next = cell.open(cell.b, make_intent_key("k"));
        cell.run(settle_steps);
        REQUIRE(next->has_value());
        CHECK((*next)->status == intent_status::unknown);
    }
    SECTION("after the close is in the log: the first response")
    {
        const auto ran = cell.open(cell.a, make_intent_key("k"));
        cell.run(settle_steps);
        cell.a.store->close(make_intent_key("k"), true, answer("plug 7"));
        cell.run(settle_steps);
        cell.a.log.paused = true;
        cell.a.alive = false;
        const auto next = cell.open(cell.b, make_intent_key("k"));
        REQUIRE(next->has_value());
        CHECK((*next)->status == intent_status::answered);
    }
}

TEST_CASE("A paused writer does not dispatch after the deadline", "[request]")
{
    intent_cell cell;
    const auto late = cell.open(cell.a, make_intent_key("k"));
    cell.a.log.apply_unacknowledged();
    cell.a.log.paused = true;
    cell.run(2 * settle_steps);
    cell.a.log.paused = false;
    cell.run(settle_steps);
    REQUIRE(late->has_value());
    CHECK((*late)->status == intent_status::not_run);
    // The key is free again once the close is in the log.
    const auto next = cell.open(cell.b, make_intent_key("k"));
    cell.run(settle_steps);
    REQUIRE(next->has_value());
    CHECK((*next)->status == intent_status::run);
}

TEST_CASE("Requests fail fast and do not run while the log is down",
          "[request]")
{
    intent_cell cell;
    const auto answered = cell.open(cell.a, make_intent_key("before"));
    cell.run(settle_steps);
    cell.a.store->close(make_intent_key("before"), true, answer("plug 7"));
    cell.run(settle_steps);

    cell.a.log.down = true;
    const auto first = cell.open(cell.a, make_intent_key("k"));
    cell.run(settle_steps);
    REQUIRE(first->has_value());
    CHECK((*first)->status == intent_status::not_run);
    CHECK(cell.a.store->log_down());
    const auto second = cell.open(cell.a, make_intent_key("k2"));
    REQUIRE(second->has_value());
    CHECK((*second)->why.code == result_code::log_down);
    CHECK((*second)->why.retry_after.has_value());
    const auto kept = cell.open(cell.a, make_intent_key("before"));
    REQUIRE(kept->has_value());
    CHECK((*kept)->status == intent_status::answered);

    cell.a.log.down = false;
    cell.run(10 * settle_steps);
    CHECK(cell.a.store->flushed());
    const auto again = cell.open(cell.b, make_intent_key("k"));
    cell.run(settle_steps);
    REQUIRE(again->has_value());
    CHECK((*again)->status == intent_status::run);
}

TEST_CASE("Of a large response only the status is stored", "[request]")
{
    intent_cell cell;
    const auto ran = cell.open(cell.a, make_intent_key("k"));
    cell.run(settle_steps);
    cell.a.store->close(make_intent_key("k"), true,
                        answer(std::string(std::size_t{17} << 10U, 'x')));
    cell.run(settle_steps);
    const auto next = cell.open(cell.b, make_intent_key("k"));
    REQUIRE(next->has_value());
    CHECK((*next)->status == intent_status::unknown);
    CHECK((*next)->why.detail.find("201") != std::string::npos);
}

} // namespace rosemarytrail::test
