#include <rosemarytrail/placement/internal/hold_table.hpp>

#include <algorithm>

namespace rosemarytrail::placement::internal {

void hold_table::add(const hold& value)
{
    holds_.push_back(value);
    vms_.hold(value.vm, value.amount);
}

void hold_table::release(index job)
{
    std::erase_if(holds_, [&](const hold& it) {
        if (it.job == job) {
            vms_.hold(it.vm, it.amount * -1);
        }
        return it.job == job;
    });
}

void hold_table::release_one(index job, index vm)
{
    auto found = holds_.end();
    for (auto it = holds_.begin(); it != holds_.end(); ++it) {
        if (it->job == job && (found == holds_.end() || it->vm == vm)) {
            found = it;
        }
    }
    if (found != holds_.end()) {
        const hold gone = *found;
        holds_.erase(found);
        vms_.hold(gone.vm, gone.amount * -1);
    }
}

bool hold_table::release_expired(time_point now)
{
    const auto before = holds_.size();
    std::erase_if(holds_, [&](const hold& it) {
        const auto& vm = vms_[it.vm];
        const bool is_open =
            vm.present && vm.view.accepting && vm.view.fenced && !vm.set_aside;
        const bool is_over = it.until <= now || !is_open;
        if (is_over) {
            vms_.hold(it.vm, it.amount * -1);
        }
        return is_over;
    });
    return holds_.size() != before;
}

std::size_t hold_table::count(index job) const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(holds_.begin(), holds_.end(),
                      [&](const hold& it) { return it.job == job; }));
}

resources hold_table::held_on(index job, index vm) const noexcept
{
    resources sum;
    for (const auto& it : holds_) {
        if (it.job == job && it.vm == vm) {
            sum += it.amount;
        }
    }
    return sum;
}

hold_table::suspension::suspension(hold_table& holds, index job)
    : holds_{holds}
    , job_{job}
{
    apply(-1);
}

hold_table::suspension::~suspension()
{
    apply(1);
}

void hold_table::suspension::apply(std::int64_t sign)
{
    for (const auto& it : holds_.holds_) {
        if (it.job == job_) {
            holds_.vms_.hold(it.vm, it.amount * sign);
        }
    }
}

} // namespace rosemarytrail::placement::internal
