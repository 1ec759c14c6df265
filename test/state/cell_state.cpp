#include <catch2/catch.hpp>

#include <test/state/history.hpp>

namespace {

using namespace rosemarytrail;        // NOLINT(google-build-using-namespace)
using namespace rosemarytrail::state; // NOLINT(google-build-using-namespace)
using test::followed_log;
using test::job_document;
using test::key_document;
using test::team_document;

const team_id team{"t"};
const std::string hash_a(64, 'a');
const std::string hash_b(64, 'b');

record_result join(followed_log& log, const std::string& member,
                   std::uint32_t partitions = 4)
{
    return log.append(member, member_joined{.member = incarnation_id{member},
                                            .region = "south",
                                            .partitions = partitions});
}

record_result publish(followed_log& log, const std::string& name,
                      const std::string& content, record_number replaces)
{
    return log.append("d1", document_published{name, replaces, content});
}

record_result accept(followed_log& log, const std::string& job, int tasks,
                     const std::string& submission = "")
{
    return log.append("d1", job_accepted{job_id{job}, team, 1,
                                         job_document("t", tasks), submission});
}

/** @brief Cell with two members, one team, and d1 holding partition 1. */
struct small_cell
{
    small_cell()
    {
        (void)join(log, "d1");
        (void)join(log, "d2");
        team_revision =
            publish(log, "team/t", team_document("t", {10, 7, 1}), 0).number;
        epoch = log.append("d1", partition_claimed{1, 0}).number;
    }

