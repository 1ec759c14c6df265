#include <rosemarytrail/control/internal/controller_state.hpp>

#include <rosemarytrail/control/placement_target.hpp>
#include <rosemarytrail/documents/document.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::control {

namespace {

/** Retry-after interval while the log is down. */
constexpr duration log_retry_after = std::chrono::seconds{2};
/** Retry-after interval while no partition can accept a job. */
constexpr duration holder_retry_after = std::chrono::seconds{1};

[[nodiscard]] std::string_view text_of(job_class policy) noexcept
{
    switch (policy) {
    case job_class::service:
        return "service";
    case job_class::gang:
        return "gang";
    default:
        return "batch";
    }
}

[[nodiscard]] std::string_view text_of(state::job_phase phase) noexcept
{
    switch (phase) {
    case state::job_phase::finished:
        return "finished";
    case state::job_phase::cancelled:
        return "cancelled";
    case state::job_phase::rejected:
        return "rejected";
    default:
        return "accepted";
    }
}

} // namespace

void controller::internal_state::write(
    state::record value, duration timeout,
    std::function<void(const write_outcome*)> done, reason& why)
{
    auto waiter = std::make_shared<write_waiter>();
    waiter->deadline = ports.clock.now() + timeout;
    waiter->finish = std::move(done);
    std::weak_ptr<bool> guard = alive;
    const bool queued = caller_writer.push(
        std::move(value),
        [guard, waiter](const write_outcome& outcome) {
            if (guard.expired() || !waiter->finish) {
                return;
            }
            auto finish = std::exchange(waiter->finish, nullptr);
            finish(&outcome);
        },
        why);
    if (queued) {
        write_waiters.push_back(std::move(waiter));
    }
}

void controller::internal_state::tick_waiters(time_point now)
{
    if (log_down()) {
        caller_writer.drop_unsent();
    }
    for (auto it = write_waiters.begin(); it != write_waiters.end();) {
        auto waiter = *it;
        if (waiter->finish && now < waiter->deadline) {
            ++it;
            continue;
        }
        it = write_waiters.erase(it);
        if (waiter->finish) {
            auto finish = std::exchange(waiter->finish, nullptr);
            finish(nullptr);
        }
    }
    for (auto it = status_waiters.begin(); it != status_waiters.end();) {
        const bool reached =
            cell().next_offset() * records_per_batch + records_per_batch >
            it->read_from;
        if (!reached && now < it->deadline) {
            ++it;
            continue;
        }
        const auto waiter = std::move(*it);
        it = status_waiters.erase(it);
        if (!reached) {
            waiter.done(std::nullopt,
                        reason{.code = result_code::catching_up,
                               .detail = "the requested record has not "
                                         "reached this entry VM",
                               .retry_after = holder_retry_after});
            continue;
        }
        respond_status(waiter);
    }
}

job_status
controller::internal_state::status_from_log(const state::job_state& job) const
{
    job_status out{.job = job.job,
                   .name = job.spec.name,
                   .team = job.spec.team,
                   .policy = std::string{text_of(job.spec.policy)},
                   .phase = std::string{text_of(job.phase)},
                   .partition = job.partition,
                   .tasks = job.spec.tasks};
    for (const auto& [index, code] : job.finished) {
        ++(code == result_code::ok ? out.succeeded : out.failed);
    }
    if (job.phase == state::job_phase::rejected) {
        out.waits_for = job.code;
        out.wait_detail = std::string{describe(job.code).meaning};
    }
    if (job.phase == state::job_phase::accepted) {
        out.queued = out.tasks - out.succeeded - out.failed;
    }
    return out;
}

std::optional<std::string>
controller::internal_state::peer_address_of(partition_id partition) const
{
    const auto& partitions = cell().partitions();
    if (partition >= partitions.size()) {
        return std::nullopt;
    }
    const auto it = cell().members().find(partitions[partition].holder);
    if (it == cell().members().end() || it->first == options.self) {
        return std::nullopt;
    }
    return it->second.peer_address;
}

void controller::internal_state::respond_status(const status_waiter& it)
{
    const auto* job = cell().find_job(it.job);
    if (job == nullptr || job->spec.team != it.team) {
        it.done(std::nullopt, reason{.code = result_code::job_unknown,
                                     .detail = "job " + it.job.str()});
        return;
    }
    auto known = status_from_log(*job);
    const bool open = job->phase == state::job_phase::accepted;
    const auto merge = [known](const job_status& live) {
        auto out = known;
        out.from_holder = true;
        out.queued = live.queued;
        out.running = live.running;
        out.waits_for = live.waits_for;
        out.wait_detail = live.wait_detail;
        out.waits_since = live.waits_since;
        out.vms = live.vms;
        if (out.running > 0) {
            out.phase = "running";
        }
        return out;
    };
    if (open) {
        if (const auto* holder = holder_of(job->partition)) {
            it.done(merge(holder->status(*job, ports.clock.now())), {});
            return;
        }
        if (const auto address = peer_address_of(job->partition)) {
            ports.peers.status(*address, it.job,
                               [done = it.done, known,
                                merge](const std::optional<job_status>& live) {
                                   auto fallback = known;
                                   fallback.waits_for =
                                       result_code::waiting_for_holder;
                                   done(live ? merge(*live) : fallback, {});
                               });
            return;
        }
        known.waits_for = result_code::waiting_for_holder;
    }
    it.done(std::move(known), {});
}

