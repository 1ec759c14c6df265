#include <rosemarytrail/placement/internal/vm_table.hpp>

#include <algorithm>

namespace rosemarytrail::placement::internal {

namespace {

constexpr resources no_capacity{-1, -1, -1};

[[nodiscard]] float inverse_of(std::int64_t n) noexcept
{
    return n > 0 ? 1.0F / static_cast<float>(n) : 0.0F;
}

[[nodiscard]] resources clamp_to_zero(const resources& value) noexcept
{
    return {std::max<std::int64_t>(value.millicores, 0),
            std::max<std::int64_t>(value.memory_mib, 0),
            std::max<std::int64_t>(value.accelerators, 0)};
}

} // namespace

index vm_table::intern(const vm_id& vm)
{
    const index n = ids_.intern(vm);
    if (n >= vms_.size()) {
        vms_.resize(n + 1);
        available_.resize(n + 1, no_capacity);
        inverse_.resize(n + 1);
        busy_until_.resize(n + 1);
    }
    vms_[n].view.vm = vm;
    return n;
}

index vm_table::upsert(const vm_view& view)
{
    const index n = intern(view.vm);
    auto& vm = vms_[n];
    update_counts(n, false);
    vm.view = view;
    vm.rack = racks_.intern(view.rack);
    vm.zone = zones_.intern(view.zone);
    vm.present = true;
    inverse_[n] = {.millicores = inverse_of(view.capacity.millicores),
                   .memory = inverse_of(view.capacity.memory_mib),
                   .accelerators = inverse_of(view.capacity.accelerators)};
    update_counts(n, true);
    refresh(n);
    return n;
}

void vm_table::remove(const vm_id& vm)
{
    const index n = ids_.find(vm);
    if (n == no_index) {
        return;
    }
    update_counts(n, false);
    vms_[n].present = false;
    refresh(n);
    release_if_unused(n);
}

void vm_table::commit(index vm, task_key task, const resources& amount,
                      time_point until)
{
    update_counts(vm, false);
    vms_[vm].committed += amount;
    vms_[vm].tasks.push_back(task);
    vms_[vm].ends.push_back(until);
    busy_until_[vm] = std::max(busy_until_[vm], until);
    update_counts(vm, true);
    refresh(vm);
}

void vm_table::release(index vm, task_key task, const resources& amount)
{
    auto& state = vms_[vm];
    const auto it = std::find(state.tasks.begin(), state.tasks.end(), task);
    if (it == state.tasks.end()) {
        return;
    }
    update_counts(vm, false);
    state.ends[static_cast<std::size_t>(it - state.tasks.begin())] =
        state.ends.back();
    state.ends.pop_back();
    *it = state.tasks.back();
    state.tasks.pop_back();
    busy_until_[vm] = {};
    for (const auto end : state.ends) {
        busy_until_[vm] = std::max(busy_until_[vm], end);
    }
    state.committed -= amount;
    update_counts(vm, true);
    refresh(vm);
    release_if_unused(vm);
}

void vm_table::reserve(index vm, const resources& amount)
{
    vms_[vm].reserved += amount;
    refresh(vm);
    release_if_unused(vm);
}

void vm_table::set_quarantined(index vm, bool value)
{
    update_counts(vm, false);
    vms_[vm].quarantined = value;
    update_counts(vm, true);
    refresh(vm);
}

void vm_table::set_suspect(index vm, bool value)
{
    vms_[vm].suspect = value;
}

void vm_table::pause_until(index vm, time_point until)
{
    if (vms_[vm].paused_until == time_point{}) {
        paused_.push_back(vm);
    }
    vms_[vm].paused_until = until;
    refresh(vm);
}

bool vm_table::end_pauses(time_point now)
{
    const auto is_over = [&](index vm) {
        return vms_[vm].paused_until <= now;
    };
    const auto rest = std::partition(paused_.begin(), paused_.end(),
                                     [&](index vm) { return !is_over(vm); });
    const bool any = rest != paused_.end();
    for (auto it = rest; it != paused_.end(); ++it) {
        vms_[*it].paused_until = {};
        refresh(*it);
    }
    paused_.erase(rest, paused_.end());
    return any;
}

bool vm_table::is_open(index vm) const noexcept
{
    const auto& state = vms_[vm];
    return state.present && state.view.accepting && state.view.fenced &&
           !state.quarantined && state.paused_until == time_point{};
}

resources vm_table::available_with_reserved(index vm) const
{
    return is_open(vm) ? available_[vm] + vms_[vm].reserved : no_capacity;
}

float vm_table::leftover(index vm, const resources& request) const
{
    const auto rest = available_[vm] - request;
    const auto& by = inverse_[vm];
    return static_cast<float>(rest.millicores) * by.millicores +
           static_cast<float>(rest.memory_mib) * by.memory +
           static_cast<float>(rest.accelerators) * by.accelerators;
}

void vm_table::refresh(index vm)
{
    const auto& state = vms_[vm];
    available_[vm] =
        is_open(vm) ? state.view.capacity - state.committed - state.reserved
                    : no_capacity;
}

void vm_table::update_counts(index vm, bool add)
{
    const auto& state = vms_[vm];
    if (!state.present) {
        return;
    }
    const std::size_t one = add ? 1 : static_cast<std::size_t>(-1);
    present_ += one;
    accepting_ += state.view.accepting ? one : 0;
    quarantined_count_ += state.quarantined ? one : 0;
    if (state.view.fenced) {
        return;
    }
    unfenced_ += one;
    const auto rest = clamp_to_zero(state.view.capacity - state.committed);
    unfenced_available_ += rest * (add ? 1 : -1);
}

void vm_table::release_if_unused(index vm)
{
    const auto& state = vms_[vm];
    const bool is_unused =
        !state.present && state.tasks.empty() && state.reserved.is_zero();
    if (!is_unused) {
        return;
    }
    ids_.release(vm_id{state.view.vm});
    std::erase(paused_, vm);
    vms_[vm] = {};
    available_[vm] = no_capacity;
}

} // namespace rosemarytrail::placement::internal
