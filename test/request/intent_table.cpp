#include <catch2/catch.hpp>

#include <rosemarytrail/request/intent_table.hpp>

#include <string>

namespace rosemarytrail::request {

namespace {

const intent_name name{
    .team = team_id{"t"}, .service = service_id{"s"}, .key = "k"};

state::batch open_batch(const std::string& writer, std::uint64_t sequence,
                        const std::string& key = "k")
{
    return {.writer = incarnation_id{writer},
            .sequence = sequence,
            .records = {state::intent_opened{
                .team = name.team, .service = name.service, .key = key}}};
}

state::batch close_batch(const std::string& writer, std::uint64_t sequence,
                         bool ran)
{
    return {.writer = incarnation_id{writer},
            .sequence = sequence,
            .records = {state::intent_closed{.team = name.team,
                                             .service = name.service,
                                             .key = name.key,
                                             .ran = ran,
                                             .status = 200,
                                             .body = "answer"}}};
}

} // namespace

TEST_CASE("A duplicate batch that arrives late opens nothing", "[request]")
{
    intent_table table{{}};
    CHECK(table.apply(0, open_batch("a", 1)).opened.at(0).won);
    table.apply(1, close_batch("a", 2, false));
    CHECK(table.find(name) == nullptr);
    CHECK(table.apply(2, open_batch("a", 1)).repeated);
    CHECK(table.find(name) == nullptr);
}

TEST_CASE("Only the writer of an intent can close it, and only once",
          "[request]")
{
    intent_table table{{}};
    table.apply(0, open_batch("a", 1));
    CHECK_FALSE(table.apply(1, open_batch("b", 1)).opened.at(0).won);
    table.apply(2, close_batch("b", 2, false));
    REQUIRE(table.find(name) != nullptr);
    CHECK(table.find(name)->phase == intent_phase::open);
    table.apply(3, close_batch("a", 2, true));
    CHECK(table.find(name)->phase == intent_phase::answered);
    table.apply(4, close_batch("a", 3, false));
    REQUIRE(table.find(name) != nullptr);
    CHECK(table.find(name)->answer.body == "answer");
}

TEST_CASE("Keys and bodies are bounded and evicted oldest first", "[request]")
{
    intent_table table{{.max_keys = 3, .max_body_bytes = 5}};
    table.apply(0, open_batch("a", 1));
    table.apply(1, close_batch("a", 2, true));
    // The body of six bytes exceeds the limit, but the fact that it ran is
    // kept.
    REQUIRE(table.find(name) != nullptr);
    CHECK(table.find(name)->phase == intent_phase::ran);
    for (std::uint64_t n = 0; n < 3; ++n) {
        table.apply(2 + n, open_batch("a", 3 + n, "k" + std::to_string(n)));
    }
    CHECK(table.find(name) == nullptr);
    CHECK(table.size() == 3);
}

} // namespace rosemarytrail::request
