#include <catch2/catch.hpp>

#include <rosemarytrail/standin/upstream_model.hpp>

using namespace rosemarytrail;          // NOLINT
using namespace rosemarytrail::standin; // NOLINT

namespace {

[[nodiscard]] upstream_request write(const std::string& id)
{
    return {.service = service_id{"plugs"},
            .request_id = id,
            .idempotency_key = "key",
            .writes = true};
}

} // namespace

TEST_CASE("An upstream runs no more than its slots", "[standin]")
{
    run_counter counter;
    upstream_model it{{.slots = 2}, counter};
    CHECK(it.begin(write("1")).run == 1);
    CHECK(it.begin(write("2")).run == 2);
    const auto full = it.begin(write("3"));
    CHECK(full.action == upstream_action::refuse);
    CHECK_FALSE(full.runs());
    CHECK(counter.runs("key") == 2);
    it.end();
    CHECK(it.begin(write("4")).runs());
    it.end();
    it.set_faults({.leaving = true});
    CHECK_FALSE(it.begin(write("5")).runs());
    it.set_faults({.mode = fault_mode::down});
    CHECK(it.begin(write("6")).action == upstream_action::drop);
    CHECK(counter.runs("key") == 3);
}

TEST_CASE("Runs are counted over all upstreams that share a counter",
          "[standin]")
{
    run_counter counter;
    upstream_model one{{}, counter, {.cut_off = 1.0}};
    upstream_model other{{}, counter, {.crossed = 1.0}};
    CHECK(one.begin(write("1")).action == upstream_action::cut_off);
    const auto again = other.begin(write("1"));
    CHECK(again.run == 2);
    CHECK(again.request_id != "1");
    CHECK(counter.most() == 2);
}

TEST_CASE("A read that asks for a later version is refused", "[standin]")
{
    run_counter counter;
    upstream_model it{{}, counter};
    CHECK(it.begin(write("1")).write_offset == 1);
    upstream_request read{.service = service_id{"plugs"}, .read_offset = 1};
    CHECK(it.begin(read).write_offset == 1);
    read.read_offset = 2;
    CHECK(it.begin(read).action == upstream_action::refuse);
}
