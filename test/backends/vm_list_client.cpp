#include <catch2/catch.hpp>

#include <rosemarytrail/backends/http_vm_list_client.hpp>
#include <rosemarytrail/backends/vm_wire.hpp>

#include <test/lib/fixed_server.hpp>

#include <future>

using namespace rosemarytrail;           // NOLINT
using namespace rosemarytrail::backends; // NOLINT
using rosemarytrail::test::fixed_server;

TEST_CASE("A VM list is complete or counts as not answered", "[platform]")
{
    fixed_server server;
    auto& answer = server.answer;
    const auto client = http::make_curl_client({});
    const auto list = make_http_vm_list_client(*client, server.base());
    const auto fetch = [&] {
        server.publish();
        std::promise<vm_list_outcome> done;
        list->fetch([&](vm_list_outcome it) { done.set_value(std::move(it)); });
        return done.get_future().get();
    };
    std::vector<vm_entry> vms(2);
    vms[0].vm = vm_id{"a"};
    vms[0].capacity = {64000, 131072, 0};
    vms[1].vm = vm_id{"b"};
    vms[1].worker_address = "127.0.0.1:1/vm-1";
    vms[1].leaving = true;
    answer.body = encode_vm_list(vms);
    const auto whole = fetch();
    REQUIRE(whole.answered);
    REQUIRE(whole.vms.size() == 2);
    CHECK(encode_vm(whole.vms[0]) == encode_vm(vms[0]));
    CHECK(encode_vm(whole.vms[1]) == encode_vm(vms[1]));

    answer.body = R"({"vms":[]})";
    CHECK(fetch().answered);
    for (const std::string body : {"", "{}", R"({"vms":[{"vm":"a"},{"vm":7}]})",
                                   R"({"vms":[{"vm":"a","memory_mib":-1}]})"}) {
        INFO(body);
        answer.body = body;
        CHECK_FALSE(fetch().answered);
    }
    answer = {.status = 503, .body = encode_vm_list(vms)};
    CHECK_FALSE(fetch().answered);
}

TEST_CASE("An unchanged VM list is returned from the cache", "[platform]")
{
    fixed_server server;
    const auto client = http::make_curl_client({});
    const auto list = make_http_vm_list_client(*client, server.base());
    const auto fetch = [&] {
        server.publish();
        std::promise<vm_list_outcome> done;
        list->fetch([&](vm_list_outcome it) { done.set_value(std::move(it)); });
        return done.get_future().get();
    };
    std::vector<vm_entry> vms(1);
    vms[0].vm = vm_id{"a"};
    const auto whole = encode_vm_list(vms);

    server.answer = {.status = 304};
    CHECK_FALSE(fetch().answered);
    server.answer = {.headers = {{"ETag", "\"1\""}}, .body = whole};
    REQUIRE(fetch().vms.size() == 1);
    server.answer = {.status = 304};
    auto again = fetch();
    REQUIRE(again.answered);
    REQUIRE(again.vms.size() == 1);
    CHECK(again.vms[0].vm == vms[0].vm);

    server.answer = {.status = 503};
    CHECK_FALSE(fetch().answered);
    server.answer = {.headers = {{"ETag", "\"2\""}}, .body = R"({"vms":[]})"};
    CHECK(fetch().vms.empty());
    server.answer = {.status = 304};
    again = fetch();
    CHECK(again.answered);
    CHECK(again.vms.empty());
}
