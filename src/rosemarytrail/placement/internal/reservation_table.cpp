#include <rosemarytrail/placement/internal/reservation_table.hpp>

#include <algorithm>

namespace rosemarytrail::placement::internal {

void reservation_table::add(const reservation& value)
{
    reservations_.push_back(value);
    vms_.reserve(value.vm, value.amount);
}

void reservation_table::release(index job)
{
    std::erase_if(reservations_, [&](const reservation& it) {
        if (it.job == job) {
            vms_.reserve(it.vm, it.amount * -1);
        }
        return it.job == job;
    });
}

void reservation_table::release_one(index job, index vm)
{
    auto found = reservations_.end();
    for (auto it = reservations_.begin(); it != reservations_.end(); ++it) {
        if (it->job == job && (found == reservations_.end() || it->vm == vm)) {
            found = it;
        }
    }
    if (found != reservations_.end()) {
        const reservation released = *found;
        reservations_.erase(found);
        vms_.reserve(released.vm, released.amount * -1);
    }
}

bool reservation_table::release_expired(time_point now)
{
    const auto before = reservations_.size();
    std::erase_if(reservations_, [&](const reservation& it) {
        const auto& vm = vms_[it.vm];
        const bool is_open = vm.present && vm.view.accepting &&
                             vm.view.fenced && !vm.quarantined;
        const bool is_over = it.until <= now || !is_open;
        if (is_over) {
            vms_.reserve(it.vm, it.amount * -1);
        }
        return is_over;
    });
    return reservations_.size() != before;
}

std::size_t reservation_table::count(index job) const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(reservations_.begin(), reservations_.end(),
                      [&](const reservation& it) { return it.job == job; }));
}

resources reservation_table::reserved_on(index job, index vm) const noexcept
{
    resources sum;
    for (const auto& it : reservations_) {
        if (it.job == job && it.vm == vm) {
            sum += it.amount;
        }
    }
    return sum;
}

reservation_table::suspension::suspension(reservation_table& table, index job)
    : table_{table}
    , job_{job}
{
    apply(-1);
}

reservation_table::suspension::~suspension()
{
    apply(1);
}

void reservation_table::suspension::apply(std::int64_t sign)
{
    for (const auto& it : table_.reservations_) {
        if (it.job == job_) {
            table_.vms_.reserve(it.vm, it.amount * sign);
        }
    }
}

} // namespace rosemarytrail::placement::internal
