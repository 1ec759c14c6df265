#include <catch2/catch.hpp>

#include <rosemarytrail/backends/http_log_client.hpp>
#include <rosemarytrail/backends/log_wire.hpp>

#include <test/lib/fixed_server.hpp>

#include <future>

using namespace rosemarytrail;           // NOLINT
using namespace rosemarytrail::backends; // NOLINT
using rosemarytrail::test::fixed_server;

namespace {

/** @brief Log client and a server with one fixed response. */
struct fixture
{
    fixed_server server;
    std::unique_ptr<http::client> client{http::make_curl_client({})};
    std::unique_ptr<log_client> log{
        make_http_log_client(*client, server.base())};

    [[nodiscard]] append_outcome append()
    {
        server.publish();
        std::promise<append_outcome> done;
        log->append("cell", "x",
                    [&](append_outcome it) { done.set_value(it); });
        return done.get_future().get();
    }

    [[nodiscard]] read_outcome read(std::uint64_t from)
    {
        server.publish();
        std::promise<read_outcome> done;
        log->read({.stream = "cell", .from = from},
                  [&](read_outcome it) { done.set_value(std::move(it)); });
        return done.get_future().get();
    }
};

[[nodiscard]] std::vector<http::header> offsets(const std::string& first,
                                                const std::string& next)
{
    return {{"X-First-Offset", first}, {"X-Next-Offset", next}};
}

} // namespace

TEST_CASE("An append is confirmed, rejected or unknown", "[platform]")
{
    fixture it;
    it.server.answer = {.body = R"({"offset":7})"};
    const auto known = it.append();
    CHECK(known.result == append_result::appended);
    CHECK(known.offset == 7);

    it.server.answer = {.status = 429, .headers = {{"Retry-After-Ms", "250"}}};
    const auto over_cap = it.append();
    CHECK(over_cap.result == append_result::refused);
    CHECK(over_cap.retry_after == std::chrono::milliseconds{250});
    it.server.answer = {.status = 503};
    CHECK(it.append().result == append_result::refused);

    for (const std::string body :
         {"", "{}", "[]", R"({"offset":-1})", R"({"offset":"7"})",
          R"({"offset":1e30})", R"({"offset":7)", "\xff"}) {
        INFO(body);
        it.server.answer = {.body = body};
        CHECK(it.append().result == append_result::unknown);
    }
    it.server.answer = {.status = 500};
    CHECK(it.append().result == append_result::unknown);
    it.server.lose = true;
    CHECK(it.append().result == append_result::unknown);
    it.server.lose = false;
    it.server.stop();
    CHECK(it.append().result == append_result::refused);
}

TEST_CASE("A read returns consecutive entries", "[platform]")
{
    fixture it;
    const std::vector<log_entry> entries{
        {5, "a"}, {6, ""}, {7, {'\n', '\0', 'c'}}};
    const auto frames = encode_log_entries(entries);
    it.server.answer = {.headers = offsets("2", "8"), .body = frames};
    const auto whole = it.read(5);
    REQUIRE(whole.result == read_result::read);
    REQUIRE(whole.entries.size() == 3);
    CHECK(whole.entries[2].payload == entries[2].payload);
    CHECK(whole.first_offset == 2);
    CHECK(whole.next_offset == 8);
    CHECK(it.read(4).result == read_result::failed);

    it.server.answer.body.pop_back();
    CHECK(it.read(5).result == read_result::failed);
    it.server.answer = {.headers = offsets("2", "7"), .body = frames};
    CHECK(it.read(5).result == read_result::failed);
    it.server.answer = {.headers = offsets("2", "x")};
    CHECK(it.read(5).result == read_result::failed);
    it.server.answer = {.body = frames};
    CHECK(it.read(5).result == read_result::failed);
}

TEST_CASE("A read of a trimmed offset is reported as trimmed", "[platform]")
{
    fixture it;
    it.server.answer = {.status = 410, .headers = offsets("20", "30")};
    const auto result = it.read(5);
    CHECK(result.result == read_result::trimmed);
    CHECK(result.first_offset == 20);
    it.server.answer = {.status = 410};
    CHECK(it.read(5).result == read_result::failed);
}

TEST_CASE("Frames that are truncated or have a wrong length are rejected",
          "[platform]")
{
    const std::vector<log_entry> entries{{0, "payload"}, {1, "more"}};
    const auto frames = encode_log_entries(entries);
    for (std::size_t n = 1; n < frames.size(); ++n) {
        const auto part = decode_log_entries(frames.substr(0, n), 0);
        const bool at_boundary = n == 8 + 4 + entries[0].payload.size();
        CHECK(part.has_value() == at_boundary);
    }
    auto lying = frames;
    lying[8 + 3] = '\x7f';
    CHECK_FALSE(decode_log_entries(lying, 0));
}
