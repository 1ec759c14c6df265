#ifndef ROSEMARYTRAIL_BENCH_PLACEMENT_BASELINES_HPP
#define ROSEMARYTRAIL_BENCH_PLACEMENT_BASELINES_HPP

#include <rosemarytrail/placement/scheduler.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rosemarytrail::bench {

/**
 * @brief First fit without shares, classes, reservations or evidence.
 *
 * Both baselines keep VMs and allowances within bounds; they differ from each
 * other only in whose job is looked at next.
 */
class first_fit_scheduler : public placement::scheduler
{
public:
    void upsert_vm(const placement::vm_view& vm) override
    {
        vms_.push_back({.view = vm});
        numbers_[vm.vm] = vms_.size() - 1;
    }
    void remove_vm(const vm_id&) override {}
    void upsert_team(const placement::team_view& team) override
    {
        teams_[team.team].view = team;
    }
    void set_fleet(const placement::fleet_totals&) override {}
    void adopt_task(const task_ref&, std::uint32_t, const vm_id&,
                    time_point) override
    {}
    void mark_task_ended(const task_ref&) override {}
    void task_started(const task_ref&, time_point) override {}
    [[nodiscard]] std::optional<placement::wait_report>
    explain(const job_id&, time_point) const override
    {
        return std::nullopt;
    }

    void add_job(const job_id& id, const job_spec& spec, bool,
                 time_point) override
    {
        auto& job = jobs_[id];
        job.spec = spec;
        for (std::uint32_t it = 0; it < spec.tasks; ++it) {
            job.ready.push_back(it);
        }
        queue_of(spec.team).push_back(id);
    }

    [[nodiscard]] std::vector<placement::decision>
    cancel_job(const job_id& id, time_point) override
    {
        std::vector<placement::decision> stops;
        for (const auto& [task, vm] : running_) {
            if (task.job == id) {
                stops.push_back({.kind = placement::decision_kind::stop,
                                 .task = task,
                                 .vm = vms_[vm].view.vm});
            }
        }
        jobs_[id].is_over = true;
        jobs_[id].ready.clear();
        return stops;
    }

    void task_ended(const task_ref& task, placement::task_end end,
                    time_point) override
    {
        const auto it = running_.find(task);
        if (it == running_.end()) {
            return;
        }
        auto& job = jobs_[task.job];
        vms_[it->second].used -= job.spec.request;
        teams_[job.spec.team].used -= job.spec.request;
        running_.erase(it);
        if (end != placement::task_end::succeeded && !job.is_over) {
            job.ready.push_back(task.index);
            queue_of(job.spec.team).push_back(task.job);
        }
    }

    [[nodiscard]] std::vector<placement::decision>
    decide(time_point, std::size_t most) override
    {
        std::vector<placement::decision> made;
        while (made.size() < most && decide_next(made)) {
        }
        return made;
    }

    [[nodiscard]] resources used_by(const team_id& team) const override
    {
        return teams_.at(team).used;
    }
    [[nodiscard]] resources queued_by(const team_id&) const override
    {
        return {};
    }
    [[nodiscard]] resources committed_on(const vm_id& vm) const override
    {
        return vms_[numbers_.at(vm)].used;
    }

protected:
    using job_queue = std::deque<job_id>;

    /** @return Queue that a job of the team joins. */
    virtual job_queue& queue_of(const team_id& team) = 0;

    /** @brief Starts one task or gang; false if nothing can start. */
    virtual bool decide_next(std::vector<placement::decision>& made) = 0;

    /** @brief Starts the first job of a queue that fits. */
    bool start_from(job_queue& queue, std::vector<placement::decision>& made)
    {
        constexpr std::size_t most_passed_over = 256;
        for (std::size_t it = 0; it < queue.size() && it < most_passed_over;) {
            auto& job = jobs_[queue[it]];
            if (job.ready.empty()) {
                queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(it));
            } else if (start(queue[it], job, made)) {
                return true;
            } else {
                ++it;
            }
        }
        return false;
    }

private:
    struct vm_record
    {
        placement::vm_view view{};
        resources used{};
    };
    struct team_record
    {
        placement::team_view view{};
        resources used{};
    };
    struct job_record
    {
        job_spec spec{};
        std::deque<std::uint32_t> ready;
        std::uint32_t attempt{};
        bool is_over{};
    };

    bool start(const job_id& id, job_record& job,
               std::vector<placement::decision>& made)
    {
        const bool is_gang = job.spec.policy == job_class::gang;
        const std::size_t n = is_gang ? job.ready.size() : 1;
        const auto before = made.size();
        while (made.size() < before + n && start_one(id, job, made)) {
        }
        const bool is_whole = made.size() == before + n;
        while (!is_whole && made.size() > before) {
            take_back(job, made);
        }
        return is_whole;
    }

    bool start_one(const job_id& id, job_record& job,
                   std::vector<placement::decision>& made)
    {
        auto& team = teams_[job.spec.team];
        if (!(team.used + job.spec.request).fits_in(team.view.allowance)) {
            return false;
        }
        for (std::size_t it = 0; it < vms_.size(); ++it) {
            auto& vm = vms_[it];
            if (!(vm.used + job.spec.request).fits_in(vm.view.capacity)) {
                continue;
            }
            const task_ref task{.job = id, .index = job.ready.front()};
            job.ready.pop_front();
            vm.used += job.spec.request;
            team.used += job.spec.request;
            running_[task] = it;
            made.push_back({.task = task,
                            .attempt = ++job.attempt,
                            .vm = vm.view.vm,
                            .request = job.spec.request});
            return true;
        }
        return false;
    }

    void take_back(job_record& job, std::vector<placement::decision>& made)
    {
        const auto& task = made.back().task;
        vms_[running_[task]].used -= job.spec.request;
        teams_[job.spec.team].used -= job.spec.request;
        running_.erase(task);
        job.ready.push_front(task.index);
        made.pop_back();
    }

    std::vector<vm_record> vms_;
    std::unordered_map<vm_id, std::size_t> numbers_;
    std::unordered_map<task_ref, std::size_t> running_;

protected:
    std::unordered_map<job_id, job_record> jobs_;
    std::map<team_id, team_record> teams_;
};

/** @brief Jobs in the order in which they came. */
class first_come_scheduler final : public first_fit_scheduler
{
protected:
    job_queue& queue_of(const team_id&) override { return queue_; }
    bool decide_next(std::vector<placement::decision>& made) override
    {
        return start_from(queue_, made);
    }

private:
    job_queue queue_;
};

/** @brief Teams in turn, jobs of a team in the order in which they came. */
class round_robin_scheduler final : public first_fit_scheduler
{
protected:
    job_queue& queue_of(const team_id& team) override { return queues_[team]; }
    bool decide_next(std::vector<placement::decision>& made) override
    {
        for (std::size_t it = 0; it < queues_.size(); ++it) {
            auto next = queues_.upper_bound(last_);
            next = next == queues_.end() ? queues_.begin() : next;
            last_ = next->first;
            if (start_from(next->second, made)) {
                return true;
            }
        }
        return false;
    }

private:
    std::map<team_id, job_queue> queues_;
    team_id last_{};
};

} // namespace rosemarytrail::bench

#endif
