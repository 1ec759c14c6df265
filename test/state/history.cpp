#include <test/state/history.hpp>

#include <rosemarytrail/state/internal/codec.hpp>

#include <capnp/any.h>

#include <cstring>
#include <utility>

namespace rosemarytrail::test {

using state::batch;
using state::record;
using state::record_result;

namespace {

constexpr std::uint32_t partitions = 5;
constexpr std::uint32_t names = 6;

std::string repeat_digit(char digit, std::size_t n)
{
    return std::string(n, digit);
}

} // namespace

std::string team_document(const std::string& team, const resources& limit)
{
    return R"({"kind":"team","team":")" + team +
           R"(","weight":1.0,"limit":{"millicores":)" +
           std::to_string(limit.millicores) + R"(,"memory_mib":)" +
           std::to_string(limit.memory_mib) + R"(,"accelerators":)" +
           std::to_string(limit.accelerators) + "}}";
}

std::string key_document(const std::string& key, const std::string& team,
                         const std::string& hash, bool withdrawn)
{
    return R"({"kind":"key","key":")" + key + R"(","team":")" + team +
           R"(","account":"a","salt":")" + repeat_digit('1', 32) +
           R"(","hash":")" + hash + R"(","withdrawn":)" +
           (withdrawn ? "true}" : "false}");
}

std::string job_document(const std::string& team, int tasks)
{
    return R"({"kind":"job","name":"n","team":")" + team +
           R"(","class":"batch","tasks":)" + std::to_string(tasks) +
           R"(,"request":{"millicores":500,"memory_mib":256,)"
           R"("accelerators":0},"run_time_ms":1000,"urgent":false,)"
           R"("priority":5,"max_attempts":4,"checkpointable":false})";
}

std::string with_unknown_kinds(const state::batch& value, unsigned step)
{
    const std::string bytes = state::encode(value);
    const auto words = state::internal::decode_message(bytes);
    capnp::FlatArrayMessageReader reader{*words};
    capnp::MallocMessageBuilder message;
    message.setRoot(reader.getRoot<state::schema::Batch>());
    auto records = message.getRoot<state::schema::Batch>().getRecords();
    for (unsigned i = 0; i < records.size(); i += step) {
        const std::uint16_t kind = 999;
        auto data = capnp::toAny(records[i]).getDataSection();
        std::memcpy(data.begin(), &kind, sizeof(kind));
    }
    return state::internal::encode_message(message);
}

std::uint64_t followed_log::next_sequence(const std::string& writer)
{
    return ++sequences_[writer];
}

record_result followed_log::append(const std::string& writer, record value)
{
    auto results =
        append_bytes(state::encode({.writer = incarnation_id{writer},
                                    .sequence = next_sequence(writer),
                                    .records = {std::move(value)}}));
    return results.at(0);
}

std::vector<record_result> followed_log::append_bytes(std::string bytes)
{
    entries.push_back(std::move(bytes));
    return cell.apply(entries.size() - 1, entries.back());
}

random_history::random_history(std::uint32_t seed)
    : random_{seed}
{}

std::uint32_t random_history::below(std::uint32_t n)
{
    return random_() % n;
}

bool random_history::chance(std::uint32_t percent)
{
    return below(100) < percent;
}

std::string random_history::any_member()
{
    return "d" + std::to_string(below(names));
}

job_id random_history::any_job()
{
    return job_id{"j" + std::to_string(below(200))};
}

resources random_history::any_amount(std::int64_t bound)
{
    const auto n = static_cast<std::uint32_t>(bound);
    return {.millicores = below(n),
            .memory_mib = below(n),
            .accelerators = below(4)};
}

record random_history::any_team()
{
    const std::string team = "t" + std::to_string(below(3));
    const auto& documents = log.cell.documents();
    const auto it = documents.find("team/" + team);
    const record_number current =
        it == documents.end() ? 0 : it->second.revision;
    return state::document_published{
        .name = "team/" + (chance(95) ? team : "other"),
        .replaces = chance(80) ? current : below(3000),
        .content = chance(90) ? team_document(team, any_amount(10000)) : "{"};
}

