#include <rosemarytrail/placement/internal/drain_plan.hpp>

#include <algorithm>
#include <tuple>

namespace rosemarytrail::placement::internal {

namespace {

/** @brief VMs that are looked at if they suffice. */
constexpr std::size_t enough_vms = 128;

/** @brief From a moment on, one more task of the job fits on a VM. */
struct opening
{
    time_point at{};
    index vm{no_index};

    // NOLINTBEGIN(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const opening&,
                                          const opening&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

struct task_ending
{
    time_point at{};
    resources amount{};
};

[[nodiscard]] std::vector<task_ending> endings_on(const context& c, index vm,
                                                  time_point now)
{
    std::vector<task_ending> found;
    for (const auto& it : c.book.vms[vm].tasks) {
        const auto at =
            c.history.expected_end(c.book.jobs[it.job], c.book.task(it), now);
        if (at != time_point::max()) {
            found.push_back({.at = at, .amount = c.book.request(it)});
        }
    }
    std::sort(found.begin(), found.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    return found;
}

void add_openings(const context& c, index vm, const job_state& job,
                  std::size_t most, time_point now,
                  std::vector<opening>& openings)
{
    auto room = c.book.vms.room()[vm];
    const auto& request = job.spec.request;
    std::size_t n = 0;
    const auto take = [&](time_point at) {
        for (; n < most && request.fits_in(room); ++n) {
            room -= request;
            openings.push_back({.at = at, .vm = vm});
        }
    };
    take(now);
    for (const auto& it : endings_on(c, vm, now)) {
        room += it.amount;
        take(it.at);
    }
}

[[nodiscard]] drain_plan hold_openings(const std::vector<opening>& openings,
                                       std::size_t needed, index n,
                                       const resources& request)
{
    drain_plan plan{.ready_at = openings[needed - 1].at};
    std::vector<index> vms;
    for (std::size_t it = 0; it < needed; ++it) {
        vms.push_back(openings[it].vm);
    }
    std::sort(vms.begin(), vms.end());
    for (const index it : vms) {
        if (plan.holds.empty() || plan.holds.back().vm != it) {
            plan.holds.push_back({.job = n, .vm = it});
        }
        plan.holds.back().amount += request;
    }
    return plan;
}

} // namespace

std::optional<drain_plan> drain_planner::plan(const context& c, index n,
                                              std::size_t tasks, time_point now)
{
    const auto& job = c.book.jobs[n];
    const auto vms = c.book.vms.room().size();
    std::vector<opening> openings;
    for (std::size_t it = 0; it < vms; ++it) {
        if (it >= enough_vms && openings.size() >= tasks) {
            break;
        }
        next_ = next_ + 1 < vms ? next_ + 1 : 0;
        const auto vm = static_cast<index>(next_);
        const auto& state = c.book.vms[vm];
        if (c.book.vms.is_open(vm) && !state.suspect &&
            job.spec.request.fits_in(state.view.capacity)) {
            add_openings(c, vm, job, tasks, now, openings);
        }
    }
    if (tasks == 0 || openings.size() < tasks) {
        return std::nullopt;
    }
    std::sort(openings.begin(), openings.end());
    return hold_openings(openings, tasks, n, job.spec.request);
}

} // namespace rosemarytrail::placement::internal
