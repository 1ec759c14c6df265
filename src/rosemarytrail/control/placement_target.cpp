#include <rosemarytrail/control/placement_target.hpp>

#include <algorithm>
#include <string>

namespace rosemarytrail::control {

namespace {

[[nodiscard]] std::string text_of(const resources& it)
{
    return std::to_string(it.millicores) + " millicores, " +
           std::to_string(it.memory_mib) + " MiB, " +
           std::to_string(it.accelerators) + " accelerators";
}

/** Worst fit for services, best fit for all other jobs. */
[[nodiscard]] bool fits_better(job_class policy, const partition_summary& lhs,
                               const partition_summary& rhs) noexcept
{
    if (policy == job_class::service) {
        return lhs.free.millicores > rhs.free.millicores;
    }
    return lhs.free.millicores < rhs.free.millicores;
}

[[nodiscard]] double backlog(const partition_summary& it) noexcept
{
    return static_cast<double>(it.queued_tasks + 1) /
           static_cast<double>(
               std::max<std::int64_t>(1, it.capacity.millicores));
}

} // namespace

std::optional<partition_id>
choose_partition(const job_spec& spec,
                 std::span<const partition_summary> partitions)
{
    const auto need = spec.request * spec.tasks;
    const partition_summary* fit = nullptr;
    const partition_summary* shortest = nullptr;
    for (const auto& it : partitions) {
        if (it.vms == 0) {
            continue;
        }
        const bool holds = it.queued_tasks == 0 && need.fits_in(it.free) &&
                           spec.request.fits_in(it.largest_room);
        if (holds && (fit == nullptr || fits_better(spec.policy, it, *fit))) {
            fit = &it;
        }
        const bool large_enough =
            spec.policy != job_class::gang || need.fits_in(it.capacity);
        const bool better =
            shortest == nullptr || backlog(it) < backlog(*shortest);
        if (large_enough && better) {
            shortest = &it;
        }
    }
    if (fit != nullptr) {
        return fit->partition;
    }
    if (shortest != nullptr) {
        return shortest->partition;
    }
    const auto largest = std::max_element(partitions.begin(), partitions.end(),
                                          [](const auto& lhs, const auto& rhs) {
                                              return lhs.capacity.millicores <
                                                     rhs.capacity.millicores;
                                          });
    if (largest == partitions.end() || largest->vms == 0) {
        return std::nullopt;
    }
    return largest->partition;
}

std::optional<reason> never_runs(const job_spec& spec, const resources& limit,
                                 const resources& largest_vm,
                                 const resources& fleet)
{
    if (!largest_vm.is_zero() && !spec.request.fits_in(largest_vm)) {
        return reason{.code = result_code::never_fits,
                      .detail = "request: " + text_of(spec.request) +
                                "; the largest VM has " + text_of(largest_vm)};
    }
    const auto together = spec.policy == job_class::gang
                              ? spec.request * spec.tasks
                              : spec.request;
    if (!together.fits_in(limit)) {
        return reason{.code = result_code::over_team_limit,
                      .detail = "needs at once: " + text_of(together) +
                                "; the limit of the team is " + text_of(limit)};
    }
    if (!fleet.is_zero() && !together.fits_in(fleet)) {
        return reason{.code = result_code::never_fits,
                      .detail = "needs at once: " + text_of(together) +
                                "; the whole fleet has " + text_of(fleet)};
    }
    return std::nullopt;
}

} // namespace rosemarytrail::control