record random_history::any_key()
{
    const std::string key = "k" + std::to_string(below(3));
    const auto& documents = log.cell.documents();
    const auto it = documents.find("key/" + key);
    return state::document_published{
        .name = "key/" + key,
        .replaces = it == documents.end() ? 0 : it->second.revision,
        .content = key_document(
            key, "t0", repeat_digit(static_cast<char>('0' + below(10)), 64),
            chance(40))};
}

record random_history::any_tasks(partition_id partition, record_number epoch)
{
    state::tasks_finished value{.partition = partition, .epoch = epoch};
    const auto& open = log.cell.open_jobs(partition);
    for (const job_id& it : open) {
        if (chance(60)) {
            value.tasks.push_back({.task = {it, below(4)}, .attempt = 1});
        }
    }
    return value;
}

record random_history::any_record(const std::string& writer)
{
    const partition_id from = below(partitions);
    const partition_id to = below(partitions + (chance(2) ? 1 : 0));
    const bool known = from < log.cell.partition_count();
    const record_number current = known ? log.cell.partitions()[from].epoch : 0;
    const record_number epoch = chance(90) ? current : below(5000);
    const vm_id vm{"v" + std::to_string(below(30))};
    const team_id team{"t" + std::to_string(below(3))};
    switch (below(14)) {
    case 0:
        return state::member_joined{.member = incarnation_id{writer},
                                    .region = "south",
                                    .partitions = chance(95) ? partitions : 7};
    case 1:
        return state::member_left{incarnation_id{any_member()}};
    case 2:
        return any_team();
    case 3:
        return any_key();
    case 4:
        return chance(70) ? record{state::partition_claimed{from, epoch}}
                          : state::partition_settled{from, epoch};
    case 5:
        return state::vm_assigned{vm, to, any_amount(64000)};
    case 6:
        return state::vm_handed_over{vm, from, epoch, to};
    case 7:
        return state::allowance_handed_over{team, from, epoch, to,
                                            any_amount(3000)};
    case 8:
    case 9:
        return state::job_accepted{
            any_job(), team, to,
            job_document(chance(95) ? team.str() : "other",
                         1 + static_cast<int>(below(4))),
            chance(50) ? "s" + std::to_string(below(100)) : ""};
    case 10:
        return state::job_handed_over{any_job(), from, epoch, to};
    case 11:
        return chance(50) ? record{state::job_cancelled{any_job()}}
                          : state::job_rejected{any_job(), from, epoch,
                                                result_code::never_fits};
    case 12:
        return any_tasks(from, epoch);
    default:
        return state::vm_declared_lost{vm};
    }
}

void random_history::step()
{
    if (!log.entries.empty() && chance(5)) {
        const auto again =
            below(static_cast<std::uint32_t>(log.entries.size()));
        log.append_bytes(std::string{log.entries[again]});
        return;
    }
    const std::string writer = any_member();
    batch value{.writer = incarnation_id{writer},
                .sequence = log.next_sequence(writer)};
    if (chance(5)) {
        value.sequence = log.next_sequence(writer);
    }
    const std::uint32_t n = 1 + below(6);
    for (std::uint32_t i = 0; i < n; ++i) {
        value.records.push_back(any_record(writer));
    }
    std::string bytes = state::encode(value);
    if (chance(3)) {
        bytes.resize(below(static_cast<std::uint32_t>(bytes.size())));
    }
    const auto results = log.append_bytes(std::move(bytes));
    for (std::size_t i = 0; i < results.size(); ++i) {
        if (results[i].code == result_code::ok) {
            ++applied[value.records[i].index()];
        }
    }
}

} // namespace rosemarytrail::test
