#include <catch2/catch.hpp>

#include <rosemarytrail/state/internal/codec.hpp>
#include <rosemarytrail/state/record.hpp>

#include <test/state/history.hpp>

#include <cstring>
#include <random>

namespace {

using namespace rosemarytrail;        // NOLINT(google-build-using-namespace)
using namespace rosemarytrail::state; // NOLINT(google-build-using-namespace)

const resources amount{.millicores = 1500, .memory_mib = 7, .accelerators = 2};

batch one_of_each()
{
    return {.writer = incarnation_id{"d1"},
            .sequence = 7,
            .records = {
                member_joined{incarnation_id{"d1"}, "127.0.0.1:1",
                              "127.0.0.1:2", "south", zone_id{"z"}, 16},
                member_left{incarnation_id{"d2"}},
                document_published{"team/a", 9, "{\"a\":\"\xc3\xb8\"}"},
                partition_claimed{3, 4}, vm_assigned{vm_id{"v1"}, 2, amount},
                vm_handed_over{vm_id{"v1"}, 1, 2, 3},
                allowance_handed_over{team_id{"a"}, 1, 2, 3, amount},
                job_accepted{job_id{"j"}, team_id{"a"}, 5, "{}", "s"},
                job_handed_over{job_id{"j"}, 1, 2, 3},
                job_cancelled{job_id{"j"}},
                tasks_finished{
                    1, 2, {{{job_id{"j"}, 4}, 3, result_code::task_failed}}},
                job_rejected{job_id{"j"}, 1, 2, result_code::never_fits},
                vm_declared_lost{vm_id{"v1"}},
                intent_opened{team_id{"a"}, service_id{"s"}, "k", 99},
                intent_closed{team_id{"a"}, service_id{"s"}, "k", true, false,
                              201, "text/plain", std::string{"a\0b", 3}},
                partition_settled{1, 2}}};
}

TEST_CASE("a batch is unchanged by encoding and decoding")
{
    const batch value = one_of_each();
    std::uint64_t unknown = 0;
    reason why;
    const auto copy = decode(encode(value), unknown, why);
    REQUIRE(copy);
    CHECK(copy->writer == value.writer);
    CHECK(copy->sequence == value.sequence);
    REQUIRE(copy->records.size() == std::variant_size_v<record>);
    for (std::size_t i = 0; i < copy->records.size(); ++i) {
        CHECK(copy->records[i].index() == i);
    }
    CHECK(encode(*copy) == encode(value));
    CHECK(copy->indices.empty());
    CHECK(unknown == 0);
    const auto& closed = std::get<intent_closed>(copy->records[14]);
    CHECK(closed.body.size() == 3);
    CHECK_FALSE(closed.answered);
}

TEST_CASE("the size estimate of a record is an upper bound")
{
    batch value = one_of_each();
    for (const record& it : value.records) {
        batch without = value;
        without.records.push_back(it);
        const auto more = encode(without).size() - encode(value).size();
        CHECK(encoded_size(it) >= more);
    }
}

TEST_CASE("records of unknown kinds are skipped and the rest keep their index")
{
    std::uint64_t unknown = 0;
    reason why;
    const auto copy =
        decode(test::with_unknown_kinds(one_of_each(), 2), unknown, why);
    REQUIRE(copy);
    CHECK(unknown == 8);
    REQUIRE(copy->records.size() == 8);
    CHECK(copy->indices ==
          std::vector<std::uint32_t>{1, 3, 5, 7, 9, 11, 13, 15});
    CHECK(std::holds_alternative<member_left>(copy->records.front()));
}

TEST_CASE("the records of a batch of a later version are counted as unknown")
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::Batch>();
    out.setVersion(internal::schema_version + 1);
    out.setWriter("d1");
    out.setSequence(4);
    out.initRecords(3);
    std::uint64_t unknown = 0;
    reason why;
    const auto copy = decode(internal::encode_message(message), unknown, why);
    REQUIRE(copy);
    CHECK(copy->sequence == 4);
    CHECK(copy->records.empty());
    CHECK(unknown == 3);
}

TEST_CASE("an entry truncated at any length gives record_torn")
{
    const std::string whole = encode(one_of_each());
    for (std::size_t n = 0; n < whole.size(); ++n) {
        std::uint64_t unknown = 0;
        reason why;
        REQUIRE_FALSE(decode(whole.substr(0, n), unknown, why));
        REQUIRE(why.code == result_code::record_torn);
        REQUIRE(unknown == 0);
    }
}

TEST_CASE("the checksum detects changed bytes")
{
    const std::string whole = encode(one_of_each());
    std::mt19937 random{1};
    for (int i = 0; i < 20000; ++i) {
        std::string changed = whole;
        char& it = changed[random() % changed.size()];
        it = static_cast<char>(it ^ static_cast<char>(1U << (random() % 8)));
        std::uint64_t unknown = 0;
        reason why;
        REQUIRE_FALSE(decode(changed, unknown, why));
    }
}

TEST_CASE("malicious bytes with a valid checksum are decoded safely")
{
    const std::string whole = encode(one_of_each());
    const auto words = internal::decode_message(whole);
    std::mt19937 random{2};
    int torn = 0;
    int read = 0;
    constexpr int inputs = 100000;
    for (int i = 0; i < inputs; ++i) {
        auto hostile = kj::heapArray<capnp::word>(words->size());
        auto bytes = hostile.asBytes();
        std::memcpy(bytes.begin(), words->asBytes().begin(), bytes.size());
        const unsigned changes = 1 + random() % 6;
        for (unsigned k = 0; k < changes; ++k) {
            bytes[random() % bytes.size()] =
                static_cast<unsigned char>(random());
        }
        const std::uint64_t sum =
            internal::checksum(bytes.asChars().begin(), bytes.size());
        std::string entry(internal::checksum_bytes, '\0');
        std::memcpy(entry.data(), &sum, sizeof(sum));
        entry.append(bytes.asChars().begin(), bytes.size());
        std::uint64_t unknown = 0;
        reason why;
        const auto out = decode(entry, unknown, why);
        ++(out ? read : torn);
        REQUIRE((out || why.code == result_code::record_torn));
        REQUIRE((!out || out->records.size() <= records_per_batch));
    }
    CHECK(torn + read == inputs);
    CHECK(torn > inputs / 20);
    CHECK(read > inputs / 20);
}

} // namespace
