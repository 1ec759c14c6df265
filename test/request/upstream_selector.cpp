#include <catch2/catch.hpp>

#include <rosemarytrail/request/retry_policy.hpp>
#include <rosemarytrail/request/upstream_selector.hpp>

#include <test/lib/manual_time_source.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rosemarytrail::request {

namespace {

const service_id plugs{"plugs"};

routing_table table_of(std::uint32_t upstreams, std::uint32_t entry_vms)
{
    routing_table table{.entry_vms = entry_vms, .zone = zone_id{"z0"}};
    for (std::uint32_t n = 0; n < upstreams; ++n) {
        table.services[plugs].push_back(
            {.vm = vm_id{"vm" + std::to_string(n)},
             .zone = zone_id{"z" + std::to_string(n % 3)},
             .address = "10.0.0." + std::to_string(n) + ":80"});
    }
    return table;
}

std::shared_ptr<const routing_table> share(routing_table table)
{
    return std::make_shared<const routing_table>(std::move(table));
}

struct fixture
{
    std::optional<upstream_choice>
    choose(const selection_criteria& criteria = {})
    {
        auto full = criteria;
        full.service = plugs;
        return selector.choose(table, full, clock.now(), why);
    }

    void end(const upstream_choice& choice, response_status status)
    {
        selector.release(choice, {.status = status}, clock.now());
    }

    std::shared_ptr<const routing_table> table;
    upstream_selector selector{{}};
    test::manual_time_source clock;
    reason why;
};

} // namespace

TEST_CASE("Slots are divided between entry VMs without a remainder",
          "[request]")
{
    for (const std::uint32_t entry_vms : {1U, 6U, 8U, 9U}) {
        auto table = table_of(48, entry_vms);
        for (const auto& upstream : table.services[plugs]) {
            std::uint32_t sum = 0;
            for (std::uint32_t rank = 0; rank < entry_vms; ++rank) {
                table.entry_rank = rank;
                sum += share_of(upstream, table);
            }
            CHECK(sum == upstream.slots);
        }
    }
}

TEST_CASE("The local zone is preferred while it has capacity", "[request]")
{
    fixture it{.table = share(table_of(6, 2))};
    std::map<std::string, int> zones;
    for (int n = 0; n < 8; ++n) {
        const auto choice = it.choose();
        REQUIRE(choice);
        for (const auto& view : it.table->services.at(plugs)) {
            zones[view.zone.str()] += view.vm == choice->vm ? 1 : 0;
        }
    }
    CHECK(zones["z0"] == 8);
    for (int n = 0; n < 16; ++n) {
        CHECK(it.choose());
    }
    CHECK_FALSE(it.choose());
    CHECK(it.why.code == result_code::overloaded);
    CHECK(it.why.retry_after.has_value());
}

TEST_CASE("A leaving upstream receives no requests", "[request]")
{
    auto table = table_of(2, 1);
    table.services[plugs][0].leaving = true;
    fixture it{.table = share(table)};
    for (int n = 0; n < 8; ++n) {
        CHECK(it.choose()->vm == vm_id{"vm1"});
    }
    CHECK_FALSE(it.choose());
    table.services[plugs][1].leaving = true;
    it.table = share(table);
    CHECK_FALSE(it.choose());
    CHECK(it.why.code == result_code::no_upstream);
}

TEST_CASE("An upstream that refuses all requests is backed off exponentially",
          "[request]")
{
    fixture it{.table = share(table_of(2, 1))};
    int refused = 0;
    for (int n = 0; n < 1000; ++n) {
        const auto choice = it.choose();
        const bool refuses = choice->vm == vm_id{"vm0"};
        refused += refuses ? 1 : 0;
        it.end(*choice,
               refuses ? response_status::refused : response_status::whole);
        it.clock.advance(std::chrono::milliseconds{5});
    }
    // In five seconds: six doublings of the backoff from 20 ms, then one
    // refusal per second.
    CHECK(refused >= 6);
    CHECK(refused <= 12);
    for (int n = 0; n < 8; ++n) {
        it.choose();
    }
    // It is still selected if no other upstream is available.
    CHECK(it.choose().has_value());
}

