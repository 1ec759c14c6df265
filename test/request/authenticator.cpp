#include <catch2/catch.hpp>

#include <rosemarytrail/documents/key_secret.hpp>
#include <rosemarytrail/request/authenticator.hpp>

#include <string>

namespace rosemarytrail::request {

TEST_CASE("Only a valid key on an up-to-date entry VM is accepted", "[request]")
{
    const time_point now{std::chrono::seconds{100}};
    const auto salt = documents::make_salt();
    request::routing_table table{.fresh_until = now + duration{1},
                                 .catching_up = false};
    table.keys[key_id{"k"}] = {.key = key_id{"k"},
                               .team = team_id{"t"},
                               .account = "a",
                               .salt = salt,
                               .hash = documents::hash_secret(salt, "s")};
    reason why;
    const auto result_of = [&](std::optional<std::string_view> text) {
        why = {};
        const auto* key = authenticate(table, text, now, why);
        return key != nullptr ? result_code::ok : why.code;
    };
    CHECK(result_of("Bearer k.s") == result_code::ok);
    CHECK(result_of(std::nullopt) == result_code::key_missing);
    CHECK(result_of("Basic k.s") == result_code::key_missing);
    CHECK(result_of("Bearer k") == result_code::key_unknown);
    CHECK(result_of("Bearer k.") == result_code::key_unknown);
    CHECK(result_of("Bearer k.t") == result_code::key_unknown);
    CHECK(result_of("Bearer l.s") == result_code::key_unknown);
    table.keys[key_id{"k"}].withdrawn = true;
    CHECK(result_of("Bearer k.s") == result_code::key_withdrawn);
    // A caller with a wrong secret must not learn that the key was withdrawn.
    CHECK(result_of("Bearer k.t") == result_code::key_unknown);
    table.fresh_until = now;
    CHECK(result_of("Bearer k.s") == result_code::not_fresh);
    table.catching_up = true;
    CHECK(result_of("Bearer k.s") == result_code::catching_up);
    table.draining = true;
    CHECK(result_of("Bearer k.s") == result_code::draining);
}

} // namespace rosemarytrail::request
