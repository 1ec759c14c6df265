#include "scenario.hpp"

#include <rosemarytrail/documents/document.hpp>
#include <rosemarytrail/state/record.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace rosemarytrail::test {

namespace {

using namespace std::chrono_literals;
using backends::command_kind;

template <typename Record>
[[nodiscard]] bool holds(const message_event& event)
{
    if (event.payload == nullptr) {
        return false;
    }
    std::uint64_t unknown = 0;
    reason why;
    const auto batch = state::decode(*event.payload, unknown, why);
    return batch && std::any_of(batch->records.begin(), batch->records.end(),
                                [](const auto& it) {
                                    return std::holds_alternative<Record>(it);
                                });
}

template <typename Record>
[[nodiscard]] auto append_of(message_stage stage)
{
    return [stage](const scenario&, const message_event& event) {
        return event.to == message_peer::log_append && event.stage == stage &&
               holds<Record>(event);
    };
}

[[nodiscard]] auto command_of(std::vector<command_kind> wanted,
                              message_stage stage)
{
    return [wanted = std::move(wanted), stage](const scenario&,
                                               const message_event& event) {
        if (event.to != message_peer::worker || event.stage != stage) {
            return false;
        }
        return std::any_of(event.batch->commands.begin(),
                           event.batch->commands.end(), [&](const auto& it) {
                               return std::find(wanted.begin(), wanted.end(),
                                                it.kind) != wanted.end();
                           });
    };
}

[[nodiscard]] auto renewal(message_stage stage)
{
    return [stage](const scenario&, const message_event& event) {
        return event.to == message_peer::worker && event.stage == stage &&
               event.batch->renew && event.batch->commands.empty();
    };
}

[[nodiscard]] auto fence(message_stage stage)
{
    return [stage](const scenario&, const message_event& event) {
        return event.to == message_peer::worker && event.stage == stage &&
               event.batch->token == 0;
    };
}

[[nodiscard]] auto to_upstream(message_stage stage)
{
    return [stage](const scenario&, const message_event& event) {
        return event.to == message_peer::upstream && event.stage == stage;
    };
}

void submit_one(scenario& it)
{
    it.actor = 0;
    it.submit(0, small_job(3, 2s));
}

void cancel_one(scenario& it)
{
    it.actor = 1;
    it.armed = false;
    it.submit(1, small_job(3, 60s));
    const auto& last = it.submissions.back().outcome;
    if (!last.job) {
        return;
    }
    it.world.run_for(1s);
    it.cancelled = last.job;
    it.armed = it.step.is_step != nullptr;
    it.world.daemons[1].controller->cancel(
        team_id{"salmon"}, *last.job, [&it](control::cancel_outcome out) {
            it.cancel_recorded = out.in_effect && out.recorded;
        });
}

void submit_urgent(scenario& it)
{
    auto filler = small_job(24, 12s);
    filler.team = team_id{"trout"};
    filler.checkpointable = true;
    filler.priority = 0;
    const bool was_armed = it.armed;
    it.armed = false;
    // One job a partition, so that no VM has room for the urgent one.
    for (std::uint32_t n = 0; n < it.world.options.partitions; ++n) {
        it.submit(0, filler);
    }
    it.world.run_for(3s);
    it.armed = was_armed;
    auto urgent = small_job(2, 2s);
    urgent.urgent = true;
    urgent.priority = 9;
    it.submit(0, urgent);
}

void submit_large_gang(scenario& it)
{
    auto gang = small_job(18, 2s);
    gang.policy = job_class::gang;
    it.submit(0, gang);
}

/** Allowances move to where work waits, while more work comes. */
void submit_wide(scenario& it)
{
    it.actor = 0;
    for (std::size_t n = 0; n < 6; ++n) {
        const auto daemon = n % it.world.daemons.size();
        if (it.world.running(daemon)) {
            it.submit(daemon, small_job(8, 3s));
        }
    }
}

void kill_one(scenario& it)
{
    it.actor = 1;
    it.world.kill(1);
}

void pause_and_resume(scenario& it)
{
    it.actor = 1;
    it.world.pause(1);
    it.world.run_for(25s);
    it.world.resume(1);
}

void publish_team(scenario& it)
{
    it.actor = 0;
    const resources limit{.millicores = 16'000, .memory_mib = 100'000};
    const auto text = documents::format_published(
        team_spec{.team = team_id{"salmon"}, .weight = 2, .limit = limit});
    const auto out = it.world.publish(0, "team/salmon", it.team_revision, text);
    if (out.revision) {
        it.world.limit_grace[team_id{"salmon"}] = it.world.time.now() + 4s;
        it.world.newest_revision = *out.revision;
        it.world.newest_since = it.world.time.now();
    }
}

void book_one(scenario& it)
{
    it.actor = 0;
    it.book(0);
}

void restart_one(scenario& it)
{
    it.world.kill(2);
    it.world.run_for(1s);
    it.actor = 2;
    it.world.start(2);
}

void stop_one(scenario& it)
{
    it.actor = 2;
    it.world.daemons[2].controller->begin_shutdown(it.world.time.now());
}

} // namespace

