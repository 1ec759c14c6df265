#include <rosemarytrail/cell/outbox.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>

namespace rosemarytrail::cell {

namespace {

using namespace std::chrono_literals;

/** @brief Store whose appends complete when the test says so. */
class manual_store final : public store
{
public:
    std::deque<std::pair<append_request, std::function<void(append_answer)>>>
        appends;

    void answer(store_result it)
    {
        auto [request, done] = std::move(appends.front());
        appends.pop_front();
        done({.result = it, .expected_sequence = std::nullopt});
    }

    void append(append_request request,
                std::function<void(append_answer)> done) override
    {
        appends.emplace_back(std::move(request), std::move(done));
    }
    void read(const read_request& /*request*/,
              std::function<void(feed_page)> /*done*/) override
    {}
    void newest(feed, std::string_view,
                std::function<void(newest_page)>) override
    {}
    void join(node_group, std::string_view, std::uint64_t, duration,
              std::function<void(membership)>) override
    {}
    void members(
        std::function<void(std::optional<std::vector<std::string>>)>) override
    {}
    void leave(node_group, std::string_view,
               std::function<void(store_result)>) override
    {}
};

struct fixture
{
    manual_store shared;
    outbox entries{{},
                   [this](append_request request,
                          std::function<void(append_answer)> done) {
                       shared.append(std::move(request), std::move(done));
                   }};
    std::map<std::string, entry_result> results;
    time_point start{boot_clock::now()};

