#include <rosemarytrail/standin/vm_list_model.hpp>

#include <utility>

namespace rosemarytrail::standin {

vm_list_model::vm_list_model(const vm_list_faults& faults)
    : faults_{faults}
{}

void vm_list_model::set_faults(const vm_list_faults& faults) noexcept
{
    faults_ = faults;
}

void vm_list_model::upsert(const backends::vm_entry& vm, time_point now)
{
    heard_[vm.vm] = now;
    changes_.push_back({.at = now, .vm = vm.vm, .row = vm});
}

void vm_list_model::remove(const vm_id& vm, time_point now)
{
    heard_.erase(vm);
    changes_.push_back({.at = now, .vm = vm});
}

void vm_list_model::expire(time_point now)
{
    if (faults_.expiry == duration::zero()) {
        return;
    }
    for (auto it = heard_.begin(); it != heard_.end();) {
        if (it->second + faults_.expiry > now) {
            ++it;
            continue;
        }
        changes_.push_back(
            {.at = it->second + faults_.expiry, .vm = it->first});
        it = heard_.erase(it);
    }
}

void vm_list_model::show(time_point now)
{
    while (!changes_.empty() && changes_.front().at + faults_.lag <= now) {
        auto& it = changes_.front();
        if (it.row) {
            shown_[it.vm] = std::move(*it.row);
        } else {
            shown_.erase(it.vm);
        }
        changes_.pop_front();
    }
}

backends::vm_list_outcome vm_list_model::list(time_point now)
{
    expire(now);
    show(now);
    if (faults_.mode == fault_mode::down) {
        return {};
    }
    backends::vm_list_outcome result{.answered = true};
    result.vms.reserve(shown_.size());
    for (const auto& [name, row] : shown_) {
        result.vms.push_back(row);
    }
    return result;
}

} // namespace rosemarytrail::standin
