#include <platform/store_client.hpp>

#include <rosemarytrail/http/client.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <string>

namespace rosemarytrail::platform {

namespace {

/** @brief HTTP client that gets the same response to each request. */
struct scripted_http final : http::client
{
    void fetch(http::client_request outgoing, callback done) override
    {
        url = std::move(outgoing.url);
        done({.transport = http::transport_result::complete, .answer = answer});
    }

    http::response answer{.status = 200};
    /** @brief URL of the last request. */
    std::string url;
};

/** @return Membership that a join with this response returns. */
[[nodiscard]] cell::membership join(std::string body)
{
    scripted_http http;
    http.answer.body = std::move(body);
    store_client client{http, "s:1", 4, 0};
    std::optional<cell::membership> result;
    client.join(cell::node_group::members, "n", 0, std::chrono::seconds{1},
                [&](const cell::membership& it) { result = it; });
    REQUIRE(result);
    return *result;
}

/** @return Page of newest records that a response holds. */
[[nodiscard]] cell::newest_page newest(std::string body)
{
    scripted_http http;
    http.answer.body = std::move(body);
    store_client client{http, "s:1", 4, 0};
    std::optional<cell::newest_page> result;
    client.newest(cell::feed::workers, "",
                  [&](cell::newest_page it) { result = std::move(it); });
    REQUIRE(result);
    return std::move(*result);
}

} // namespace

TEST_CASE("A node that joins without a partition is not listed", "[platform]")
{
    const auto without = join(R"({"generation": 7, "parts": []})");
    CHECK(without.result == cell::store_result::done);
    CHECK(without.generation == 7);
    CHECK_FALSE(without.listed);
    const auto with = join(R"({"generation": 7, "parts": [["t", 3]]})");
    CHECK(with.listed);
    CHECK_FALSE(with.elected);
    CHECK(join("{").result == cell::store_result::unknown);
}

TEST_CASE("An item of a page that cannot be read leaves the others in force",
          "[platform]")
{
    const auto odd = GENERATE(values<std::string>(
        {R"({"value":"dg=="})", R"({"key":7,"value":"dg=="})", "7", "null",
         "[]", R"("text")", "[[[[]]]]"}));
    const auto page = newest(R"({"items":[{"key":"a","value":"dg=="},)" + odd +
                             R"(,{"key":"c","value":"dw=="}],)"
                             R"("endOffset":9,"hasMore":true})");
    INFO(odd);
    CHECK(page.result == cell::store_result::done);
    CHECK(page.end_offset == 9);
    CHECK(page.more);
    REQUIRE(page.records.size() == 2);
    CHECK(page.records[0].key == "a");
    CHECK(page.records[0].value == "v");
    CHECK(page.records[1].key == "c");
    CHECK(page.records[1].value == "w");
}

TEST_CASE("An item whose value cannot be read keeps its key", "[platform]")
{
    const auto odd = GENERATE(values<std::string>(
        {R"({"key":"b"})", R"({"key":"b","value":7})",
         R"({"key":"b","value":null})", R"({"key":"b","value":"?"})"}));
    const auto page = newest(R"({"items":[{"key":"a","value":"dg=="},)" + odd +
                             R"(],"endOffset":9,"hasMore":true})");
    INFO(odd);
    CHECK(page.result == cell::store_result::done);
    REQUIRE(page.records.size() == 2);
    CHECK(page.records[0].value == "v");
    // An unreadable value is not the removal of the key.
    CHECK(page.records[1].key == "b");
    CHECK(page.records[1].value == "");
}

TEST_CASE("A page that cannot be read as a whole is unknown", "[platform]")
{
    const auto body = GENERATE(values<std::string>(
        {"{", "[]", R"({"items":7,"endOffset":9,"hasMore":false})",
         R"({"items":[],"endOffset":"9","hasMore":false})",
         R"({"items":[],"endOffset":1e300,"hasMore":false})",
         R"({"items":[],"endOffset":-1,"hasMore":false})",
         R"({"items":[],"endOffset":9})"}));
    INFO(body);
    CHECK(newest(body).result == cell::store_result::unknown);
}

TEST_CASE("A key of any bytes continues the newest records", "[platform]")
{
    scripted_http http;
    store_client client{http, "s:1", 4, 0};
    client.newest(cell::feed::workers, "i-1/x_.~:", [](const auto&) {});
    CHECK(http.url.ends_with("&dependsOn=i-1/x_.~:"));
    client.newest(cell::feed::workers, "a b&c=\r\n%\xff+#", [](const auto&) {});
    CHECK(http.url.ends_with("&dependsOn=a%20b%26c%3D%0D%0A%25%FF%2B%23"));
}

} // namespace rosemarytrail::platform
