#include "scenario.hpp"

#include <rosemarytrail/state/record.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace rosemarytrail::test {

namespace {

using namespace std::chrono_literals;

constexpr resources salmon_limit{.millicores = 20'000, .memory_mib = 100'000};
constexpr resources trout_limit{.millicores = 24'000, .memory_mib = 100'000};
/** Longest time in which a step must be reached. */
constexpr duration step_limit = 60s;
/** How long a fault lasts; longer than a lease. */
constexpr duration fault_span = 25s;
/** When more work comes during a fault; a leaving VM is known by then. */
constexpr duration until_later_work = 6s;
/** Longest time in which all is well again. */
constexpr duration recovery_limit = 150s;

} // namespace

job_spec small_job(std::uint32_t tasks, duration run_time)
{
    return {.name = "nightly",
            .team = team_id{"salmon"},
            .policy = job_class::batch,
            .tasks = tasks,
            .request = {.millicores = 1000, .memory_mib = 256},
            .run_time = run_time,
            .max_attempts = 20};
}

scenario::scenario(const fault_step& it, std::span<const fault* const> with)
    : step{it}
    , faults(with.begin(), with.end())
    , world{cell_options{}}
{
    world.on_message = [this](const message_event& event, message_fate& fate) {
        on_message(event, fate);
    };
}

void scenario::run()
{
    prepare();
    armed = step.is_step != nullptr;
    step.act(*this);
    if (!step.is_step) {
        strike();
    }
    if (!world.run_until(step_limit, [this] { return struck; })) {
        broken.insert("the step was not reached");
    }
    world.run_for(until_later_work);
    submit_later();
    world.run_for(fault_span - until_later_work);
    check_read_your_writes();
    heal();
    finish();
    broken.insert(world.broken().begin(), world.broken().end());
}

void scenario::prepare()
{
    if (!world.settle() || !world.publish_team("salmon", salmon_limit) ||
        !world.publish_team("trout", trout_limit)) {
        broken.insert("the cell did not settle");
        return;
    }
    for (const auto& it : world.daemons[0].controller->config()) {
        if (it.name == "team/salmon") {
            team_revision = it.revision;
        }
    }
    const auto key = world.publish_key(0, "k1", "salmon", false, 0);
    key_revision = key.revision.value_or(0);
    auto service = small_job(2, {});
    service.policy = job_class::service;
    service.service = service_id{"plugs"};
    submit(0, service);
    submit(1, small_job(6, 6s));
    world.run_for(2s);
}

void scenario::submit(std::size_t daemon, const job_spec& spec)
{
    const auto id = "s" + std::to_string(submissions.size());
    submissions.push_back({.id = id, .team = spec.team});
    auto outcome = world.submit(daemon, spec, id);
    submissions.back().outcome = std::move(outcome);
}

void scenario::book(std::size_t daemon)
{
    const auto key = "b" + std::to_string(bookings.size());
    bookings.push_back(
        {.key = key, .answer = world.request(daemon, "POST", key)});
}

void scenario::note_records(const std::string& payload)
{
    std::uint64_t unknown = 0;
    reason why;
    const auto batch = state::decode(payload, unknown, why);
    if (!batch) {
        return;
    }
    for (const auto& it : batch->records) {
        if (const auto* job = std::get_if<state::job_accepted>(&it)) {
            logged_submissions.insert(job->submission);
        } else if (const auto* ended =
                       std::get_if<state::tasks_finished>(&it)) {
            for (const auto& task : ended->tasks) {
                finished_tasks.emplace(task.task, world.time.now());
            }
        }
    }
}

void scenario::on_message(const message_event& event, message_fate& fate)
{
    const bool logged = event.to == message_peer::log_append &&
                        event.stage == message_stage::taken_effect;
    if (logged) {
        note_records(*event.payload);
    }
    if (event.to == message_peer::worker) {
        check_starts(*event.batch);
    }
    if (!armed || !step.is_step(*this, event)) {
        return;
    }
    armed = false;
    actor = event.daemon;
    for (std::size_t n = 0; n < world.workers.size(); ++n) {
        if (world.workers[n].entry.vm == event.vm) {
            vm = n;
        }
    }
    for (const auto* it : faults) {
        fate.never_sent |= step.before_sending && it->kills_actor;
        if (it->change_message) {
            it->change_message(fate);
        }
    }
    world.time.after(step.after, [this] { strike(); });
}

void scenario::check_starts(const backends::worker_batch& batch)
{
    constexpr duration time_to_learn = 2s;
    for (const auto& it : batch.commands) {
        const auto ended = finished_tasks.find(it.task);
        if (it.kind == backends::command_kind::start &&
            ended != finished_tasks.end() &&
            world.time.now() > ended->second + time_to_learn) {
            broken.insert("a task was started after its end was recorded");
        }
    }
}

void scenario::strike()
{
    for (const auto* it : faults) {
        it->strike(*this);
    }
    struck = true;
}

/** Work for most of the cell, so that a VM that must get none is tempted. */
void scenario::submit_later()
{
    const auto daemon = a_running_daemon();
    if (daemon != world.daemons.size()) {
        auto wide = small_job(20, 1s);
        wide.team = team_id{"trout"};
        submit(daemon, wide);
    }
}

