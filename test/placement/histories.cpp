#include <test/lib/placement_cell.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

namespace rosemarytrail::placement {

namespace {

using test::placement_cell;

using namespace std::chrono_literals;

/** @brief State derived from the decisions and the reported task ends. */
struct reference_model
{
    struct job_record
    {
        job_spec spec;
        bool has_ended{false};
        /** @brief A task ended or was stopped, so a gang may run partially. */
        bool may_be_partial{false};
        std::uint32_t running{};
    };

    placement_cell cell;
    std::map<task_ref, decision> committed;
    std::map<std::string, resources> allowances;
    std::map<job_id, job_record> jobs;
    /** @brief Teams whose allowance was lowered below their use. */
    std::set<team_id> lowered;
    std::set<std::pair<task_ref, std::uint32_t>> attempts;
    std::set<vm_id> fenced;

    void check_sums() const
    {
        std::map<vm_id, resources> by_vm;
        std::map<team_id, resources> by_team;
        for (const auto& [task, it] : committed) {
            by_vm[it.vm] += it.request;
            by_team[jobs.at(task.job).spec.team] += it.request;
        }
        for (const auto& vm : cell.vms) {
            RC_ASSERT(by_vm[vm].fits_in(test::vm_size));
            RC_ASSERT(by_vm[vm] == cell.scheduler->committed_on(vm));
        }
        for (const auto& [name, allowance] : allowances) {
            const team_id team{name};
            RC_ASSERT(by_team[team] == cell.scheduler->used_by(team));
        }
    }

    void apply_start(const decision& it)
    {
        auto& job = jobs.at(it.task.job);
        RC_ASSERT(!job.has_ended);
        RC_ASSERT(committed.count(it.task) == 0);
        RC_ASSERT(attempts.insert({it.task, it.attempt}).second);
        RC_ASSERT(fenced.count(it.vm) == 1);
        committed[it.task] = it;
        ++job.running;
        const auto& team = job.spec.team;
        const auto used = cell.scheduler->used_by(team);
        const bool fits = used.fits_in(allowances.at(team.str()));
        RC_ASSERT(fits || lowered.count(team) == 1);
    }

    void apply(const decision& it)
    {
        switch (it.kind) {
        case decision_kind::start:
            apply_start(it);
            break;
        case decision_kind::reject:
            jobs.at(it.task.job).has_ended = true;
            break;
        case decision_kind::stop:
        case decision_kind::checkpoint:
            RC_ASSERT(committed.count(it.task) == 1);
            jobs.at(it.task.job).may_be_partial = true;
            break;
        }
    }

    void check_gangs() const
    {
        for (const auto& [id, it] : jobs) {
            const bool is_whole_gang = it.spec.policy == job_class::gang &&
                                       !it.has_ended && !it.may_be_partial;
            RC_ASSERT(!is_whole_gang || it.running == 0 ||
                      it.running == it.spec.tasks);
        }
    }

    void end_some(std::size_t nth, task_end how)
    {
        if (committed.empty()) {
            return;
        }
        auto it = committed.begin();
        std::advance(it, nth % committed.size());
        end(it->first, how);
    }

