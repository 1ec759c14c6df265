#include <rosemarytrail/state/cell_state.hpp>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace rosemarytrail;        // NOLINT(google-build-using-namespace)
using namespace rosemarytrail::state; // NOLINT(google-build-using-namespace)

constexpr std::uint32_t partitions = 16;
constexpr int members = 9;
constexpr std::size_t records_per_entry = 20;
constexpr int jobs_per_vm = 20;
constexpr int tasks_per_job = 4;

struct cell_size
{
    int vms{};
    int teams{};
};

std::string numbered(const char* prefix, int n)
{
    return prefix + std::to_string(n);
}

std::string team_document(int n)
{
    return R"({"kind":"team","team":")" + numbered("team-", n) +
           R"(","weight":1.0,"limit":{"millicores":640000,)"
           R"("memory_mib":1310720,"accelerators":16}})";
}

std::string key_document(int n)
{
    return R"({"kind":"key","key":")" + numbered("key-", n) + R"(","team":")" +
           numbered("team-", n) + R"(","account":"planner","salt":")" +
           std::string(32, '1') + R"(","hash":")" + std::string(64, 'a') +
           R"(","withdrawn":false})";
}

std::string job_document(int team)
{
    return R"({"kind":"job","name":"reconciliation","team":")" +
           numbered("team-", team) +
           R"(","class":"batch","tasks":4,"request":{"millicores":500,)"
           R"("memory_mib":256,"accelerators":0},"run_time_ms":60000,)"
           R"("urgent":false,"priority":5,"max_attempts":4,)"
           R"("checkpointable":false})";
}

/** @brief Identifier of the length that the daemons give to jobs. */
job_id job(int n)
{
    return job_id{"0123456789abcdef-" + std::to_string(100000 + n)};
}

/** @brief Entries of a cell, with what each of its steps costs. */
class bench_log
{
public:
    /** @brief Applies records in entries of a usual size. */
    void apply(std::vector<record> records)
    {
        std::vector<std::string> entries;
        applied = records.size();
        for (std::size_t i = 0; i < records.size(); i += records_per_entry) {
            batch value{.writer = incarnation_id{"daemon-0"},
                        .sequence = ++sequence_};
            const std::size_t end =
                std::min(records.size(), i + records_per_entry);
            for (std::size_t k = i; k < end; ++k) {
                value.records.push_back(std::move(records[k]));
            }
            entries.push_back(encode(value));
        }
        const auto begin = std::chrono::steady_clock::now();
        for (const std::string& it : entries) {
            for (const record_result& result :
                 cell.apply(cell.next_offset(), it)) {
                refused += result.code == result_code::ok ? 0 : 1;
            }
        }
        seconds = std::chrono::duration<double>(
                      std::chrono::steady_clock::now() - begin)
                      .count();
    }

    cell_state cell;
    int refused{};
    /** @brief Records and time of the newest step. */
    std::size_t applied{};
    double seconds{};

private:
    /** @brief The first batch of the writer is its join. */
    std::uint64_t sequence_{1};
};

std::size_t heap_in_use()
{
    return mallinfo2().uordblks;
}

/** @brief Applies records and reports what they cost. */
template <typename Make>
void report(const char* what, bench_log& log, Make make_records)
{
    const std::size_t before = heap_in_use();
    log.apply(make_records());
    const std::size_t after = heap_in_use();
    const auto n = static_cast<double>(log.applied);
    std::printf("  %-14s %6zu records %9.0f records/s %8.1f bytes of heap "
                "each\n",
                what, log.applied, n / log.seconds,
                (static_cast<double>(after) - static_cast<double>(before)) / n);
}

void join(bench_log& log)
{
    for (int i = 0; i < members; ++i) {
        const incarnation_id member{numbered("daemon-", i)};
        const auto bytes =
            encode({.writer = member,
                    .sequence = 1,
                    .records = {member_joined{
                        member, "10.0.0.1:7000", "10.0.0.1:8000", "midt-norge",
                        zone_id{"brattora"}, partitions}}});
        (void)log.cell.apply(log.cell.next_offset(), bytes);
    }
}

/** @brief Makes records when called, so that they are freed in the step. */
template <typename Function>
auto make(int n, Function function)
{
    return [n, function] {
        std::vector<record> records;
        records.reserve(static_cast<std::size_t>(n));
        for (int i = 0; i < n; ++i) {
            records.push_back(function(i));
        }
        return records;
    };
}

void report_snapshot(const cell_state& cell)
{
    const auto begin = std::chrono::steady_clock::now();
    const std::string bytes = cell.snapshot();
    const auto written = std::chrono::steady_clock::now();
    reason why;
    const auto restored = cell_state::restore(bytes, why);
    const auto end = std::chrono::steady_clock::now();
    const auto ms = [](auto span) {
        return std::chrono::duration<double, std::milli>(span).count();
    };
    std::printf("  snapshot %zu bytes, written in %.1f ms, restored in %.1f "
                "ms%s\n",
                bytes.size(), ms(written - begin), ms(end - written),
                restored ? "" : " (FAILED)");
}

