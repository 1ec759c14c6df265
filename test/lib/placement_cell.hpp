#ifndef ROSEMARYTRAIL_TEST_LIB_PLACEMENT_CELL_HPP
#define ROSEMARYTRAIL_TEST_LIB_PLACEMENT_CELL_HPP

#include <rosemarytrail/placement/scheduler.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rosemarytrail::test {

using namespace std::chrono_literals;

inline constexpr resources vm_size{16000, 65536, 2};

/** @brief Scheduler with VMs, teams and a simulated clock. */
struct placement_cell
{
    explicit placement_cell(placement::scheduler_options options = {})
        : scheduler{placement::make_scheduler(options)}
    {}

    /** @brief Adds VMs, two to a rack and two racks to a zone. */
    void add_vms(int n, bool fenced = true)
    {
        for (int it = 0; it < n; ++it) {
            upsert_vm(static_cast<int>(vms.size()), fenced);
        }
        set_fleet();
    }

    void upsert_vm(int n, bool fenced, bool accepting = true)
    {
        const vm_id vm{"vm" + std::to_string(n)};
        scheduler->upsert_vm({.vm = vm,
                              .rack = rack_id{"r" + std::to_string(n / 2)},
                              .zone = zone_id{"z" + std::to_string(n / 4)},
                              .capacity = vm_size,
                              .accepting = accepting,
                              .fenced = fenced});
        if (std::find(vms.begin(), vms.end(), vm) == vms.end()) {
            vms.push_back(vm);
        }
    }

    void set_fleet() const
    {
        const auto n = static_cast<std::int64_t>(vms.size());
        scheduler->set_fleet({.capacity = vm_size * n, .largest_vm = vm_size});
    }

    void add_team(const std::string& name, double weight = 1.0,
                  resources allowance = vm_size * 1000) const
    {
        scheduler->upsert_team(
            {.team = team_id{name}, .weight = weight, .allowance = allowance});
    }

    job_id add(const std::string& name, job_spec spec,
               bool before_takeover = false) const
    {
        spec.name = name;
        job_id id{name};
        scheduler->add_job(id, spec, before_takeover, now);
        return id;
    }

    /** @brief Makes decisions and reports each started task as running. */
    std::vector<placement::decision>
    decide(std::size_t max_decisions = 1000) const
    {
        auto made = scheduler->decide(now, max_decisions);
        for (const auto& it : made) {
            if (it.kind == placement::decision_kind::start) {
                scheduler->task_started(it.task, now);
            }
        }
        return made;
    }

    /** @brief Advances the clock and makes decisions. */
    std::vector<placement::decision> decide_after(duration elapsed)
    {
        now += elapsed;
        return decide();
    }

    void end(const task_ref& task, placement::task_end how) const
    {
        scheduler->task_ended(task, how, now);
    }

    /** @return Wait code of a job, if the job is known. */
    [[nodiscard]] std::optional<result_code> wait_code(const job_id& job) const
    {
        const auto report = scheduler->explain(job, now);
        return report ? std::optional{report->code} : std::nullopt;
    }

    std::unique_ptr<placement::scheduler> scheduler;
    std::vector<vm_id> vms;
    time_point now{1h};
};

/** @return Decisions of one kind. */
inline std::vector<placement::decision>
only(const std::vector<placement::decision>& all, placement::decision_kind kind)
{
    std::vector<placement::decision> found;
    std::copy_if(all.begin(), all.end(), std::back_inserter(found),
                 [&](const auto& it) { return it.kind == kind; });
    return found;
}

} // namespace rosemarytrail::test

#endif