    void end(const task_ref& task, task_end how)
    {
        const task_ref ended = task;
        committed.erase(ended);
        jobs.at(ended.job).may_be_partial = true;
        cell.scheduler->task_ended(ended, how, cell.now);
    }
};

job_spec random_spec()
{
    const auto team = *rc::gen::inRange(0, 3);
    const auto policy = *rc::gen::inRange(0, 3);
    return {.team = team_id{"t" + std::to_string(team)},
            .policy = static_cast<job_class>(policy),
            .tasks = *rc::gen::inRange<std::uint32_t>(1, 6),
            .request = {*rc::gen::inRange<std::int64_t>(1, 17000),
                        *rc::gen::inRange<std::int64_t>(1, 66000),
                        *rc::gen::inRange<std::int64_t>(0, 3)},
            .run_time = std::chrono::seconds{*rc::gen::inRange(0, 20)},
            .urgent = *rc::gen::inRange(0, 4) == 0,
            .priority = *rc::gen::inRange<std::uint8_t>(0, 10),
            .checkpointable = *rc::gen::arbitrary<bool>()};
}

void set_team(reference_model& model, int n, std::int64_t vms)
{
    const std::string name = "t" + std::to_string(n);
    model.allowances[name] = test::vm_size * vms;
    const team_id team{name};
    if (!model.cell.scheduler->used_by(team).fits_in(model.allowances[name])) {
        model.lowered.insert(team);
    }
    model.cell.add_team(name, 1.0 + n, model.allowances[name]);
}

void set_vm(reference_model& model, int n, bool fenced, bool accepting)
{
    model.cell.upsert_vm(n, fenced, accepting);
    const vm_id vm{"vm" + std::to_string(n)};
    fenced ? (void)model.fenced.insert(vm) : (void)model.fenced.erase(vm);
}

void remove_vm(reference_model& model, int n)
{
    const vm_id vm{"vm" + std::to_string(n)};
    const auto all = model.committed;
    for (const auto& [task, it] : all) {
        if (it.vm == vm) {
            model.end(task, task_end::lost);
        }
    }
    model.cell.scheduler->remove_vm(vm);
    model.fenced.erase(vm);
}

void cancel(reference_model& model, std::size_t nth)
{
    if (model.jobs.empty()) {
        return;
    }
    auto it = model.jobs.begin();
    std::advance(it, nth % model.jobs.size());
    it->second.has_ended = true;
    for (const auto& stop :
         model.cell.scheduler->cancel_job(it->first, model.cell.now)) {
        RC_ASSERT(model.committed.count(stop.task) == 1);
    }
}

void step(reference_model& model, int serial)
{
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
    case 1:
    case 2: {
        const job_id id{"j" + std::to_string(serial)};
        const auto spec = random_spec();
        model.jobs[id] = {.spec = spec};
        model.cell.scheduler->add_job(id, spec, *rc::gen::arbitrary<bool>(),
                                      model.cell.now);
        break;
    }
    case 3:
        cancel(model, *rc::gen::inRange<std::size_t>(0, 50));
        break;
    case 4:
        set_team(model, *rc::gen::inRange(0, 3), *rc::gen::inRange(0, 8));
        break;
    case 5:
        set_vm(model, *rc::gen::inRange(0, 6), *rc::gen::arbitrary<bool>(),
               *rc::gen::arbitrary<bool>());
        break;
    case 6:
        remove_vm(model, *rc::gen::inRange(0, 6));
        break;
    case 7:
    case 8:
    case 9:
        model.end_some(*rc::gen::inRange<std::size_t>(0, 50),
                       static_cast<task_end>(*rc::gen::inRange(0, 5)));
        break;
    default:
        model.cell.now += std::chrono::milliseconds{*rc::gen::inRange(0, 4000)};
        break;
    }
}

void decide(reference_model& model)
{
    const auto max_decisions = *rc::gen::inRange<std::size_t>(1, 40);
    const auto made =
        model.cell.scheduler->decide(model.cell.now, max_decisions);
    RC_ASSERT(made.size() <= max_decisions);
    for (const auto& it : made) {
        model.apply(it);
    }
}

/** @brief Fetches the decisions that did not fit into previous calls. */
void drain_decisions(reference_model& model)
{
    for (;;) {
        const auto made = model.cell.scheduler->decide(model.cell.now, 1000);
        if (made.empty()) {
            break;
        }
        for (const auto& it : made) {
            model.apply(it);
        }
    }
    std::erase_if(model.lowered, [&](const team_id& it) {
        const auto used = model.cell.scheduler->used_by(it);
        return used.fits_in(model.allowances.at(it.str()));
    });
}

} // namespace

TEST_CASE("random operations violate no invariant", "[placement]")
{
    const int round = GENERATE(range(0, 10));
    const std::string name = "history " + std::to_string(round);
    const bool holds = rc::check(name, [] {
        reference_model model;
        for (int it = 0; it < 6; ++it) {
            set_vm(model, it, true, true);
        }
        model.cell.set_fleet();
        for (int it = 0; it < 3; ++it) {
            set_team(model, it, 4);
        }
        const int steps = *rc::gen::inRange(1, 150);
        for (int it = 0; it < steps; ++it) {
            step(model, it);
            decide(model);
            if (it % 4 == 0) {
                drain_decisions(model);
                model.check_sums();
                model.check_gangs();
            }
        }
    });
    REQUIRE(holds);
}

} // namespace rosemarytrail::placement