void run(const cell_size& size)
{
    std::printf("%d VMs, %d teams\n", size.vms, size.teams);
    bench_log log;
    const std::size_t empty = heap_in_use();
    join(log);
    report("teams", log, make(size.teams, [](int i) {
               return document_published{numbered("team/team-", i), 0,
                                         team_document(i)};
           }));
    report("keys", log, make(size.teams, [](int i) {
               return document_published{numbered("key/key-", i), 0,
                                         key_document(i)};
           }));
    report("VMs", log, make(size.vms, [](int i) {
               return vm_assigned{vm_id{numbered("orkanger-worker-", i)},
                                  static_cast<partition_id>(i) % partitions,
                                  {64000, 131072, 0}};
           }));
    report("claims", log, make(partitions, [](int i) {
               return partition_claimed{static_cast<partition_id>(i), 0};
           }));
    const int jobs = jobs_per_vm * size.vms;
    report("jobs accepted", log, make(jobs, [&size](int i) {
               return job_accepted{
                   job(i), team_id{numbered("team-", i % size.teams)},
                   static_cast<partition_id>(i) % partitions,
                   job_document(i % size.teams), numbered("submission-", i)};
           }));
    report_snapshot(log.cell);
    const auto finish = [&log](int i) {
        const auto partition = static_cast<partition_id>(i) % partitions;
        tasks_finished value{.partition = partition,
                             .epoch = log.cell.partitions()[partition].epoch};
        for (std::uint32_t k = 0; k < tasks_per_job; ++k) {
            value.tasks.push_back({.task = {job(i), k}, .attempt = 1});
        }
        return value;
    };
    report("jobs finished", log, make(jobs, finish));
    report_snapshot(log.cell);
    std::printf("  heap of the state %.1f MiB, records refused %d\n",
                static_cast<double>(heap_in_use() - empty) / 1048576.0,
                log.refused);
}

void report_bytes(const char* kind, const record& value)
{
    constexpr std::size_t copies = 100;
    const auto size = [&value](std::size_t n) {
        return encode({.writer = incarnation_id{"daemon-0"},
                       .sequence = 1,
                       .records = std::vector<record>(n, value)})
            .size();
    };
    std::printf("  %-22s %6.1f bytes\n", kind,
                static_cast<double>(size(copies) - size(0)) / copies);
}

void report_all_bytes()
{
    const resources amount{64000, 131072, 0};
    const task_finished task{.task = {job(1), 2}, .attempt = 1};
    std::printf(
        "bytes of a record in an entry; an entry adds %zu\n",
        encode({.writer = incarnation_id{"daemon-0"}, .sequence = 1}).size());
    report_bytes("member_joined",
                 member_joined{incarnation_id{"daemon-0"}, "10.0.0.1:7000",
                               "10.0.0.1:8000", "midt-norge",
                               zone_id{"brattora"}, partitions});
    report_bytes("member_left", member_left{incarnation_id{"daemon-0"}});
    report_bytes("document_published team",
                 document_published{"team/team-1", 1, team_document(1)});
    report_bytes("document_published key",
                 document_published{"key/key-1", 1, key_document(1)});
    report_bytes("partition_claimed", partition_claimed{1, 2});
    report_bytes("partition_settled", partition_settled{1, 2});
    report_bytes("vm_assigned",
                 vm_assigned{vm_id{"orkanger-worker-1"}, 1, amount});
    report_bytes("vm_handed_over",
                 vm_handed_over{vm_id{"orkanger-worker-1"}, 1, 2, 3});
    report_bytes("allowance_handed_over",
                 allowance_handed_over{team_id{"team-1"}, 1, 2, 3, amount});
    report_bytes("job_accepted", job_accepted{job(1), team_id{"team-1"}, 1,
                                              job_document(1), "submission-1"});
    report_bytes("job_handed_over", job_handed_over{job(1), 1, 2, 3});
    report_bytes("job_cancelled", job_cancelled{job(1)});
    report_bytes("tasks_finished, 1 task", tasks_finished{1, 2, {task}});
    report_bytes("tasks_finished, 10",
                 tasks_finished{1, 2, std::vector<task_finished>(10, task)});
    report_bytes("job_rejected",
                 job_rejected{job(1), 1, 2, result_code::never_fits});
    report_bytes("vm_declared_lost",
                 vm_declared_lost{vm_id{"orkanger-worker-1"}});
    report_bytes("intent_opened",
                 intent_opened{team_id{"team-1"}, service_id{"plugs"},
                               std::string(36, 'k'), 1});
    report_bytes("intent_closed, 200 B",
                 intent_closed{team_id{"team-1"}, service_id{"plugs"},
                               std::string(36, 'k'), true, true, 200,
                               "application/json", std::string(200, 'b')});
}

} // namespace

int main()
{
    report_all_bytes();
    for (const cell_size& it : {cell_size{48, 12}, cell_size{48, 170},
                                cell_size{196, 170}, cell_size{980, 170}}) {
        run(it);
    }
    return 0;
}
