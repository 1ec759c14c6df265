#include <rosemarytrail/placement/internal/drain_plan.hpp>

#include <algorithm>
#include <tuple>

namespace rosemarytrail::placement::internal {

namespace {

/** @brief VMs to scan; more are scanned only if these have too few slots. */
constexpr std::size_t vms_per_scan = 128;

/** @brief Time from which one more task of the job fits on a VM. */
struct slot
{
    time_point at{};
    index vm{no_index};

    // NOLINTBEGIN(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const slot&, const slot&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

struct expected_release
{
    time_point at{};
    resources amount{};
};

[[nodiscard]] std::vector<expected_release>
expected_releases(const context& c, index vm, time_point now)
{
    std::vector<expected_release> found;
    for (const auto& it : c.tables.vms[vm].tasks) {
        const auto at = c.history.expected_end(c.tables.jobs[it.job],
                                               c.tables.task(it), now);
        if (at != time_point::max()) {
            found.push_back({.at = at, .amount = c.tables.request(it)});
        }
    }
    std::sort(found.begin(), found.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    return found;
}

void add_slots(const context& c, index vm, const job_state& job,
               std::size_t max_slots, time_point now, std::vector<slot>& slots)
{
    auto available = c.tables.vms.available()[vm];
    const auto& request = job.spec.request;
    std::size_t n = 0;
    const auto add_fitting = [&](time_point at) {
        for (; n < max_slots && request.fits_in(available); ++n) {
            available -= request;
            slots.push_back({.at = at, .vm = vm});
        }
    };
    add_fitting(now);
    for (const auto& it : expected_releases(c, vm, now)) {
        available += it.amount;
        add_fitting(it.at);
    }
}

[[nodiscard]] drain_plan reserve_slots(const std::vector<slot>& slots,
                                       std::size_t needed, index n,
                                       const resources& request)
{
    drain_plan plan{.ready_at = slots[needed - 1].at};
    std::vector<index> vms;
    for (std::size_t it = 0; it < needed; ++it) {
        vms.push_back(slots[it].vm);
    }
    std::sort(vms.begin(), vms.end());
    for (const index it : vms) {
        if (plan.reservations.empty() || plan.reservations.back().vm != it) {
            plan.reservations.push_back({.job = n, .vm = it});
        }
        plan.reservations.back().amount += request;
    }
    return plan;
}

} // namespace

std::optional<drain_plan> drain_planner::plan(const context& c, index n,
                                              std::size_t tasks, time_point now)
{
    const auto& job = c.tables.jobs[n];
    const auto vms = c.tables.vms.available().size();
    std::vector<slot> slots;
    for (std::size_t it = 0; it < vms; ++it) {
        if (it >= vms_per_scan && slots.size() >= tasks) {
            break;
        }
        next_ = next_ + 1 < vms ? next_ + 1 : 0;
        const auto vm = static_cast<index>(next_);
        const auto& state = c.tables.vms[vm];
        if (c.tables.vms.is_open(vm) && !state.suspect &&
            job.spec.request.fits_in(state.view.capacity)) {
            add_slots(c, vm, job, tasks, now, slots);
        }
    }
    if (tasks == 0 || slots.size() < tasks) {
        return std::nullopt;
    }
    std::sort(slots.begin(), slots.end());
    return reserve_slots(slots, tasks, n, job.spec.request);
}

} // namespace rosemarytrail::placement::internal
