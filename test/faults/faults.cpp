#include "scenario.hpp"

#include <rosemarytrail/documents/document.hpp>

#include <chrono>
#include <memory>

namespace rosemarytrail::test {

namespace {

using namespace std::chrono_literals;

void no_change(scenario&) {}

void kill_actor(scenario& it)
{
    it.world.kill(it.actor);
}

void restart_dead(scenario& it)
{
    for (std::size_t n = 0; n < it.world.daemons.size(); ++n) {
        if (!it.world.daemons[n].controller) {
            it.world.start(n);
        }
    }
}

void restart_actor_at_once(scenario& it)
{
    it.world.kill(it.actor);
    it.world.start(it.actor);
}

void pause_actor(scenario& it)
{
    it.world.pause(it.actor);
}

void resume_all(scenario& it)
{
    for (std::size_t n = 0; n < it.world.daemons.size(); ++n) {
        it.world.resume(n);
    }
}

void kill_worker(scenario& it)
{
    it.world.kill_vm(it.vm);
}

void replace_workers(scenario& it)
{
    for (std::size_t n = 0; n < it.world.workers.size(); ++n) {
        if (it.world.workers[n].dead) {
            it.world.restart_vm(n);
        }
    }
}

void cut_peers(scenario& it, bool both_ways)
{
    for (std::size_t n = 0; n < it.world.daemons.size(); ++n) {
        if (n == it.actor) {
            continue;
        }
        it.world.daemons[it.actor].peers_cut.insert(n);
        if (both_ways) {
            it.world.daemons[n].peers_cut.insert(it.actor);
        }
    }
}

void mend_links(scenario& it)
{
    for (auto& daemon : it.world.daemons) {
        daemon.peers_cut.clear();
        daemon.log_cut = false;
        daemon.workers_cut = false;
    }
    for (auto& worker : it.world.workers) {
        worker.cut = false;
    }
}

void set_log(scenario& it, standin::fault_mode mode)
{
    auto faults = it.world.log.faults();
    faults.mode = mode;
    faults.slow = 700ms;
    it.world.log.set_faults(faults);
}

void withdraw_key(scenario& it)
{
    for (std::size_t n = 0; n < it.world.daemons.size(); ++n) {
        if (!it.world.running(n)) {
            continue;
        }
        it.world.daemons[n].controller->publish(
            {.name = "key/k1",
             .replaces = it.key_revision,
             .content = key_document("k1", "salmon", true)},
            5s, [&it](const control::publish_outcome& out) {
                if (out.revision) {
                    it.key_gone = true;
                    it.world.key_withdrawn_since = it.world.time.now();
                }
            });
        return;
    }
}

void race_operators(scenario& it)
{
    const auto winners = std::make_shared<int>(0);
    double weight = 3;
    for (std::size_t n = 0; n < it.world.daemons.size(); ++n) {
        if (!it.world.running(n)) {
            continue;
        }
        const auto text = documents::format_published(
            team_spec{.team = team_id{"salmon"},
                      .weight = weight,
                      .limit = it.world.limits.at(team_id{"salmon"})});
        weight += 1;
        it.world.daemons[n].controller->publish(
            {.name = "team/salmon",
             .replaces = it.team_revision,
             .content = text},
            5s, [&it, winners](const control::publish_outcome& out) {
                if (out.revision && ++*winners > 1) {
                    it.broken.insert("promise 10: two operators won a race");
                }
            });
    }
}

void lag_list(scenario& it)
{
    auto faults = it.world.vm_list.faults();
    faults.lag = 20s;
    it.world.vm_list.set_faults(faults);
    it.world.set_leaving(it.vm, true);
}

void mend_list(scenario& it)
{
    it.world.vm_list.set_faults({});
    it.world.set_leaving(it.vm, false);
}

} // namespace

const std::vector<fault>& all_faults()
{
    using standin::fault_mode;
    static const std::vector<fault> faults{
        {"none", no_change, no_change},
        {.name = "process killed",
         .strike = kill_actor,
         .heal = restart_dead,
         .kills_actor = true},
        {"process paused", pause_actor, resume_all},
        {.name = "restart as new VM",
         .strike = restart_actor_at_once,
         .heal = no_change,
         .kills_actor = true},
        {.name = "worker VM killed",
         .strike = kill_worker,
         .heal = replace_workers,
         .may_lose_tasks = true},
        {.name = "worker VM leaving",
         .strike = [](scenario& it) { it.world.set_leaving(it.vm, true); },
         .heal =
             [](scenario& it) {
                 it.world.set_leaving(it.vm, false);
             }},
        {"peers cut both ways", [](scenario& it) { cut_peers(it, true); },
         mend_links},
        {"peers cut one way", [](scenario& it) { cut_peers(it, false); },
         mend_links},
        {"log cut off",
         [](scenario& it) { it.world.daemons[it.actor].log_cut = true; },
         mend_links},
        {.name = "workers cut off",
         .strike =
             [](scenario& it) {
                 it.world.daemons[it.actor].workers_cut = true;
             },
         .heal = mend_links,
         .may_lose_tasks = true},
        {.name = "one worker cut off",
         .strike = [](scenario& it) { it.world.workers[it.vm].cut = true; },
         .heal = mend_links,
         .may_lose_tasks = true},
        {.name = "answer lost",
         .strike = no_change,
         .heal = no_change,
         .change_message =
             [](message_fate& it) {
                 it.lose_answer = true;
             }},
        {.name = "answer late",
         .strike = no_change,
         .heal = no_change,
         .change_message =
             [](message_fate& it) {
                 it.delay = 800ms;
             }},
        {.name = "message doubled late",
         .strike = no_change,
         .heal = no_change,
         .change_message = [](message_fate& it) { it.repeat_after = 1500ms; },
         .doubles = true},
        {"log down", [](scenario& it) { set_log(it, fault_mode::down); },
         [](scenario& it) {
             set_log(it, fault_mode::up);
         }},
        {"log slow", [](scenario& it) { set_log(it, fault_mode::slow); },
         [](scenario& it) {
             set_log(it, fault_mode::up);
         }},
        {.name = "log trimmed",
         .strike =
             [](scenario& it) {
                 auto log_faults = it.world.log.faults();
                 log_faults.kept_entries = 60;
                 it.world.log.set_faults(log_faults);
                 it.world.kill(it.actor);
             },
         .heal = restart_dead,
         .kills_actor = true},
        {.name = "VM list stale", .strike = lag_list, .heal = mend_list},
        {"key withdrawn", withdraw_key, no_change},
        {"operator race", race_operators, no_change},
    };
    return faults;
}

} // namespace rosemarytrail::test
