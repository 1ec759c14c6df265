#include <rosemarytrail/state/internal/rules.hpp>

#include <utility>

namespace rosemarytrail::state::internal {

namespace {

/** @brief Maximum number of partitions of a cell. */
constexpr std::uint32_t max_partitions = 4096;
/** @brief Maximum stored previous holders; the oldest is dropped first. */
constexpr std::size_t max_previous_holders = 16;

record_result check_join(const cell_data& data, const member_joined& value,
                         const record_context& context)
{
    if (value.member.empty() || value.member != context.writer) {
        return make_void(result_code::record_void_member,
                         "join record was not written by the member itself");
    }
    if (const auto it = data.members.find(value.member);
        it != data.members.end()) {
        return make_void(result_code::record_void_duplicate,
                         value.member.str() + " is already a member",
                         it->second.joined);
    }
    if (data.history.left_voluntarily(value.member)) {
        return make_void(result_code::record_void_member,
                         value.member.str() + " has left and cannot rejoin");
    }
    const bool fits = data.partitions.empty()
                          ? value.partitions <= max_partitions
                          : value.partitions == data.partitions.size();
    if (value.partitions == 0 || !fits) {
        return make_void(result_code::partition_count_mismatch,
                         "partition count " + std::to_string(value.partitions) +
                             " is invalid, the cell has " +
                             std::to_string(data.partitions.size()));
    }
    return {};
}

/** @brief Makes the writer the holder and records the previous one. */
void replace_holder(partition_state& partition, const record_context& context)
{
    const bool first = partition.epoch == 0;
    if (!first) {
        partition.previous_holders.push_back(
            {.holder = partition.holder, .epoch = partition.epoch});
    }
    if (partition.previous_holders.size() > max_previous_holders) {
        partition.previous_holders.erase(partition.previous_holders.begin());
        partition.previous_holders_truncated = true;
    }
    partition.holder = context.writer;
    partition.epoch = context.number;
    // The first claim has no previous holder to wait for.
    partition.settled = first;
}

} // namespace

record_result make_void(result_code code, std::string detail,
                        record_number current)
{
    return {.code = code, .current = current, .detail = std::move(detail)};
}

record_result check_partition(const cell_data& data, partition_id partition)
{
    if (partition < data.partitions.size()) {
        return {};
    }
    return make_void(result_code::partition_count_mismatch,
                     "unknown partition " + std::to_string(partition));
}

record_result check_holder(const cell_data& data, partition_id partition,
                           record_number epoch, const record_context& context)
{
    record_result result = check_partition(data, partition);
    if (result.code != result_code::ok) {
        return result;
    }
    const partition_state& it = data.partitions[partition];
    if (epoch != it.epoch || context.writer != it.holder || epoch == 0) {
        return make_void(result_code::record_void_epoch,
                         "partition " + std::to_string(partition) +
                             " is held by " + it.holder.str(),
                         it.epoch);
    }
    return {};
}

record_result fold(cell_data& data, const member_joined& value,
                   const record_context& context)
{
    record_result result = check_join(data, value, context);
    if (result.code != result_code::ok) {
        return result;
    }
    if (data.partitions.empty()) {
        data.set_partitions(value.partitions);
    }
    data.members.emplace(value.member,
                         member_state{.member = value.member,
                                      .peer_address = value.peer_address,
                                      .api_address = value.api_address,
                                      .region = value.region,
                                      .zone = value.zone,
                                      .joined = context.number});
    data.history.add({.number = context.number,
                      .member = value.member,
                      .region = value.region,
                      .kind = change_kind::joined});
    return result;
}

record_result fold(cell_data& data, const member_left& value,
                   const record_context& context)
{
    const auto it = data.members.find(value.member);
    if (it == data.members.end() || !data.members.contains(context.writer)) {
        return make_void(result_code::record_void_member,
                         "the writer or the leaving member is not a member");
    }
    const bool voluntary = value.member == context.writer;
    data.history.add({.number = context.number,
                      .member = value.member,
                      .region = it->second.region,
                      .kind = voluntary ? change_kind::left_voluntarily
                                        : change_kind::removed});
    data.members.erase(it);
    return {};
}

record_result fold(cell_data& data, const partition_claimed& value,
                   const record_context& context)
{
    record_result result = check_partition(data, value.partition);
    if (result.code != result_code::ok) {
        return result;
    }
    partition_state& it = data.partitions[value.partition];
    if (!data.members.contains(context.writer)) {
        return make_void(result_code::record_void_member,
                         context.writer.str() + " is not a member", it.epoch);
    }
    if (value.replaces != it.epoch) {
        return make_void(result_code::record_void_epoch,
                         "partition " + std::to_string(value.partition) +
                             " is held by " + it.holder.str(),
                         it.epoch);
    }
    replace_holder(it, context);
    return result;
}

record_result fold(cell_data& data, const partition_settled& value,
                   const record_context& context)
{
    record_result result =
        check_holder(data, value.partition, value.epoch, context);
    if (result.code != result_code::ok) {
        return result;
    }
    partition_state& it = data.partitions[value.partition];
    it.settled = true;
    it.previous_holders.clear();
    it.previous_holders_truncated = false;
    return result;
}

} // namespace rosemarytrail::state::internal
