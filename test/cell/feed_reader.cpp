#include <rosemarytrail/cell/feed_reader.hpp>

#include <test/lib/model_cell.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rosemarytrail::cell {

namespace {

using namespace std::chrono_literals;

/** @brief Store whose pages of newest records are scripted by the key after
 * which they start; it does not respond to other calls. */
struct paged_store final : store
{
    void append(append_request /*request*/,
                std::function<void(append_answer)> /*done*/) override
    {}
    void read(const read_request& request,
              std::function<void(feed_page)> /*done*/) override
    {
        read_from = request.from;
    }
    void newest(feed /*which*/, std::string_view after,
                std::function<void(newest_page)> done) override
    {
        calls.emplace_back(after);
        if (calls.size() < max_calls) {
            loop.post([page = pages.at(std::string{after}),
                       done = std::move(done)] { done(page); });
        }
    }
    void join(node_group /*group*/, std::string_view /*member*/,
              std::uint64_t /*generation*/, duration /*lifetime*/,
              std::function<void(membership)> /*done*/) override
    {}
    void members(std::function<void(std::optional<std::vector<std::string>>)>
                 /*done*/) override
    {}
    void leave(node_group /*group*/, std::string_view /*member*/,
               std::function<void(store_result)> /*done*/) override
    {}

    /** @brief An endless loop ends here. */
    static constexpr std::size_t max_calls = 1000;
    test::stepped_loop loop;
    std::map<std::string, newest_page> pages;
    std::vector<std::string> calls;
    std::optional<std::int64_t> read_from;
};

struct recording_listener final : feed_listener
{
    void on_reset() override { ++resets; }
    void on_record(const feed_record& record) override
    {
        keys.push_back(record.key);
    }
    void on_caught_up() override {}
    void on_read_failed(store_result /*result*/, std::size_t n) override
    {
        failures = n;
    }
    void on_read_regained(duration /*outage*/) override {}

    std::vector<std::string> keys;
    std::size_t resets{};
    std::size_t failures{};
};

[[nodiscard]] newest_page page(std::vector<std::string> keys, bool more,
                               std::int64_t end)
{
    newest_page result{.result = store_result::done,
                       .records = {},
                       .end_offset = end,
                       .more = more};
    for (auto& it : keys) {
        result.records.push_back({.key = std::move(it), .value = "v"});
    }
    return result;
}

} // namespace

TEST_CASE("The newest records of all pages are read in order", "[feed_reader]")
{
    paged_store store;
    recording_listener target;
    store.pages = {{"", page({"a", "b"}, true, 5)},
                   {"b", page({"c"}, false, 8)}};
    feed_reader reader{{}, store.loop, store, target};
    reader.start();
    REQUIRE(
        store.loop.run_until([&] { return store.read_from.has_value(); }, 2s));
    CHECK(target.keys == std::vector<std::string>{"a", "b", "c"});
    CHECK(store.read_from == 5);
}

TEST_CASE("A page after which reading cannot continue is a failed read",
          "[feed_reader]")
{
    paged_store store;
    recording_listener target;
    const auto odd = GENERATE(
        values<std::vector<std::string>>({{}, {""}, {"b"}, {"c", "a", "b"}}));
    store.pages = {{"", page({"a", "b"}, true, 5)}, {"b", page(odd, true, 8)}};
    feed_reader reader{{}, store.loop, store, target};
    reader.start();
    store.loop.run_until([&] { return store.read_from.has_value(); }, 300ms);
    // A part of the records is not taken for the whole.
    CHECK(target.resets == 0);
    CHECK_FALSE(store.read_from);
    CHECK(target.failures > 0);
    CHECK(store.calls.size() < 100);
    store.pages["b"] = page({"c"}, false, 8);
    CHECK(
        store.loop.run_until([&] { return store.read_from.has_value(); }, 10s));
    CHECK(target.keys == std::vector<std::string>{"a", "b", "c"});
    CHECK(store.read_from == 5);
}

} // namespace rosemarytrail::cell