void controller::submit(submission value, duration timeout,
                        std::function<void(submit_outcome)> done)
{
    auto& self = *state_;
    const auto now = self.ports.clock.now();
    const auto refuse = [&](reason why) {
        done(submit_outcome{.why = std::move(why)});
    };
    reason why;
    const auto spec = documents::parse_job(value.document, why);
    if (!spec) {
        return refuse(std::move(why));
    }
    if (spec->team != value.team) {
        return refuse({.code = result_code::team_mismatch,
                       .detail = "team: " + spec->team.str() +
                                 "; the key is of team " + value.team.str()});
    }
    if (const auto closed = not_ready(now)) {
        return refuse(*closed);
    }
    if (const auto* known = value.id.empty() ? nullptr
                                             : self.cell().find_submission(
                                                   value.team, value.id)) {
        done(submit_outcome{.job = known->job, .record = known->accepted});
        return;
    }
    if (self.log_down()) {
        return refuse({.code = result_code::submission_log_down,
                       .detail = "the log does not respond",
                       .retry_after = log_retry_after});
    }
    const auto team = self.cell().teams().find(value.team);
    if (team == self.cell().teams().end()) {
        return refuse(
            {.code = result_code::team_mismatch,
             .detail = "team: " + value.team.str() + " is not published"});
    }
    const auto totals = self.fleet();
    if (auto never = never_runs(*spec, team->second.limit, totals.largest_vm,
                                totals.capacity)) {
        return refuse(std::move(*never));
    }
    const auto target = choose_partition(*spec, self.summaries());
    if (!target) {
        return refuse({.code = result_code::waiting_for_holder,
                       .detail = "no partition with VMs has a holder yet",
                       .retry_after = holder_retry_after});
    }
    const job_id job{self.options.self.str() + "-" +
                     std::to_string(self.next_job++)};
    const auto team_name = value.team;
    const auto submission_id = value.id;
    state::job_accepted record{.job = job,
                               .team = value.team,
                               .partition = *target,
                               .document = std::move(value.document),
                               .submission = std::move(value.id)};
    const auto finish = [&self, job, team_name, submission_id,
                         done](const write_outcome* outcome) {
        submit_outcome out;
        if (outcome == nullptr) {
            out.not_run = false;
            out.why = {.code = result_code::submission_outcome_unknown,
                       .detail = "the log did not respond in time",
                       .retry_after = log_retry_after};
        } else if (!outcome->result) {
            out.why = {.code = result_code::submission_log_down,
                       .detail = "the log does not respond",
                       .retry_after = log_retry_after};
        } else if (outcome->result->code == result_code::ok) {
            self.jobs_accepted.add();
            out.job = job;
            out.record = outcome->result->number;
        } else if (const auto* first =
                       self.cell().find_submission(team_name, submission_id)) {
            out.job = first->job;
            out.record = first->accepted;
        } else {
            out.why = {.code = outcome->result->code,
                       .detail = outcome->result->detail};
        }
        done(std::move(out));
    };
    reason full;
    self.write(std::move(record), timeout, finish, full);
    if (full.code != result_code::ok) {
        refuse(std::move(full));
    }
}

void controller::publish(publication value, duration timeout,
                         const std::function<void(publish_outcome)>& done)
{
    auto& self = *state_;
    reason why;
    if (!documents::parse_published(value.content, why)) {
        done(publish_outcome{.why = std::move(why)});
        return;
    }
    if (self.log_down()) {
        done(publish_outcome{.why = {.code = result_code::log_down,
                                     .detail = "the log does not respond",
                                     .retry_after = log_retry_after}});
        return;
    }
    const auto finish = [done](const write_outcome* outcome) {
        publish_outcome out;
        if (outcome == nullptr) {
            out.why = {.code = result_code::submission_outcome_unknown,
                       .detail = "the log did not respond in time",
                       .retry_after = log_retry_after};
        } else if (!outcome->result) {
            out.why = {.code = result_code::log_down,
                       .detail = "the log does not respond",
                       .retry_after = log_retry_after};
        } else if (outcome->result->code == result_code::ok) {
            out.revision = outcome->result->number;
        } else {
            out.why = {.code = outcome->result->code,
                       .detail = outcome->result->detail};
            out.current = outcome->result->current;
        }
        done(std::move(out));
    };
    reason full;
    self.write(state::document_published{.name = std::move(value.name),
                                         .replaces = value.replaces,
                                         .content = std::move(value.content)},
               timeout, finish, full);
    if (full.code != result_code::ok) {
        done(publish_outcome{.why = std::move(full)});
    }
}

