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
    void fetch(http::client_request /*outgoing*/, callback done) override
    {
        done({.transport = http::transport_result::complete, .answer = answer});
    }

    http::response answer{.status = 200};
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

} // namespace rosemarytrail::platform
