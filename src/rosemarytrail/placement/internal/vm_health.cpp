#include <rosemarytrail/placement/internal/vm_health.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace rosemarytrail::placement::internal {

namespace {

/** @brief Quarantine threshold for failures of several teams. */
constexpr double min_evidence_several_teams = 2.0;
/** @brief Quarantine threshold for failures of a single team. */
constexpr double min_evidence_one_team = 3.0;
/** @brief Quarantine threshold for a VM on probation. */
constexpr double min_evidence_on_probation = 1.0;
constexpr std::size_t max_failures = 16;
constexpr duration base_quarantine_time = std::chrono::seconds{30};
constexpr std::uint32_t max_doublings = 7;
/**
 * @brief Number of VMs from which one may be quarantined at any nonzero
 * fraction.
 */
constexpr std::size_t min_vms = 4;

} // namespace

bool vm_health::failed(allocation_state& tables, task_key task, index vm,
                       time_point now)
{
    if (vm >= records_.size()) {
        records_.resize(vm + 1);
    }
    auto& entry = records_[vm];
    const auto& job = tables.jobs[task.job];
    const auto is_same = [&](const failure& it) {
        return it.serial == job.serial;
    };
    const bool is_known =
        std::any_of(entry.failures.begin(), entry.failures.end(), is_same);
    if (!is_known && entry.failures.size() < max_failures) {
        entry.failures.push_back(
            {.task = task, .serial = job.serial, .team = job.team});
    }
    tables.vms.set_suspect(vm, true);
    const bool should_quarantine = !tables.vms[vm].quarantined &&
                                   has_enough_evidence(tables, entry) &&
                                   is_below_cap(tables);
    if (should_quarantine) {
        quarantine(tables, vm, now);
    }
    return should_quarantine;
}

void vm_health::succeeded(allocation_state& tables, index vm)
{
    tables.vms.set_suspect(vm, false);
    if (vm < records_.size()) {
        records_[vm].failures.clear();
        records_[vm].quarantines = 0;
    }
}

void vm_health::clear_failures(allocation_state& tables, index n)
{
    const auto& job = tables.jobs[n];
    for (const index vm : job.failed_on) {
        if (vm >= records_.size()) {
            continue;
        }
        auto& failures = records_[vm].failures;
        std::erase_if(failures, [&](const failure& it) {
            return it.serial == job.serial;
        });
        tables.vms.set_suspect(vm, !failures.empty());
    }
}

void vm_health::release_quarantined(allocation_state& tables, time_point now)
{
    std::erase_if(quarantined_, [&](index vm) {
        if (records_[vm].until > now) {
            return false;
        }
        records_[vm].failures.clear();
        tables.vms.set_quarantined(vm, false);
        tables.capacity_changed();
        return true;
    });
}

void vm_health::forget(index vm)
{
    if (vm < records_.size()) {
        records_[vm] = {};
        std::erase(quarantined_, vm);
    }
}

bool vm_health::has_enough_evidence(const allocation_state& tables,
                                    const record& value) const
{
    double evidence = 0.0;
    bool is_one_team = true;
    for (const auto& it : value.failures) {
        const auto& job = tables.jobs[it.task.job];
        const bool has_no_success =
            job.serial == it.serial && job.succeeded == 0;
        const auto vms = std::max<std::size_t>(job.failed_on.size(), 1);
        evidence += has_no_success ? 1.0 / static_cast<double>(vms) : 1.0;
        is_one_team = is_one_team && it.team == value.failures.front().team;
    }
    if (value.quarantines > 0) {
        return evidence >= min_evidence_on_probation;
    }
    return evidence >=
           (is_one_team ? min_evidence_one_team : min_evidence_several_teams);
}

bool vm_health::is_below_cap(const allocation_state& tables) const
{
    const auto vms = tables.vms.present();
    const auto share = static_cast<double>(vms) * max_quarantined_fraction_;
    const std::size_t min_limit =
        vms >= min_vms && max_quarantined_fraction_ > 0.0 ? 1 : 0;
    const auto limit =
        std::max(min_limit, static_cast<std::size_t>(std::floor(share)));
    return tables.vms.quarantined_count() < limit;
}

void vm_health::quarantine(allocation_state& tables, index vm, time_point now)
{
    auto& entry = records_[vm];
    const auto doublings = std::min(entry.quarantines, max_doublings);
    entry.until = now + base_quarantine_time * (1U << doublings);
    ++entry.quarantines;
    quarantined_.push_back(vm);
    tables.vms.set_quarantined(vm, true);
    for (const auto& it : entry.failures) {
        auto& job = tables.jobs[it.task.job];
        if (job.serial != it.serial) {
            continue;
        }
        // The VM is faulty, so its failures do not count against the job.
        std::erase(job.failed_on, vm);
        auto& failures = tables.task(it.task).failures;
        failures -= failures > 0 ? 1 : 0;
    }
}

} // namespace rosemarytrail::placement::internal
