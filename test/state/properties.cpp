#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <test/state/history.hpp>

namespace {

using namespace rosemarytrail;        // NOLINT(google-build-using-namespace)
using namespace rosemarytrail::state; // NOLINT(google-build-using-namespace)
using test::random_history;

constexpr int steps = 400;

random_history any_history(int n)
{
    random_history history{*rc::gen::arbitrary<std::uint32_t>()};
    for (int i = 0; i < n; ++i) {
        history.step();
    }
    return history;
}

/** @brief Sums a team's allowances and checks that none is negative. */
resources allowances(const cell_state& cell, const team_id& team)
{
    resources sum;
    for (partition_id i = 0; i < cell.partition_count(); ++i) {
        RC_ASSERT(cell.allowance(team, i).is_valid());
        sum += cell.allowance(team, i);
    }
    return sum;
}

template <typename Record>
std::uint64_t applied(const random_history& history)
{
    const auto it = history.applied.find(record{Record{}}.index());
    return it == history.applied.end() ? 0 : it->second;
}

void check_limits(const cell_state& cell)
{
    for (const auto& it : cell.teams()) {
        if (cell.partition_count() > 0) {
            RC_ASSERT(allowances(cell, it.first) == it.second.limit);
        }
    }
}

/** @brief Counts open jobs and checks that each is in its partition only. */
std::uint64_t count_open(const cell_state& cell)
{
    std::set<job_id> seen;
    for (partition_id i = 0; i < cell.partition_count(); ++i) {
        for (const job_id& it : cell.open_jobs(i)) {
            RC_ASSERT(seen.insert(it).second);
            const job_state* job = cell.find_job(it);
            RC_ASSERT(job != nullptr);
            RC_ASSERT(job->partition == i);
            RC_ASSERT(job->phase == job_phase::accepted);
            RC_ASSERT(job->finished.size() < job->spec.tasks);
        }
    }
    return seen.size();
}

TEST_CASE("invariants hold after every entry of a random history")
{
    CHECK(rc::check([] {
        random_history history{*rc::gen::arbitrary<std::uint32_t>()};
        for (int i = 0; i < steps; ++i) {
            history.step();
            check_limits(history.log.cell);
            const cell_state& cell = history.log.cell;
            RC_ASSERT(cell.vms().size() == applied<vm_assigned>(history));
            std::uint64_t over = 0;
            for (int j = 0; j < 200; ++j) {
                const auto* job =
                    cell.find_job(job_id{"j" + std::to_string(j)});
                over += job != nullptr && job->phase != job_phase::accepted;
            }
            RC_ASSERT(count_open(cell) + over ==
                      applied<job_accepted>(history));
            for (const auto& it : cell.vms()) {
                RC_ASSERT(it.second.partition < cell.partition_count());
                RC_ASSERT(cell.vm_epoch(it.first) >= it.second.assigned);
            }
        }
        RC_TAG(applied<vm_handed_over>(history) > 0 ? "hand-overs" : "none");
    }));
}

TEST_CASE("a fold resumed from a snapshot equals the fold of the whole log")
{
    CHECK(rc::check([] {
        const random_history history = any_history(steps);
        const auto& entries = history.log.entries;
        const auto cut = *rc::gen::inRange<std::size_t>(0, entries.size());
        cell_state whole;
        std::optional<cell_state> tail;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            if (i == cut) {
                reason why;
                tail = cell_state::restore(whole.snapshot(), why);
                RC_ASSERT(tail.has_value());
                RC_ASSERT(tail->snapshot() == whole.snapshot());
            }
            const auto results = whole.apply(i, entries[i]);
            if (tail) {
                RC_ASSERT(tail->apply(i, entries[i]).size() == results.size());
            }
        }
        RC_ASSERT(whole.snapshot() == history.log.cell.snapshot());
        RC_ASSERT(tail->snapshot() == whole.snapshot());
        RC_ASSERT(tail->skipped_records() == whole.skipped_records());
    }));
}

TEST_CASE("a duplicate entry is skipped at any later time")
{
    CHECK(rc::check([] {
        random_history history = any_history(steps);
        auto& log = history.log;
        const std::string before = log.cell.snapshot();
        const auto repeats = log.cell.skipped_records();
        const std::size_t n = log.entries.size();
        for (std::size_t i = 0; i < n; ++i) {
            RC_ASSERT(log.append_bytes(std::string{log.entries[i]}).empty());
        }
        reason why;
        const auto old = cell_state::restore(before, why);
        RC_ASSERT(old->vms().size() == log.cell.vms().size());
        RC_ASSERT(count_open(*old) == count_open(log.cell));
        RC_ASSERT(old->members().size() == log.cell.members().size());
        for (const auto& it : old->documents()) {
            RC_ASSERT(log.cell.documents().at(it.first).revision ==
                      it.second.revision);
        }
        const auto count = [](const auto& codes) {
            std::uint64_t sum = 0;
            for (const auto& it : codes) {
                sum += it.second;
            }
            return sum;
        };
        RC_ASSERT(count(log.cell.skipped_records()) == count(repeats) + n);
    }));
}

TEST_CASE("a torn or modified snapshot is rejected")
{
    random_history history{1};
    for (int i = 0; i < steps; ++i) {
        history.step();
    }
    const std::string whole = history.log.cell.snapshot();
    std::mt19937 random{1};
    for (int i = 0; i < 2000; ++i) {
        std::string changed = whole;
        changed[random() % changed.size()] ^= 1;
        reason why;
        REQUIRE_FALSE(cell_state::restore(changed, why));
        REQUIRE(why.code == result_code::record_torn);
        const auto n = random() % whole.size();
        REQUIRE_FALSE(cell_state::restore(whole.substr(0, n), why));
    }
}

TEST_CASE("random histories cover all record kinds and results")
{
    random_history history{7};
    for (int i = 0; i < 4000; ++i) {
        history.step();
    }
    // All kinds except the two intent records, which this fold ignores.
    CHECK(history.applied.size() == std::variant_size_v<record> - 2);
    for (const auto code :
         {result_code::record_torn, result_code::record_repeated,
          result_code::record_void_revision, result_code::record_void_epoch,
          result_code::record_void_limit, result_code::record_void_document,
          result_code::record_void_duplicate, result_code::record_void_member,
          result_code::partition_count_mismatch, result_code::job_unknown}) {
        INFO(describe(code).name);
        CHECK(history.log.cell.skipped_records().contains(code));
    }
}

} // namespace