void controller::declare_lost(const vm_id& vm,
                              const std::function<void(reason)>& done)
{
    auto& self = *state_;
    if (!self.cell().vms().contains(vm)) {
        done({.code = result_code::vm_lost, .detail = "no such VM"});
        return;
    }
    const auto finish = [done](const write_outcome* outcome) {
        const bool known = outcome != nullptr && outcome->result;
        done(known ? reason{.code = outcome->result->code}
                   : reason{.code = result_code::log_down,
                            .retry_after = log_retry_after});
    };
    constexpr duration timeout = std::chrono::seconds{5};
    reason full;
    self.write(state::vm_declared_lost{.vm = vm}, timeout, finish, full);
    if (full.code != result_code::ok) {
        done(std::move(full));
    }
}

void controller::local_cancel(const job_id& job,
                              std::function<void(cancel_outcome)> done)
{
    auto& self = *state_;
    const auto* known = self.cell().find_job(job);
    auto* holder =
        known == nullptr ? nullptr : self.holder_of(known->partition);
    if (holder == nullptr) {
        done({.code = result_code::not_holder});
        return;
    }
    holder->drop_job(job, self.ports.clock.now());
    const bool down = self.log_down();
    const auto answer =
        std::make_shared<std::function<void(cancel_outcome)>>(std::move(done));
    const auto finish = [answer](bool recorded) {
        if (auto reply = std::exchange(*answer, nullptr)) {
            reply({.in_effect = true, .recorded = recorded});
        }
    };
    reason full;
    const bool queued = self.writer.push(
        state::job_cancelled{.job = job},
        [&self, job, finish](const write_outcome& outcome) {
            const auto* now_known = self.cell().find_job(job);
            finish(outcome.result && now_known != nullptr &&
                   now_known->phase == state::job_phase::cancelled);
        },
        full);
    if (!queued || down) {
        finish(false);
        return;
    }
    auto waiter = std::make_shared<write_waiter>();
    constexpr duration cancel_timeout = std::chrono::seconds{2};
    waiter->deadline = self.ports.clock.now() + cancel_timeout;
    waiter->finish = [finish](const write_outcome*) {
        finish(false);
    };
    self.write_waiters.push_back(std::move(waiter));
}

void controller::cancel(const team_id& team, const job_id& job,
                        std::function<void(cancel_outcome)> done)
{
    auto& self = *state_;
    const auto* known = self.cell().find_job(job);
    if (known == nullptr || known->spec.team != team) {
        done({.code = result_code::job_unknown});
        return;
    }
    if (known->phase != state::job_phase::accepted) {
        done({.in_effect = true, .recorded = true});
        return;
    }
    if (self.holder_of(known->partition) != nullptr) {
        local_cancel(job, std::move(done));
        return;
    }
    const auto record_only = [&self, job, done] {
        const auto finish = [done](const write_outcome* outcome) {
            const bool recorded = outcome != nullptr && outcome->result;
            done({.code = recorded ? result_code::ok : result_code::log_down,
                  .recorded = recorded});
        };
        constexpr duration timeout = std::chrono::seconds{5};
        reason full;
        self.write(state::job_cancelled{.job = job}, timeout, finish, full);
        if (full.code != result_code::ok) {
            done({.code = full.code});
        }
    };
    const auto address = self.peer_address_of(known->partition);
    if (!address) {
        record_only();
        return;
    }
    std::weak_ptr<bool> guard = self.alive;
    self.ports.peers.cancel(*address, job,
                            [guard, record_only, done](
                                const std::optional<cancel_outcome>& outcome) {
                                const bool obeyed =
                                    outcome && outcome->code == result_code::ok;
                                if (obeyed) {
                                    done(*outcome);
                                } else if (!guard.expired()) {
                                    record_only();
                                }
                            });
}

void controller::status(
    const team_id& team, const job_id& job, record_number read_from,
    duration timeout,
    std::function<void(std::optional<job_status>, reason)> done)
{
    auto& self = *state_;
    const auto now = self.ports.clock.now();
    self.status_waiters.push_back({.team = team,
                                   .job = job,
                                   .read_from = read_from,
                                   .deadline = now + timeout,
                                   .done = std::move(done)});
    self.tick_waiters(now);
}

std::vector<job_status> controller::list(const team_id& team) const
{
    std::vector<job_status> out;
    const auto& cell = state_->cell();
    for (partition_id n = 0; n < cell.partition_count(); ++n) {
        for (const auto& id : cell.open_jobs(n)) {
            const auto* job = cell.find_job(id);
            if (job != nullptr && job->spec.team == team) {
                out.push_back(state_->status_from_log(*job));
            }
        }
    }
    return out;
}

} // namespace rosemarytrail::control
