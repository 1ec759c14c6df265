#include <rosemarytrail/state/cell_state.hpp>
#include <rosemarytrail/state/internal/rules.hpp>

#include <algorithm>

namespace rosemarytrail::state {

std::vector<record_result> cell_state::apply(std::uint64_t offset,
                                             std::string_view bytes)
{
    if (offset != data_.next_offset) {
        return {};
    }
    ++data_.next_offset;
    std::uint64_t unknown = 0;
    reason why;
    const std::optional<batch> entry = decode(bytes, unknown, why);
    if (!entry) {
        ++data_.skipped_records[result_code::record_torn];
        return {};
    }
    if (!data_.writers.accept(entry->writer, entry->sequence, offset)) {
        ++data_.skipped_records[result_code::record_repeated];
        return {};
    }
    if (unknown > 0) {
        data_.skipped_records[result_code::record_unknown] += unknown;
    }
    return apply_records(offset, *entry);
}

std::vector<record_result> cell_state::apply_records(std::uint64_t offset,
                                                     const batch& entry)
{
    std::vector<record_result> results;
    results.reserve(entry.records.size());
    for (std::size_t i = 0; i < entry.records.size(); ++i) {
        const std::size_t index = entry.indices.empty() ? i : entry.indices[i];
        const internal::record_context context{
            .writer = entry.writer,
            .number = make_record_number(offset, index)};
        record_result result = std::visit(
            [&](const auto& it) { return internal::fold(data_, it, context); },
            entry.records[i]);
        result.number = context.number;
        if (result.code != result_code::ok) {
            ++data_.skipped_records[result.code];
        }
        results.push_back(std::move(result));
    }
    return results;
}

std::uint64_t cell_state::next_offset() const noexcept
{
    return data_.next_offset;
}

std::uint32_t cell_state::partition_count() const noexcept
{
    return static_cast<std::uint32_t>(data_.partitions.size());
}

const std::map<incarnation_id, member_state>&
cell_state::members() const noexcept
{
    return data_.members;
}

const std::vector<partition_state>& cell_state::partitions() const noexcept
{
    return data_.partitions;
}

const std::map<vm_id, vm_state>& cell_state::vms() const noexcept
{
    return data_.vms;
}

record_number cell_state::vm_epoch(const vm_id& vm) const
{
    const auto it = data_.vms.find(vm);
    if (it == data_.vms.end()) {
        return 0;
    }
    return std::max(it->second.assigned,
                    data_.partitions[it->second.partition].epoch);
}

const std::map<std::string, document_state>&
cell_state::documents() const noexcept
{
    return data_.documents;
}

const std::map<team_id, team_spec>& cell_state::teams() const noexcept
{
    return data_.teams;
}

const key_spec* cell_state::find_key(const key_id& key) const
{
    const auto it = data_.keys.find(key);
    return it == data_.keys.end() ? nullptr : &it->second;
}

resources cell_state::allowance(const team_id& team,
                                partition_id partition) const
{
    const auto it = data_.allowances.find(team);
    if (it == data_.allowances.end() || partition >= it->second.size()) {
        return {};
    }
    return it->second[partition];
}

const job_state* cell_state::find_job(const job_id& job) const
{
    return data_.jobs.find(job);
}

const job_state* cell_state::find_submission(const team_id& team,
                                             std::string_view submission) const
{
    return data_.jobs.find_submission(team, submission);
}

const std::set<job_id>& cell_state::open_jobs(partition_id partition) const
{
    return data_.jobs.open(partition);
}

const std::map<result_code, std::uint64_t>&
cell_state::skipped_records() const noexcept
{
    return data_.skipped_records;
}

std::uint64_t cell_state::last_sequence(const incarnation_id& writer) const
{
    return data_.writers.last_sequence(writer);
}

std::vector<std::set<incarnation_id>>
cell_state::member_sets_since(std::string_view region,
                              std::uint64_t next_offset) const
{
    return data_.history.sets_since(region, make_record_number(next_offset, 0));
}

std::vector<std::set<incarnation_id>> cell_state::takeover_sets(
    partition_id partition,
    const std::function<std::uint64_t(const incarnation_id&)>& known) const
{
    if (partition >= data_.partitions.size() ||
        data_.partitions[partition].previous_holders_truncated) {
        return {};
    }
    std::vector<std::set<incarnation_id>> sets;
    for (const previous_holder& it :
         data_.partitions[partition].previous_holders) {
        const std::uint64_t offset =
            std::max(it.epoch / records_per_batch, known(it.holder));
        const auto region = region_of(it.holder);
        const auto of_holder = region ? member_sets_since(*region, offset)
                                      : std::vector<std::set<incarnation_id>>{};
        if (of_holder.empty()) {
            return {};
        }
        sets.insert(sets.end(), of_holder.begin(), of_holder.end());
    }
    return sets;
}

bool cell_state::left_voluntarily(const incarnation_id& member) const
{
    return data_.history.left_voluntarily(member);
}

std::optional<std::string>
cell_state::region_of(const incarnation_id& member) const
{
    return data_.history.region_of(member);
}

std::string cell_state::snapshot() const
{
    return internal::write_snapshot(data_);
}

std::optional<cell_state> cell_state::restore(std::string_view bytes,
                                              reason& why)
{
    auto data = internal::read_snapshot(bytes, why);
    if (!data) {
        return std::nullopt;
    }
    cell_state state;
    state.data_ = std::move(*data);
    return state;
}

} // namespace rosemarytrail::state
