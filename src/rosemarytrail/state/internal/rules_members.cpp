#include <rosemarytrail/state/internal/rules.hpp>

#include <utility>

namespace rosemarytrail::state::internal {

namespace {

/** @brief Most partitions of a cell. */
constexpr std::uint32_t partitions_max = 4096;
/** @brief Most holders in a row that took over without settling. */
constexpr std::size_t former_max = 16;

record_verdict check_join(const cell_data& data, const member_joined& value,
                          const record_context& context)
{
    if (value.member.empty() || value.member != context.writer) {
        return make_void(result_code::record_void_member,
                         "only a member itself joins");
    }
    if (const auto it = data.members.find(value.member);
        it != data.members.end()) {
        return make_void(result_code::record_void_duplicate,
                         value.member.str() + " is a member",
                         it->second.joined);
    }
    if (data.history.left_by_itself(value.member)) {
        return make_void(result_code::record_void_member,
                         value.member.str() + " has left by itself");
    }
    const bool fits = data.partitions.empty()
                          ? value.partitions <= partitions_max
                          : value.partitions == data.partitions.size();
    if (value.partitions == 0 || !fits) {
        return make_void(result_code::partition_count_mismatch,
                         "partitions " + std::to_string(value.partitions) +
                             ", the cell has " +
                             std::to_string(data.partitions.size()));
    }
    return {};
}

/** @brief Makes the writer holder and remembers who may still act. */
void replace_holder(partition_state& partition, const record_context& context)
{
    const bool first = partition.epoch == 0;
    if (!first) {
        partition.former.push_back(
            {.holder = partition.holder, .epoch = partition.epoch});
    }
    if (partition.former.size() > former_max) {
        partition.former.erase(partition.former.begin());
        partition.former_lost = true;
    }
    partition.holder = context.writer;
    partition.epoch = context.number;
    // Nobody held it before, so there is nothing to take over.
    partition.settled = first;
}

} // namespace

record_verdict make_void(result_code code, std::string detail,
                         record_number current)
{
    return {.code = code, .current = current, .detail = std::move(detail)};
}

record_verdict check_partition(const cell_data& data, partition_id partition)
{
    if (partition < data.partitions.size()) {
        return {};
    }
    return make_void(result_code::partition_count_mismatch,
                     "there is no partition " + std::to_string(partition));
}

record_verdict check_holder(const cell_data& data, partition_id partition,
                            record_number epoch, const record_context& context)
{
    record_verdict verdict = check_partition(data, partition);
    if (verdict.code != result_code::ok) {
        return verdict;
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

record_verdict fold(cell_data& data, const member_joined& value,
                    const record_context& context)
{
    record_verdict verdict = check_join(data, value, context);
    if (verdict.code != result_code::ok) {
        return verdict;
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
    return verdict;
}

record_verdict fold(cell_data& data, const member_left& value,
                    const record_context& context)
{
    const auto it = data.members.find(value.member);
    if (it == data.members.end() || !data.members.contains(context.writer)) {
        return make_void(result_code::record_void_member,
                         "no current member strikes off or leaves");
    }
    const bool by_itself = value.member == context.writer;
    data.history.add({.number = context.number,
                      .member = value.member,
                      .region = it->second.region,
                      .kind = by_itself ? change_kind::left_by_itself
                                        : change_kind::struck_off});
    data.members.erase(it);
    return {};
}

record_verdict fold(cell_data& data, const partition_claimed& value,
                    const record_context& context)
{
    record_verdict verdict = check_partition(data, value.partition);
    if (verdict.code != result_code::ok) {
        return verdict;
    }
    partition_state& it = data.partitions[value.partition];
    if (!data.members.contains(context.writer)) {
        return make_void(result_code::record_void_member,
                         context.writer.str() + " is no member", it.epoch);
    }
    if (value.replaces != it.epoch) {
        return make_void(result_code::record_void_epoch,
                         "partition " + std::to_string(value.partition) +
                             " is held by " + it.holder.str(),
                         it.epoch);
    }
    replace_holder(it, context);
    return verdict;
}

record_verdict fold(cell_data& data, const partition_settled& value,
                    const record_context& context)
{
    record_verdict verdict =
        check_holder(data, value.partition, value.epoch, context);
    if (verdict.code != result_code::ok) {
        return verdict;
    }
    partition_state& it = data.partitions[value.partition];
    it.settled = true;
    it.former.clear();
    it.former_lost = false;
    return verdict;
}

} // namespace rosemarytrail::state::internal