void scenario::heal()
{
    for (const auto* it : faults) {
        it->heal(*this);
    }
    for (std::size_t n = 0; n < world.daemons.size(); ++n) {
        const auto& controller = world.daemons[n].controller;
        if (!controller || controller->shutdown_complete()) {
            world.start(n);
        }
    }
}

std::size_t scenario::a_running_daemon() const
{
    for (std::size_t n = 0; n < world.daemons.size(); ++n) {
        if (world.running(n) &&
            !world.daemons[n].controller->not_ready(world.time.now())) {
            return n;
        }
    }
    return world.daemons.size();
}

void scenario::finish()
{
    if (!world.run_until(recovery_limit, [this] { return all_over(); })) {
        check_jobs();
    }
    check_not_run();
    check_cancelled();
    check_bookings();
    check_planned_stop();
    check_reasons();
}

void scenario::check_reasons()
{
    // Tasks of a job run equally long here, and no limit falls below its use.
    for (const auto code :
         {result_code::straggler, result_code::limit_lowered}) {
        if (world.task_ends(code) > 0) {
            broken.insert("a task was stopped as " +
                          std::string{describe(code).name});
        }
    }
}

bool scenario::all_over()
{
    const auto daemon = a_running_daemon();
    if (daemon == world.daemons.size()) {
        return false;
    }
    bool over = true;
    for (const auto& it : submissions) {
        if (!it.outcome.job) {
            continue;
        }
        const bool service = it.id == "s0";
        world.daemons[daemon].controller->status(
            it.team, *it.outcome.job, 0, 0s,
            [&](std::optional<control::job_status> status, const reason&) {
                if (!status) {
                    return;
                }
                const bool ended =
                    status->phase == "finished" || status->phase == "cancelled";
                over = over && (service ? status->succeeded == 0 : ended);
            });
    }
    return over && world.places_of({*submissions[0].outcome.job, 0}) == 1 &&
           world.places_of({*submissions[0].outcome.job, 1}) == 1;
}

void scenario::check_jobs()
{
    for (const auto& it : submissions) {
        if (!it.outcome.job) {
            continue;
        }
        const auto daemon = a_running_daemon();
        if (daemon == world.daemons.size()) {
            broken.insert("no daemon is ready after the fault");
            return;
        }
        const auto status = world.status(daemon, it.team, *it.outcome.job);
        const auto text =
            status ? status->phase + ", waits for " +
                         std::string{describe(status->waits_for).name}
                   : std::string{"unknown"};
        broken.insert("job " + it.id + " did not end: " + text);
    }
}

void scenario::check_not_run()
{
    for (const auto& it : submissions) {
        const bool refused = !it.outcome.job && it.outcome.not_run;
        if (refused && logged_submissions.contains(it.id)) {
            broken.insert("promise 6: refused as not run, but accepted: " +
                          it.id);
        }
    }
}

void scenario::check_cancelled()
{
    const auto daemon = a_running_daemon();
    if (!cancelled || !cancel_recorded || daemon == world.daemons.size()) {
        return;
    }
    const auto status = world.status(daemon, team_id{"salmon"}, *cancelled);
    if (!status || status->phase != "cancelled") {
        broken.insert("promise 5: a recorded cancellation was undone: " +
                      (status ? status->phase : "unknown"));
    }
    for (std::uint32_t n = 0; status && n < status->tasks; ++n) {
        if (world.places_of({*cancelled, n}) != 0) {
            broken.insert("promise 5: a task of a cancelled job runs");
        }
    }
}

void scenario::check_bookings()
{
    constexpr int done = 200;
    for (const auto& it : bookings) {
        const auto& answer = it.answer->answer;
        const bool says_not_run =
            it.answer->arrived &&
            answer.body.find("\"not_run\":true") != std::string::npos;
        if (says_not_run && world.runs.runs(it.key) != 0) {
            broken.insert("promise 6: booked though answered as not run");
        }
        if (it.answer->arrived && answer.status == done &&
            answer.body.empty()) {
            broken.insert("promise 5: a whole answer without its body");
        }
        for (std::size_t n = 0; n < world.daemons.size(); ++n) {
            (void)world.request(n, "POST", it.key);
            world.run_for(1s);
        }
        world.run_for(6s);
        if (world.runs.runs(it.key) > 1) {
            broken.insert("promise 7: ran twice: " + it.key);
        }
    }
}

void scenario::check_read_your_writes()
{
    for (const auto& it : submissions) {
        if (!it.outcome.job) {
            continue;
        }
        for (std::size_t n = 0; n < world.daemons.size(); ++n) {
            if (!world.running(n) ||
                world.daemons[n].controller->not_ready(world.time.now())) {
                continue;
            }
            world.daemons[n].controller->status(
                it.team, *it.outcome.job, it.outcome.record, 1s,
                [this](const std::optional<control::job_status>& status,
                       const reason& why) {
                    if (!status && why.code == result_code::job_unknown) {
                        broken.insert("promise 5: an own write is unknown: " +
                                      why.detail);
                    }
                });
        }
    }
    world.run_for(2s);
}

void scenario::check_planned_stop()
{
    if (step.name != "planned stop of a daemon") {
        return;
    }
    const bool fragile =
        std::any_of(faults.begin(), faults.end(),
                    [](const auto* it) { return it->may_lose_tasks; });
    if (!fragile && world.most_attempts() > 1) {
        broken.insert("promise 9: a planned stop ended a task");
    }
}

} // namespace rosemarytrail::test
