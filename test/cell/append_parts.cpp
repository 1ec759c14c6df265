#include <rosemarytrail/cell/append_parts.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace rosemarytrail::cell {

namespace {

[[nodiscard]] std::vector<fleet::ledger_entry> entries_of(std::size_t n,
                                                          std::size_t bytes)
{
    std::vector<fleet::ledger_entry> result;
    for (std::size_t i = 0; i < n; ++i) {
        result.push_back(
            {.key = std::to_string(i), .value = std::string(bytes, 'v')});
    }
    return result;
}

/** @brief Store that never accepts an append which includes some keys. */
struct picky_store
{
    std::set<std::string> never_accepted;
    std::vector<std::string> appended;
    std::size_t calls{};

    void append_all(append_parts& parts)
    {
        constexpr std::size_t max_calls = 1000;
        do {
            REQUIRE(++calls < max_calls);
            const auto part = parts.part();
            if (std::ranges::any_of(part, [this](const auto& it) {
                    return never_accepted.contains(it.key);
                })) {
                REQUIRE(parts.on_rejected() == after_rejection::append);
                continue;
            }
            for (const auto& it : part) {
                appended.push_back(it.key);
            }
            parts.on_appended();
        } while (!parts.complete());
    }
};

} // namespace

// Guards against a batch that grows with the removed entries of a job until the
// store refuses it.
TEST_CASE("A large batch is split into appends within the limit",
          "[append_parts]")
{
    constexpr std::size_t limit = 10000;
    append_parts parts{{.record_bytes = limit, .append_bytes = limit}};
    parts.assign(entries_of(1000, 90));
    std::size_t n = 0;
    while (!parts.complete()) {
        std::size_t bytes = 0;
        for (const auto& it : parts.part()) {
            bytes += record_size(it);
        }
        REQUIRE(!parts.part().empty());
        CHECK(bytes <= limit);
        n += parts.part().size();
        parts.on_appended();
    }
    CHECK(n == 1000);
    CHECK(parts.take_dropped().empty());
}

// Guards against a record that is repeated for ever and stops all others.
TEST_CASE("An entry that the store never accepts does not stop the others",
          "[append_parts]")
{
    append_parts parts{{}};
    picky_store store{.never_accepted = {"0", "17", "18", "99"}};
    parts.assign(entries_of(100, 10));
    store.append_all(parts);
    CHECK(store.appended.size() == 96);
    CHECK(std::ranges::is_sorted(store.appended, {},
                                 [](const auto& it) { return std::stoi(it); }));
    std::set<std::string> dropped;
    for (const auto& it : parts.take_dropped()) {
        dropped.insert(it.key);
    }
    CHECK(dropped == store.never_accepted);
}

// Guards against an append of a record that is known to be too large.
TEST_CASE("An entry beyond the size of a record is dropped", "[append_parts]")
{
    append_parts parts{{.record_bytes = 100, .append_bytes = 1000}};
    auto entries = entries_of(3, 10);
    entries[1].value = std::string(200, 'v');
    parts.assign(std::move(entries));
    CHECK(parts.part().size() == 1);
    parts.on_appended();
    CHECK(parts.part().size() == 1);
    CHECK(parts.take_dropped().size() == 1);
    parts.on_appended();
    CHECK(parts.complete());
}

// Guards against the loss of entries while the store rejects every call.
TEST_CASE("No entry is dropped if the store rejects an append without entries",
          "[append_parts]")
{
    append_parts parts{{}};
    parts.assign(entries_of(2, 10));
    std::size_t rejections = 0;
    while (parts.on_rejected() == after_rejection::append) {
        REQUIRE(++rejections < 10);
    }
    CHECK(parts.take_dropped().empty());
    CHECK(!parts.part().empty());
    while (!parts.complete()) {
        parts.on_appended();
    }
    CHECK(parts.take_dropped().empty());
}

} // namespace rosemarytrail::cell
