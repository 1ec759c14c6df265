#include <catch2/catch.hpp>

#include <rosemarytrail/http/message.hpp>

using namespace rosemarytrail::http; // NOLINT

TEST_CASE("Header names are case-insensitive", "[http]")
{
    const std::vector<header> headers{{"X-Request-Id", "7"}, {"A", ""}};
    CHECK(find_header(headers, "x-request-id") == "7");
    CHECK(find_header(headers, "a") == "");
    CHECK_FALSE(find_header(headers, "X-Request"));
}

TEST_CASE("Query parameters match by their full name", "[http]")
{
    CHECK(find_parameter("from=3&wait_ms=100", "wait_ms") == "100");
    CHECK(find_parameter("from=3&x", "x") == "");
    CHECK_FALSE(find_parameter("xfrom=3", "from"));
    CHECK_FALSE(find_parameter("", "from"));
}
