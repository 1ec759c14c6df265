#include <rosemarytrail/placement/internal/vm_health.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace rosemarytrail::placement::internal {

namespace {

/** @brief Evidence that suffices when it comes from distinct teams. */
constexpr double evidence_of_teams = 2.0;
/** @brief Evidence that suffices when it comes from one team. */
constexpr double evidence_of_team = 3.0;
/** @brief Evidence that suffices on probation. */
constexpr double evidence_on_probation = 1.0;
constexpr std::size_t most_failures = 16;
constexpr duration first_span = std::chrono::seconds{30};
constexpr std::uint32_t most_doublings = 7;
/** @brief From so many VMs on, one may be set aside at any fraction. */
constexpr std::size_t least_vms = 4;

} // namespace

bool vm_health::failed(ledger& book, task_key task, index vm, time_point now)
{
    if (vm >= records_.size()) {
        records_.resize(vm + 1);
    }
    auto& past = records_[vm];
    const auto& job = book.jobs[task.job];
    const auto is_same = [&](const failure& it) {
        return it.serial == job.serial;
    };
    const bool is_known =
        std::any_of(past.failures.begin(), past.failures.end(), is_same);
    if (!is_known && past.failures.size() < most_failures) {
        past.failures.push_back(
            {.task = task, .serial = job.serial, .team = job.team});
    }
    book.vms.set_suspect(vm, true);
    const bool is_due =
        !book.vms[vm].set_aside && is_evident(book, past) && is_below_cap(book);
    if (is_due) {
        set_aside(book, vm, now);
    }
    return is_due;
}

void vm_health::succeeded(ledger& book, index vm)
{
    book.vms.set_suspect(vm, false);
    if (vm < records_.size()) {
        records_[vm].failures.clear();
        records_[vm].times = 0;
    }
}

void vm_health::absolve(ledger& book, index n)
{
    const auto& job = book.jobs[n];
    for (const index vm : job.failed_on) {
        if (vm >= records_.size()) {
            continue;
        }
        auto& failures = records_[vm].failures;
        std::erase_if(failures, [&](const failure& it) {
            return it.serial == job.serial;
        });
        book.vms.set_suspect(vm, !failures.empty());
    }
}

void vm_health::end_set_aside(ledger& book, time_point now)
{
    std::erase_if(aside_, [&](index vm) {
        if (records_[vm].until > now) {
            return false;
        }
        records_[vm].failures.clear();
        book.vms.set_aside(vm, false);
        book.room_changed();
        return true;
    });
}

void vm_health::forget(index vm)
{
    if (vm < records_.size()) {
        records_[vm] = {};
        std::erase(aside_, vm);
    }
}

bool vm_health::is_evident(const ledger& book, const record& value) const
{
    double evidence = 0.0;
    bool is_one_team = true;
    for (const auto& it : value.failures) {
        const auto& job = book.jobs[it.task.job];
        const bool is_open = job.serial == it.serial && job.succeeded == 0;
        const auto vms = std::max<std::size_t>(job.failed_on.size(), 1);
        evidence += is_open ? 1.0 / static_cast<double>(vms) : 1.0;
        is_one_team = is_one_team && it.team == value.failures.front().team;
    }
    if (value.times > 0) {
        return evidence >= evidence_on_probation;
    }
    return evidence >= (is_one_team ? evidence_of_team : evidence_of_teams);
}

bool vm_health::is_below_cap(const ledger& book) const
{
    const auto vms = book.vms.present();
    const auto part = static_cast<double>(vms) * most_aside_;
    const std::size_t least = vms >= least_vms && most_aside_ > 0.0 ? 1 : 0;
    const auto most =
        std::max(least, static_cast<std::size_t>(std::floor(part)));
    return book.vms.aside() < most;
}

void vm_health::set_aside(ledger& book, index vm, time_point now)
{
    auto& past = records_[vm];
    const auto doublings = std::min(past.times, most_doublings);
    past.until = now + first_span * (1U << doublings);
    ++past.times;
    aside_.push_back(vm);
    book.vms.set_aside(vm, true);
    for (const auto& it : past.failures) {
        auto& job = book.jobs[it.task.job];
        if (job.serial != it.serial) {
            continue;
        }
        // The VM was at fault, so the job's own account is cleared of it.
        std::erase(job.failed_on, vm);
        auto& failures = book.task(it.task).failures;
        failures -= failures > 0 ? 1 : 0;
    }
}

} // namespace rosemarytrail::placement::internal
