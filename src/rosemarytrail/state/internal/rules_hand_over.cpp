#include <rosemarytrail/state/internal/rules.hpp>

namespace rosemarytrail::state::internal {

namespace {

/** @brief Checks the source and the target partition of a transfer. */
template <typename HandOver>
record_result check_hand_over(const cell_data& data, const HandOver& value,
                              const record_context& context)
{
    record_result result = check_holder(data, value.from, value.epoch, context);
    if (result.code != result_code::ok) {
        return result;
    }
    if (value.from == value.to) {
        return make_void(result_code::record_void_duplicate,
                         "source and target are the same partition");
    }
    return check_partition(data, value.to);
}

} // namespace

record_result fold(cell_data& data, const vm_assigned& value,
                   const record_context& context)
{
    record_result result = check_partition(data, value.partition);
    if (result.code != result_code::ok) {
        return result;
    }
    if (value.vm.empty() || !value.capacity.is_valid()) {
        return make_void(result_code::record_void_document,
                         "vm has no name or a negative capacity");
    }
    const auto [it, added] =
        data.vms.try_emplace(value.vm, vm_state{.partition = value.partition,
                                                .assigned = context.number,
                                                .capacity = value.capacity});
    if (!added) {
        return make_void(result_code::record_void_duplicate,
                         value.vm.str() + " is in partition " +
                             std::to_string(it->second.partition),
                         it->second.assigned);
    }
    return result;
}

record_result fold(cell_data& data, const vm_handed_over& value,
                   const record_context& context)
{
    record_result result = check_hand_over(data, value, context);
    if (result.code != result_code::ok) {
        return result;
    }
    const auto it = data.vms.find(value.vm);
    if (it == data.vms.end() || it->second.partition != value.from) {
        return make_void(result_code::record_void_epoch,
                         value.vm.str() + " is not in partition " +
                             std::to_string(value.from));
    }
    it->second.partition = value.to;
    it->second.assigned = context.number;
    return result;
}

record_result fold(cell_data& data, const vm_declared_lost& value,
                   const record_context& context)
{
    const auto it = data.vms.find(value.vm);
    if (it == data.vms.end()) {
        return make_void(result_code::record_void_epoch,
                         value.vm.str() + " is in no partition");
    }
    it->second.lost = context.number;
    return {};
}

record_result fold(cell_data& data, const allowance_handed_over& value,
                   const record_context& context)
{
    record_result result = check_hand_over(data, value, context);
    if (result.code != result_code::ok) {
        return result;
    }
    const auto it = data.allowances.find(value.team);
    if (it == data.allowances.end() || !value.amount.is_valid() ||
        !value.amount.fits_in(it->second[value.from])) {
        return make_void(result_code::record_void_limit,
                         "partition " + std::to_string(value.from) +
                             " has too little allowance of team " +
                             value.team.str());
    }
    it->second[value.from] -= value.amount;
    it->second[value.to] += value.amount;
    return result;
}

record_result fold(cell_data& data, const job_handed_over& value,
                   const record_context& context)
{
    record_result result = check_hand_over(data, value, context);
    if (result.code != result_code::ok) {
        return result;
    }
    const job_state* job = data.jobs.find(value.job);
    if (job == nullptr) {
        return make_void(result_code::job_unknown, value.job.str());
    }
    if (job->phase != job_phase::accepted || job->partition != value.from) {
        return make_void(result_code::record_void_epoch,
                         value.job.str() + " is not open in partition " +
                             std::to_string(value.from));
    }
    data.jobs.move(value.job, value.to);
    return result;
}

} // namespace rosemarytrail::state::internal