TEST_CASE("Failing upstreams are ejected up to a limit and ramp up slowly",
          "[request]")
{
    fixture it{.table = share(table_of(6, 1))};
    const auto is_bad = [](const upstream_choice& choice) {
        return choice.vm <= vm_id{"vm3"};
    };
    for (int n = 0; n < 400; ++n) {
        const auto choice = it.choose();
        it.end(*choice, is_bad(*choice) ? response_status::cut_off
                                        : response_status::whole);
    }
    // At most half of the six may be ejected, although four fail.
    CHECK(it.selector.capacity(it.table, plugs, it.clock.now()) == 24);

    it.clock.advance(std::chrono::milliseconds{2100});
    int early = 0;
    for (int n = 0; n < 200; ++n) {
        const auto choice = it.choose();
        early += is_bad(*choice) ? 1 : 0;
        it.end(*choice, response_status::whole);
    }
    it.clock.advance(std::chrono::seconds{6});
    int late = 0;
    for (int n = 0; n < 200; ++n) {
        const auto choice = it.choose();
        late += is_bad(*choice) ? 1 : 0;
        it.end(*choice, response_status::whole);
    }
    CHECK(early > 0);
    CHECK(early < late / 2);
}

TEST_CASE("A slow upstream gets few requests, but is probed again", "[request]")
{
    fixture it{.table = share(table_of(6, 1))};
    const auto count_slow = [&it](duration slow) {
        int n = 0;
        for (int i = 0; i < 2000; ++i) {
            const auto choice = it.choose();
            const bool is_slow = choice->vm == vm_id{"vm0"};
            n += is_slow ? 1 : 0;
            const duration fast{std::chrono::milliseconds{10}};
            it.selector.release(*choice, {.elapsed = is_slow ? slow : fast},
                                it.clock.now());
            it.clock.advance(std::chrono::milliseconds{5});
        }
        return n;
    };
    const int while_slow = count_slow(std::chrono::milliseconds{100});
    CHECK(while_slow > 0);
    CHECK(while_slow < 20);
    CHECK(count_slow(std::chrono::milliseconds{10}) > 300);
}

TEST_CASE("A read goes to the upstream that has the write", "[request]")
{
    fixture it{.table = share(table_of(6, 1))};
    const auto written = it.choose();
    it.selector.release(*written, {.write_offset = 7}, it.clock.now());
    for (int n = 0; n < 8; ++n) {
        const auto choice = it.choose({.read_offset = 7});
        CHECK(choice->vm == written->vm);
        CHECK(choice->known_offset == 7);
    }
    // Another entry VM does not know the write offset, but the caller names the
    // upstream.
    upstream_selector other{{}};
    const auto choice = other.choose(
        it.table,
        {.service = plugs, .read_offset = 7, .preferred = written->vm},
        it.clock.now(), it.why);
    CHECK(choice->vm == written->vm);
}

TEST_CASE("Retries stay below a tenth of the requests", "[request]")
{
    upstream_selector selector{{}};
    int retries = 0;
    for (int n = 0; n < 10000; ++n) {
        selector.record_request(plugs);
        retries += selector.take_retry(plugs) ? 1 : 0;
        retries += selector.take_retry(plugs) ? 1 : 0;
    }
    CHECK(retries <= 1010);
    CHECK(retries >= 990);
}

TEST_CASE("Only safe retries are allowed", "[request]")
{
    const retry_context safe{.idempotent = true,
                             .status = response_status::cut_off,
                             .remaining = std::chrono::seconds{1}};
    CHECK(may_retry(safe));
    auto it = safe;
    it.idempotent = false;
    CHECK_FALSE(may_retry(it));
    it.status = response_status::refused;
    CHECK(may_retry(it));
    it.status = response_status::failed;
    CHECK_FALSE(may_retry(it));
    it = safe;
    it.retried_by_caller = true;
    CHECK_FALSE(may_retry(it));
    it = safe;
    it.remaining = duration{};
    CHECK_FALSE(may_retry(it));
    it = safe;
    it.attempts = it.max_attempts;
    CHECK_FALSE(may_retry(it));
    CHECK_FALSE(is_idempotent("POST"));
    CHECK_FALSE(is_idempotent("PATCH"));
}

TEST_CASE("Only a response with the id of the request is accepted", "[request]")
{
    http::client_response result{.transport = http::transport_result::complete};
    const response_requirements requirements{.request_id = "a-1",
                                             .read_offset = 5};
    CHECK(check_response(result, requirements) == response_status::crossed);
    result.answer.headers = {{"x-request-id", "a-2"}};
    CHECK(check_response(result, requirements) == response_status::crossed);
    result.answer.headers = {{"x-request-id", "a-1"}};
    CHECK(check_response(result, requirements) == response_status::stale);
    result.answer.headers.push_back({"X-Write-Offset", "5"});
    CHECK(check_response(result, requirements) == response_status::whole);
    result.answer.status = 503;
    CHECK(check_response(result, requirements) == response_status::failed);
    result.answer.headers.push_back({"X-Not-Run", "1"});
    CHECK(check_response(result, requirements) == response_status::refused);
    result.transport = http::transport_result::cut_off;
    CHECK(check_response(result, requirements) == response_status::cut_off);
}

} // namespace rosemarytrail::request