    void add(const std::string& key, duration time)
    {
        entries.add(
            {.key = key, .value = "v"}, start + time,
            [this, key](entry_result it) { results.emplace(key, it); }, start);
    }
};

} // namespace

TEST_CASE("Queued entries are sent in one append", "[outbox]")
{
    fixture it;
    for (const auto* key : {"a", "b", "c", "d"}) {
        it.add(key, 1h);
    }
    REQUIRE(it.shared.appends.size() == 2);
    it.shared.answer(store_result::done);
    REQUIRE(it.shared.appends.size() == 2);
    CHECK(it.shared.appends.back().first.entries.size() == 2);
    it.shared.answer(store_result::done);
    it.shared.answer(store_result::done);
    CHECK(it.results.size() == 4);
}

// Guards against an append that grows with the number of queued entries.
TEST_CASE("Queued entries beyond the size of an append wait for the next one",
          "[outbox]")
{
    fixture it;
    it.add("a", 1h);
    it.add("b", 1h);
    for (const auto* key : {"c", "d", "e"}) {
        it.entries.add(
            {.key = key,
             .value = std::string(append_limits{}.append_bytes / 2, 'v')},
            it.start + 1h, [](entry_result) {}, it.start);
    }
    it.shared.answer(store_result::done);
    CHECK(it.shared.appends.back().first.entries.size() == 1);
}

// Guards against an entry that the store never accepts and that is repeated
// together with all others.
TEST_CASE("Entries of a rejected append are sent one by one", "[outbox]")
{
    fixture it;
    for (const auto* key : {"x", "y", "a", "bad", "c"}) {
        it.add(key, 1h);
    }
    REQUIRE(it.shared.appends.size() == 2);
    std::size_t calls = 0;
    while (!it.shared.appends.empty()) {
        REQUIRE(++calls < 20);
        const auto& entries = it.shared.appends.front().first.entries;
        const bool bad = std::ranges::any_of(
            entries, [](const auto& entry) { return entry.key == "bad"; });
        it.shared.answer(bad ? store_result::rejected : store_result::done);
    }
    CHECK(it.results.size() == 5);
    for (const auto& [key, result] : it.results) {
        CHECK(result ==
              (key == "bad" ? entry_result::rejected : entry_result::recorded));
    }
}

TEST_CASE("An entry without a response is never reported as refused",
          "[outbox]")
{
    fixture it;
    it.add("a", 1h);
    it.shared.answer(store_result::unknown);
    REQUIRE(it.shared.appends.size() == 1);
    it.shared.answer(store_result::refused);
    CHECK(it.results.empty());
    it.entries.run(it.start + 2h);
    CHECK(it.results.at("a") == entry_result::unknown);
}

TEST_CASE("An entry in flight at its deadline may be recorded", "[outbox]")
{
    fixture it;
    it.add("a", 1s);
    it.entries.run(it.start + 2s);
    CHECK(it.results.at("a") == entry_result::unknown);
    it.shared.answer(store_result::done);
    CHECK(it.results.size() == 1);
}

TEST_CASE("A result that is known soon after the deadline is reported",
          "[outbox]")
{
    fixture it;
    it.add("a", 1s);
    it.entries.run(it.start + 1100ms);
    CHECK(it.results.empty());
    SECTION("recorded")
    {
        it.shared.answer(store_result::done);
        CHECK(it.results.at("a") == entry_result::recorded);
    }
    SECTION("refused by the store, and not sent again")
    {
        it.shared.answer(store_result::refused);
        it.entries.run(it.start + 1110ms);
        CHECK(it.results.at("a") == entry_result::refused);
        CHECK(it.shared.appends.empty());
    }
}

TEST_CASE("An entry is not sent if its result would be known too late",
          "[outbox]")
{
    fixture it;
    it.entries.observe_append(true, 400ms);
    it.add("a", 200ms);
    CHECK(it.shared.appends.empty());
    it.entries.run(it.start + 200ms);
    CHECK(it.results.at("a") == entry_result::refused);
    it.add("b", 300ms);
    CHECK(it.shared.appends.size() == 1);
}

TEST_CASE("While the store is silent, entries that were never sent wait",
          "[outbox]")
{
    fixture it;
    it.add("a", 1h);
    it.shared.answer(store_result::unknown);
    it.shared.answer(store_result::unknown);
    it.add("b", 1s);
    it.add("c", 1h);
    it.entries.run(it.start + 500ms);
    REQUIRE(it.shared.appends.size() == 1);
    CHECK(it.shared.appends.front().first.entries.front().key == "a");
    it.entries.run(it.start + 1s);
    CHECK(it.results.at("b") == entry_result::refused);
    it.shared.answer(store_result::done);
    CHECK(it.results.at("a") == entry_result::recorded);
    REQUIRE(it.shared.appends.size() == 1);
    it.shared.answer(store_result::done);
    CHECK(it.results.at("c") == entry_result::recorded);
}

TEST_CASE("Of the entries that were never sent, one finds out whether a silent "
          "store responds",
          "[outbox]")
{
    fixture it;
    it.add("a", 1s);
    it.shared.answer(store_result::unknown);
    it.shared.answer(store_result::unknown);
    it.entries.run(it.start + 1200ms);
    REQUIRE(it.results.at("a") == entry_result::unknown);
    it.shared.answer(store_result::unknown);
    it.add("b", 1h);
    it.add("c", 1h);
    it.entries.run(it.start + 1200ms);
    REQUIRE(it.shared.appends.size() == 1);
    CHECK(it.shared.appends.front().first.entries.size() == 1);
}

TEST_CASE("An entry that was never sent is refused at its deadline", "[outbox]")
{
    fixture it;
    it.add("a", 1h);
    it.add("b", 1h);
    it.add("c", 1s);
    it.entries.run(it.start + 2s);
    CHECK(it.results.at("c") == entry_result::refused);
}

TEST_CASE("An entry read back from the ledger is recorded", "[outbox]")
{
    fixture it;
    it.add("a", 1h);
    it.entries.confirm("a");
    CHECK(it.results.at("a") == entry_result::recorded);
}

TEST_CASE("The append timeout adapts to the response times of the store",
          "[outbox]")
{
    fixture it;
    const auto first = it.entries.timeout();
    it.entries.observe_append(false, {});
    CHECK(it.entries.timeout() == 2 * first);
    it.entries.observe_append(true, 300ms);
    CHECK(it.entries.timeout() == 1200ms);
    it.entries.observe_append(true, 5ms);
    CHECK(it.entries.timeout() == first);
}

} // namespace rosemarytrail::cell