const std::vector<fault_step>& fault_steps()
{
    using state::allowance_handed_over;
    using state::document_published;
    using state::intent_closed;
    using state::intent_opened;
    using state::job_accepted;
    using state::job_handed_over;
    using state::partition_claimed;
    using state::tasks_finished;
    using state::vm_handed_over;
    constexpr auto sent = message_stage::sent;
    constexpr auto effect = message_stage::taken_effect;
    const std::vector starts{command_kind::start};
    const std::vector ends{command_kind::stop, command_kind::checkpoint};
    const std::vector acks{command_kind::acknowledge};
    static const std::vector<fault_step> steps{
        {"submit: received", submit_one, append_of<job_accepted>(sent), true},
        {"submit: key checked", submit_one, append_of<job_accepted>(sent)},
        {"submit: appended", submit_one, append_of<job_accepted>(effect)},
        {"submit: answered", submit_one, nullptr},
        {"place: decided", submit_one, command_of(starts, sent), true},
        {"place: start sent", submit_one, command_of(starts, sent)},
        {"place: taken effect", submit_one, command_of(starts, effect)},
        {"place: answered", submit_one, command_of(starts, effect), false, 5ms},
        {"renew: sent", submit_one, renewal(sent)},
        {"renew: taken effect", submit_one, renewal(effect)},
        {"finish: reported", submit_one, append_of<tasks_finished>(sent), true},
        {"finish: appended", submit_one, append_of<tasks_finished>(effect)},
        {"finish: acknowledged", submit_one, command_of(acks, effect)},
        {"cancel: received", cancel_one, nullptr},
        {"cancel: stop sent", cancel_one, command_of(ends, sent)},
        {"cancel: taken effect", cancel_one, command_of(ends, effect)},
        {"checkpoint: sent", submit_urgent, command_of(ends, sent)},
        {"checkpoint: taken effect", submit_urgent, command_of(ends, effect)},
        {"hand over: sent", submit_large_gang, append_of<vm_handed_over>(sent)},
        {"hand over: appended", submit_large_gang,
         append_of<vm_handed_over>(effect)},
        {"allowance: sent", submit_wide,
         append_of<allowance_handed_over>(sent)},
        {"allowance: appended", submit_wide,
         append_of<allowance_handed_over>(effect)},
        {"claim: sent", kill_one, append_of<partition_claimed>(sent)},
        {"claim: appended", kill_one, append_of<partition_claimed>(effect)},
        {"fence: sent", kill_one, fence(sent)},
        {"fence: taken effect", kill_one, fence(effect)},
        {"inventory: answered", kill_one, fence(effect), false, 5ms},
        {"resume", pause_and_resume, nullptr},
        {"publish: sent", publish_team, append_of<document_published>(sent)},
        {"publish: appended", publish_team,
         append_of<document_published>(effect)},
        {"publish: relayed", publish_team,
         append_of<document_published>(effect), false, 3ms},
        {"publish: in force", publish_team, nullptr},
        {"request: received", book_one, append_of<intent_opened>(sent), true},
        {"request: intent sent", book_one, append_of<intent_opened>(sent)},
        {"request: intent appended", book_one,
         append_of<intent_opened>(effect)},
        {"request: sent", book_one, to_upstream(sent), false, {}, true},
        {"request: running", book_one, to_upstream(effect), false, {}, true},
        {"request: half answered", book_one, to_upstream(effect), false, 10ms,
         true},
        {"request: answered", book_one, append_of<intent_closed>(sent)},
        {"start of a daemon", restart_one, nullptr},
        {"planned stop of a daemon", stop_one, nullptr},
    };
    return steps;
}

} // namespace rosemarytrail::test
