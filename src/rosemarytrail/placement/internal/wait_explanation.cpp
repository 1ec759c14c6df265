#include <rosemarytrail/placement/internal/wait_explanation.hpp>

#include <rosemarytrail/placement/internal/allowance.hpp>

#include <algorithm>
#include <string>

namespace rosemarytrail::placement::internal {

namespace {

[[nodiscard]] std::string text_of(const resources& value)
{
    return std::to_string(value.millicores) + " millicores, " +
           std::to_string(value.memory_mib) + " MiB, " +
           std::to_string(value.accelerators) + " accelerators";
}

/** @return Decision time of the oldest start without a response. */
[[nodiscard]] std::optional<time_point> unanswered_since(const job_state& job)
{
    std::optional<time_point> since;
    for (const auto& it : job.tasks) {
        if (it.phase == task_phase::committed) {
            since = since ? std::min(*since, it.since) : it.since;
        }
    }
    return since;
}

[[nodiscard]] std::string detail_of(const context& c, const gang_drain& drain,
                                    index n, result_code code)
{
    const auto& job = c.tables.jobs[n];
    const auto& team = c.tables.teams[job.team];
    const auto needs = text_of(start_demand(job));
    switch (code) {
    case result_code::waiting_for_fence:
        return std::to_string(c.tables.vms.unfenced()) +
               " VMs are not fenced yet";
    case result_code::waiting_for_allowance:
        return "needs " + needs + "; the team uses " + text_of(team.used) +
               " of " + text_of(team.view.allowance);
    case result_code::waiting_for_gang:
        return std::to_string(job.ready.size()) + " of " +
               std::to_string(job.unended()) + " tasks are ready; needs " +
               needs +
               (drain.is_reserved_for(c, n) ? "; VMs are being drained for it"
                                            : "");
    case result_code::waiting_for_retry:
        return "last failure: " + std::string{describe(job.last_failure).name};
    case result_code::waiting_for_room:
        return "needs " + needs + " on a single VM";
    default:
        return std::string{describe(code).meaning};
    }
}

[[nodiscard]] result_code code_of(const context& c, const gang_drain& drain,
                                  index n)
{
    const auto& job = c.tables.jobs[n];
    if (job.before_takeover && c.tables.vms.unfenced() > 0) {
        return result_code::waiting_for_fence;
    }
    if (job.ready.empty()) {
        return result_code::waiting_for_retry;
    }
    const auto allowance =
        check_allowance(c.tables, n, drain.reserved_for(c, n));
    const bool is_complete =
        job.spec.policy != job_class::gang || job.ready.size() == job.unended();
    if (allowance != result_code::ok && is_complete) {
        return allowance;
    }
    const bool is_outdated =
        job.wait_code == result_code::waiting_for_fence ||
        job.wait_code == result_code::waiting_for_allowance;
    return is_outdated ? result_code::waiting_for_turn : job.wait_code;
}

} // namespace

wait_report explain_wait(const context& c, const gang_drain& drain, index n,
                         time_point now)
{
    const auto& job = c.tables.jobs[n];
    if (job.queued() > 0) {
        const auto code = code_of(c, drain, n);
        return {.code = code,
                .detail = detail_of(c, drain, n, code),
                .since = job.wait_since};
    }
    const auto since = unanswered_since(job);
    if (since) {
        return {.code = result_code::waiting_for_answer,
                .detail = "a start was decided and its result is unknown",
                .since = *since};
    }
    return {.code = result_code::ok, .detail = "runs", .since = now};
}

} // namespace rosemarytrail::placement::internal