    followed_log log;
    record_number team_revision{};
    record_number epoch{};
};

TEST_CASE("the first member sets the partition count of the cell")
{
    followed_log log;
    CHECK(join(log, "d1", 0).code == result_code::partition_count_mismatch);
    CHECK(join(log, "d1", 5000).code == result_code::partition_count_mismatch);
    CHECK(join(log, "d1", 4).code == result_code::ok);
    CHECK(join(log, "d2", 5).code == result_code::partition_count_mismatch);
    CHECK(log.cell.partition_count() == 4);
    CHECK(join(log, "d1", 4).code == result_code::record_void_duplicate);
}

TEST_CASE(
    "the first of two claims of an epoch wins and the other gets the new epoch")
{
    small_cell cell;
    auto& log = cell.log;
    CHECK(log.append("d3", partition_claimed{0, 0}).code ==
          result_code::record_void_member);
    const auto won = log.append("d2", partition_claimed{1, cell.epoch});
    const auto lost = log.append("d1", partition_claimed{1, cell.epoch});
    CHECK(won.code == result_code::ok);
    CHECK(lost.code == result_code::record_void_epoch);
    CHECK(lost.current == won.number);
    CHECK(log.cell.partitions()[1].holder == incarnation_id{"d2"});
}

TEST_CASE("a partition keeps its holder and epoch when the holder is removed")
{
    small_cell cell;
    auto& log = cell.log;
    CHECK(log.append("d2", member_left{incarnation_id{"d1"}}).code ==
          result_code::ok);
    CHECK(log.cell.partitions()[1].holder == incarnation_id{"d1"});
    CHECK(log.cell.partitions()[1].epoch == cell.epoch);
    CHECK_FALSE(log.cell.left_voluntarily(incarnation_id{"d1"}));
    CHECK(log.cell.region_of(incarnation_id{"d1"}) == "south");
    CHECK(join(log, "d1").code == result_code::ok);
    CHECK(log.append("d1", member_left{incarnation_id{"d1"}}).code ==
          result_code::ok);
    CHECK(log.cell.left_voluntarily(incarnation_id{"d1"}));
    CHECK(join(log, "d1").code == result_code::record_void_member);
}

TEST_CASE("member sets since an offset include every later change")
{
    followed_log log;
    (void)join(log, "d1");
    (void)join(log, "d2");
    const auto known = log.cell.next_offset();
    (void)join(log, "d3");
    (void)log.append("d2", member_left{incarnation_id{"d1"}});
    const auto sets = log.cell.member_sets_since("south", known);
    REQUIRE(sets.size() == 3);
    CHECK(sets[0].size() == 2);
    CHECK(sets[1].size() == 3);
    CHECK(sets[2] == std::set{incarnation_id{"d2"}, incarnation_id{"d3"}});
    CHECK(log.cell.member_sets_since("south", 4).size() == 1);
    CHECK(log.cell.member_sets_since("north", 0).size() == 1);
    for (int i = 0; i < 600; ++i) {
        (void)join(log, "x" + std::to_string(i));
    }
    CHECK(log.cell.member_sets_since("south", known).empty());
    CHECK(log.cell.member_sets_since("south", 500).back().size() == 602);
}

TEST_CASE("a takeover covers all holders since the last settled one")
{
    small_cell cell;
    auto& log = cell.log;
    const auto nothing = [](const incarnation_id&) {
        return std::uint64_t{};
    };
    const auto sets = [&] {
        return log.cell.takeover_sets(1, nothing);
    };
    CHECK(log.cell.partitions()[1].settled);
    CHECK(sets().empty());
    const auto second = log.append("d2", partition_claimed{1, cell.epoch});
    REQUIRE(sets().size() == 1);
    CHECK(sets()[0].size() == 2);
    (void)join(log, "d3");
    (void)log.append("d3", member_left{incarnation_id{"d2"}});
    const auto third = log.append("d3", partition_claimed{1, second.number});
    // Each of d1 and d2 may still act under any of the three member sets.
    CHECK(sets().size() == 6);
    CHECK(log.cell
              .takeover_sets(1,
                             [&](const incarnation_id& it) {
                                 return it.str() == "d1"
                                            ? log.cell.next_offset()
                                            : 0;
                             })
              .size() == 4);
    CHECK(log.append("d2", partition_settled{1, second.number}).code ==
          result_code::record_void_epoch);
    CHECK(log.append("d3", partition_settled{1, third.number}).code ==
          result_code::ok);
    CHECK(sets().empty());
    (void)log.append("d1", partition_claimed{1, third.number});
    CHECK(sets().size() == 1);
    CHECK(log.cell.partitions()[1].previous_holders.size() == 1);
}

TEST_CASE("the loser of a publish race gets the current revision")
{
    small_cell cell;
    auto& log = cell.log;
    const auto first = publish(log, "team/t", team_document("t", {20, 7, 1}),
                               cell.team_revision);
    const auto second = publish(log, "team/t", team_document("t", {30, 7, 1}),
                                cell.team_revision);
    CHECK(first.code == result_code::ok);
    CHECK(second.code == result_code::record_void_revision);
    CHECK(second.current == first.number);
    CHECK(log.cell.teams().at(team).limit.millicores == 20);
    const auto wrong = publish(log, "team/u", team_document("t", {1, 1, 1}), 0);
    CHECK(wrong.code == result_code::record_void_document);
    const auto broken = publish(log, "team/t", "{\"kind\":", first.number);
    CHECK(broken.code == result_code::record_void_document);
    CHECK_FALSE(broken.detail.empty());
    CHECK(broken.current == first.number);
}

TEST_CASE("a withdrawn hash of a key cannot be reused")
{
    followed_log log;
    const auto put = [&log](const std::string& hash, bool withdrawn) {
        const auto& documents = log.cell.documents();
        const auto it = documents.find("key/k");
        return publish(log, "key/k", key_document("k", "t", hash, withdrawn),
                       it == documents.end() ? 0 : it->second.revision)
            .code;
    };
    const auto withdrawn = [&log] {
        return log.cell.find_key(key_id{"k"})->withdrawn;
    };
    CHECK(log.cell.find_key(key_id{"k"}) == nullptr);
    CHECK(put(hash_a, false) == result_code::ok);
    CHECK(put(hash_b, true) == result_code::ok);
    CHECK(withdrawn());
    CHECK(put(hash_a, false) == result_code::record_void_document);
    CHECK(put(hash_b, false) == result_code::record_void_document);
    CHECK(withdrawn());
    CHECK(put(std::string(64, 'c'), false) == result_code::ok);
    CHECK_FALSE(withdrawn());
}

TEST_CASE("a team limit is split exactly, raised evenly and cut proportionally")
{
    small_cell cell;
    auto& log = cell.log;
    const auto& state = log.cell;
    CHECK(state.allowance(team, 0) == resources{3, 2, 1});
    CHECK(state.allowance(team, 3) == resources{2, 1, 0});
    CHECK(log.append("d1",
                     allowance_handed_over{team, 1, cell.epoch, 0, {3, 2, 0}})
              .code == result_code::ok);
    CHECK(state.allowance(team, 0) == resources{6, 4, 1});
    CHECK(log.append("d1",
                     allowance_handed_over{team, 1, cell.epoch, 0, {1, 0, 0}})
              .code == result_code::record_void_limit);
    const auto cut = publish(log, "team/t", team_document("t", {5, 7, 0}),
                             cell.team_revision);
    CHECK(cut.code == result_code::ok);
    CHECK(state.allowance(team, 0) == resources{3, 4, 0});
    CHECK(state.allowance(team, 1) == resources{0, 0, 0});
    CHECK(state.allowance(team, 2) == resources{1, 2, 0});
    (void)publish(log, "team/t", team_document("t", {11, 7, 0}), cut.number);
    CHECK(state.allowance(team, 0).millicores == 5);
    CHECK(state.allowance(team, 3).millicores == 2);
}

TEST_CASE("only the holder can transfer, under its current epoch")
{
    small_cell cell;
    auto& log = cell.log;
    const auto assigned =
        log.append("d2", vm_assigned{vm_id{"v"}, 1, {9, 9, 9}});
    CHECK(log.cell.vm_epoch(vm_id{"v"}) == assigned.number);
    CHECK(log.append("d2", vm_assigned{vm_id{"v"}, 2, {9, 9, 9}}).code ==
          result_code::record_void_duplicate);
    const vm_handed_over give{vm_id{"v"}, 1, cell.epoch, 2};
    CHECK(log.append("d2", give).code == result_code::record_void_epoch);
    const auto given = log.append("d1", give);
    CHECK(given.code == result_code::ok);
    CHECK(log.append("d1", give).code == result_code::record_void_epoch);
    CHECK(log.cell.vm_epoch(vm_id{"v"}) == given.number);
    CHECK(log.cell.vms().at(vm_id{"v"}).capacity == resources{9, 9, 9});
    const auto claim = log.append("d2", partition_claimed{2, 0});
    CHECK(log.cell.vm_epoch(vm_id{"v"}) == claim.number);
    CHECK(log.append("d1", vm_handed_over{vm_id{"v"}, 2, cell.epoch, 1}).code ==
          result_code::record_void_epoch);
}

TEST_CASE("a job id or submission id is accepted only once")
{
    small_cell cell;
    auto& log = cell.log;
    const auto first = accept(log, "j1", 2, "s");
    CHECK(first.code == result_code::ok);
    const auto again = accept(log, "j2", 2, "s");
    CHECK(again.code == result_code::record_void_duplicate);
    CHECK(again.current == first.number);
    CHECK(accept(log, "j1", 2).code == result_code::record_void_duplicate);
    CHECK(log.cell.find_submission(team, "s")->job == job_id{"j1"});
    CHECK(log.append("d1", job_accepted{job_id{"j3"}, team_id{"u"}, 1,
                                        job_document("u", 1), ""})
              .code == result_code::record_void_document);
    CHECK(log.append("d1", job_accepted{job_id{"j3"}, team, 1,
                                        job_document("u", 1), ""})
              .code == result_code::record_void_document);
    CHECK(log.append("d1", job_accepted{job_id{"j3"}, team, 9,
                                        job_document("t", 1), ""})
              .code == result_code::partition_count_mismatch);
}

TEST_CASE("task results apply once and only under the current epoch")
{
    small_cell cell;
    auto& log = cell.log;
    (void)accept(log, "j", 2);
    const job_id job{"j"};
    const auto finish = [&](std::uint32_t index, record_number epoch) {
        return log
            .append(
                "d1",
                tasks_finished{1, epoch, {{{job, index}, 1, result_code::ok}}})
            .code;
    };
    CHECK(finish(0, cell.epoch - 1) == result_code::record_void_epoch);
    CHECK(finish(2, cell.epoch) == result_code::record_void_document);
    CHECK(finish(0, cell.epoch) == result_code::ok);
    CHECK(finish(0, cell.epoch) == result_code::record_void_duplicate);
    CHECK(log.cell.open_jobs(1).contains(job));
    const tasks_finished both{
        1,
        cell.epoch,
        {{{job, 0}, 1, result_code::ok}, {{job, 1}, 1, result_code::ok}}};
    const auto before = log.cell.skipped_records();
    CHECK(log.append("d1", both).code == result_code::ok);
    CHECK(log.cell.skipped_records().at(result_code::record_void_duplicate) ==
          before.at(result_code::record_void_duplicate) + 1);
    CHECK(log.cell.find_job(job)->phase == job_phase::finished);
    CHECK(log.cell.open_jobs(1).empty());
    CHECK(log.append("d1", job_cancelled{job}).code ==
          result_code::record_void_duplicate);
}

TEST_CASE("ended jobs are stored up to a limit and the oldest is evicted first")
{
    small_cell cell;
    auto& log = cell.log;
    constexpr int bound = internal::job_table::max_ended_jobs;
    for (int i = 0; i <= bound; ++i) {
        const std::string job = "j" + std::to_string(i);
        (void)accept(log, job, 1, job);
        (void)log.append("d1", job_cancelled{job_id{job}});
    }
    CHECK(log.cell.find_job(job_id{"j0"}) == nullptr);
    CHECK(log.cell.find_submission(team, "j0") == nullptr);
    CHECK(log.cell.find_submission(team, "j1")->phase == job_phase::cancelled);
    CHECK(log.cell.open_jobs(1).empty());
}

TEST_CASE("sequence numbers may have gaps and a duplicate batch is skipped")
{
    followed_log log;
    const auto batch_of = [](std::uint64_t sequence, const std::string& name) {
        return encode(
            {.writer = incarnation_id{"d1"},
             .sequence = sequence,
             .records = {document_published{"team/" + name, 0,
                                            team_document(name, {1, 1, 1})}}});
    };
    CHECK(log.append_bytes(batch_of(3, "a")).size() == 1);
    CHECK(log.append_bytes(batch_of(3, "a")).empty());
    CHECK(log.append_bytes(batch_of(2, "b")).empty());
    CHECK(log.cell.last_sequence(incarnation_id{"d1"}) == 3);
    CHECK(log.cell.skipped_records().at(result_code::record_repeated) == 2);
    CHECK(log.cell.next_offset() == 3);
    CHECK(log.cell.apply(7, batch_of(9, "c")).empty());
    CHECK(log.cell.next_offset() == 3);
}

TEST_CASE("records keep their numbers if the entry contains unknown kinds")
{
    followed_log log;
    const auto team_record = [](const std::string& name) {
        return document_published{"team/" + name, 0,
                                  team_document(name, {1, 1, 1})};
    };
    const auto results = log.append_bytes(test::with_unknown_kinds(
        {.writer = incarnation_id{"d1"},
         .sequence = 1,
         .records = {team_record("a"), team_record("b"), team_record("c"),
                     team_record("d")}},
        2));
    REQUIRE(results.size() == 2);
    CHECK(results[0].number == make_record_number(0, 1));
    CHECK(results[1].number == make_record_number(0, 3));
    CHECK(log.cell.documents().at("team/d").revision == results[1].number);
    CHECK(log.cell.skipped_records().at(result_code::record_unknown) == 2);
}

} // namespace
