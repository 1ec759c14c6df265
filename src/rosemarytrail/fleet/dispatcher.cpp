#include <rosemarytrail/fleet/dispatcher.hpp>

#include <rosemarytrail/fleet/internal/books.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace rosemarytrail::fleet {

namespace {

using internal::job_book;
using internal::task_phase;
using internal::worker_book;

/** @return Longest chain of declared work through the steps. */
[[nodiscard]] std::int64_t longest_chain(const job_spec& spec)
{
    std::vector<std::int64_t> ends;
    std::int64_t longest = 0;
    for (const auto& step : spec.steps) {
        std::int64_t start = 0;
        for (const auto before : step.depends_on) {
            if (before < ends.size()) {
                start = std::max(start, ends[before]);
            }
        }
        ends.push_back(start + (step.long_running ? 0 : step.estimate_ms));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

} // namespace

dispatcher::dispatcher(const dispatcher_options& options,
                       const job_board& board, time_point now,
                       std::int64_t unix_ms)
    : books_{std::make_unique<books>()}
{
    books_->options = options;
    books_->last_plan = now;
    board.each_live([&](std::uint64_t /*id*/, const job_entry& entry) {
        books_->add_job(entry, now, unix_ms);
    });
    books_->set_wait_out(board, now);
}

// A former leader renews a lease only once the ledger names its epoch for the
// worker, and only while its news is fresh; its news ends at the next claim.
void dispatcher::books::set_wait_out(const job_board& board, time_point now)
{
    for (auto& [id, it] : workers) {
        const auto known = board.workers().find(id);
        if (known == board.workers().end()) {
            it.lease_until = now;
            continue;
        }
        const auto& [record, read_at] = known->second;
        it.vm.address = record.address;
        it.lease_until =
            record.renewing ? board.claimed_by(record.epoch + 1).value_or(now) +
                                  options.renewal_bound + longest_lease()
                            : read_at + longest_lease();
    }
}

// Longest time that a lease given now lasts by this node's clock.
duration dispatcher::books::longest_lease() const
{
    return std::chrono::duration_cast<duration>(options.lease *
                                                (1 + options.clock_drift)) +
           options.lease_margin;
}

dispatcher::~dispatcher() = default;

void dispatcher::books::note(std::uint64_t job, std::string_view what,
                             std::string detail)
{
    decisions.push_back(
        {.job = job, .what = what, .detail = std::move(detail)});
}

job_timing dispatcher::books::timing_of(const job_book& job) const
{
    const auto span = [](time_point from, time_point to) {
        return std::max(to - from, duration{});
    };
    job_timing result{.total = span(job.accepted, last_plan),
                      .in_time = last_plan <= job.objective,
                      .steps = {}};
    for (const auto& step : job.steps) {
        // A step that a former leader placed has no times of its own.
        if (step.done_at != time_point{} && step.placed_at != time_point{}) {
            result.steps.push_back(
                {.advice = span(step.ready_at, step.advised_at),
                 .room = span(std::max(step.ready_at, step.advised_at),
                              step.placed_at),
                 .run = span(step.placed_at, step.done_at)});
        }
    }
    return result;
}

// One line that tells where the time of a job went, in milliseconds.
std::string dispatcher::books::story_of(const job_book& job,
                                        const job_timing& timing) const
{
    const auto text_of = [](duration it) {
        return std::to_string(to_milliseconds(it));
    };
    auto text = "state " + std::to_string(static_cast<int>(*job.outcome)) +
                " queue " + job.record.queue.name + " age " +
                text_of(timing.total) + " objective " +
                text_of(job.objective - job.accepted) + " declared chain " +
                std::to_string(job.chain_ms);
    for (const auto& step : timing.steps) {
        text += "; step advice " + text_of(step.advice) + " room " +
                text_of(step.room) + " run " + text_of(step.run);
    }
    return text;
}

internal::step_book* dispatcher::books::find_step(const step_key& key)
{
    const auto it = jobs.find(key.job);
    if (it == jobs.end()) {
        return nullptr;
    }
    auto& job = *it->second;
    const auto per_round = job.record.spec.steps.size();
    const auto index = key.occurrence * per_round + key.step;
    return key.step < per_round && index < job.steps.size() ? &job.steps[index]
                                                            : nullptr;
}

internal::task_state* dispatcher::books::find_task(const task_key& key)
{
    auto* step = find_step(key.step);
    return step != nullptr && key.index < step->tasks.size()
               ? &step->tasks[key.index]
               : nullptr;
}

void dispatcher::books::mark_dirty(step_book& step)
{
    step.dirty = true;
    dirty.insert(&step);
    replan = true;
}

void dispatcher::books::take_room(step_book& step, std::uint32_t index,
                                  const std::string& worker)
{
    step.tasks[index].worker = worker;
    auto& book = workers[worker];
    book.vm.id = worker;
    book.used += step.spec->reserved();
    book.load.insert({.step = step.key, .index = index});
    accounts[step.job->record.account].used += step.spec->need;
    ++step.job->active;
}

void dispatcher::books::free_room(step_book& step, std::uint32_t index)
{
    auto& task = step.tasks[index];
    if (task.worker.empty()) {
        return;
    }
    auto& book = workers[task.worker];
    book.used -= step.spec->reserved();
    book.load.erase({.step = step.key, .index = index});
    accounts[step.job->record.account].used -= step.spec->need;
    --step.job->active;
    task.worker.clear();
    replan = true;
}

void dispatcher::books::back_to_waiting(step_book& step, std::uint32_t index,
                                        time_point now)
{
    auto& task = step.tasks[index];
    free_room(step, index);
    if (task.phase != task_phase::waiting) {
        task.phase = task_phase::waiting;
        ++step.waiting;
    }
    task.since = now;
    task.percent = 0;
    task.pace = 100;
    task.stop_acknowledged.reset();
    mark_dirty(step);
}

void dispatcher::books::set_done(step_book& step, std::uint32_t index)
{
    auto& task = step.tasks[index];
    free_room(step, index);
    if (task.phase == task_phase::done) {
        return;
    }
    if (task.phase == task_phase::waiting) {
        --step.waiting;
    }
    task.phase = task_phase::done;
    ++step.done;
    mark_dirty(step);
}

void dispatcher::books::update_ready(job_book& job, std::int64_t unix_ms)
{
    const auto& spec = job.record.spec;
    for (auto& step : job.steps) {
        if (step.ready || step.complete() || job.ended()) {
            continue;
        }
        const auto due =
            spec.first_due_ms + step.key.occurrence * spec.interval_ms;
        if (spec.occurrences > 0 && unix_ms < due) {
            continue;
        }
        const auto first = step.key.occurrence * spec.steps.size();
        step.ready =
            std::ranges::all_of(step.spec->depends_on, [&](std::uint32_t it) {
                return it < spec.steps.size() &&
                       job.steps[first + it].complete();
            });
        if (step.ready) {
            step.ready_at = last_plan;
            ready.insert(&step);
            replan = true;
        }
    }
}

void dispatcher::books::inherit(step_book& step,
                                const std::vector<task_progress>& rows,
                                time_point now)
{
    for (std::uint32_t i = 0; i < rows.size() && i < step.tasks.size(); ++i) {
        auto& task = step.tasks[i];
        const auto& row = rows[i];
        task.run = row.run;
        task.failures = row.failures;
        task.checkpoint = row.checkpoint;
        task.since = now;
        if (row.done) {
            task.phase = task_phase::done;
            --step.waiting;
            ++step.done;
        } else if (!row.worker.empty()) {
            task.phase = task_phase::unsure;
            --step.waiting;
            take_room(step, i, row.worker);
        }
    }
}

void dispatcher::books::take_advice(step_book& step, const seen_advice& advice)
{
    step.tickets.clear();
    for (const auto& row : advice.grant.rows) {
        step.tickets.emplace(row.worker, row.ticket);
    }
    close_question(step);
    if (step.advised_at == time_point{}) {
        step.advised_at = last_plan;
    }
    step.tickets_until = advice.read_at +
                         std::chrono::milliseconds{advice.grant.valid_ms} -
                         options.ticket_margin;
    replan = true;
}

void dispatcher::books::add_job(const job_entry& entry, time_point now,
                                std::int64_t unix_ms)
{
    auto owned = std::make_unique<job_book>();
    auto& job = *owned;
    job.record = *entry.record;
    job.payload =
        std::make_shared<const std::string>(std::move(job.record.spec.payload));
    const auto& spec = job.record.spec;
    job.chain_ms = longest_chain(spec);
    // Submissions are read within milliseconds; the age matters only for those
    // found at a takeover, and clocks may disagree.
    const auto age_ms = std::clamp<std::int64_t>(
        unix_ms - job.record.accepted_unix_ms, 0, 600000);
    job.accepted = now - std::chrono::milliseconds{age_ms};
    const auto objective_ms = static_cast<std::int64_t>(
        job.record.queue.slack_factor * static_cast<double>(job.chain_ms) +
        static_cast<double>(job.record.queue.target_latency_ms));
    job.objective = job.accepted + std::chrono::milliseconds{objective_ms};
    job.beyond_share = job.record.beyond_share;
    job.steps.resize(spec.steps.size() * spec.rounds());
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        auto& step = job.steps[i];
        const auto n = static_cast<std::uint32_t>(i % spec.steps.size());
        step.key = {.job = job.record.id,
                    .occurrence =
                        static_cast<std::uint32_t>(i / spec.steps.size()),
                    .step = n};
        step.spec = &spec.steps[n];
        step.job = &job;
        step.tasks.resize(step.spec->tasks);
        step.waiting = step.tasks.size();
        if (const auto it = entry.progress.find(step.key);
            it != entry.progress.end()) {
            inherit(step, it->second, now);
        }
        if (const auto it = entry.advice.find(step.key);
            it != entry.advice.end()) {
            take_advice(step, it->second);
        }
    }
    jobs.emplace(job.record.id, std::move(owned));
    for (auto& step : job.steps) {
        for (const auto& task : step.tasks) {
            if (task.failures >= job.record.queue.max_attempts &&
                !step.spec->long_running) {
                job.failed = true;
            }
        }
    }
    if (entry.cancelled) {
        cancel_job(job, now);
    } else if (job.failed) {
        fail_job(job, now);
    } else {
        update_ready(job, unix_ms);
        check_finished(job);
    }
}

void dispatcher::set_config(std::shared_ptr<const cell_config> config)
{
    books_->config = std::move(config);
    books_->replan = true;
}

void dispatcher::on_job_changed(std::uint64_t id, const job_entry& entry,
                                time_point now, std::int64_t unix_ms)
{
    auto& it = *books_;
    const auto found = it.jobs.find(id);
    if (it.ended.contains(id)) {
        return;
    }
    if (found == it.jobs.end()) {
        if (entry.record && !entry.outcome) {
            it.add_job(entry, now, unix_ms);
        }
        return;
    }
    auto& job = *found->second;
    if (entry.cancelled && !job.ended()) {
        it.cancel_job(job, now);
    }
    for (const auto& [key, advice] : entry.advice) {
        auto* step = it.find_step(key);
        if (step != nullptr && !step->complete()) {
            it.take_advice(*step, advice);
        }
    }
}

void dispatcher::books::finish_job(job_book& job, job_state outcome)
{
    if (job.outcome) {
        return;
    }
    job.outcome = outcome;
    ended[job.record.id] = last_plan;
    finished.push_back(&job);
    replan = true;
    for (auto& step : job.steps) {
        ready.erase(&step);
    }
}

void dispatcher::books::check_finished(job_book& job)
{
    if (job.cancelled) {
        if (job.active == 0) {
            finish_job(job, job_state::cancelled);
        }
        return;
    }
    if (!job.failed && std::ranges::all_of(job.steps, &step_book::complete)) {
        finish_job(job, job_state::completed);
    }
}

void dispatcher::books::stop_task(step_book& step, std::uint32_t index,
                                  time_point now)
{
    auto& task = step.tasks[index];
    if (task.phase == task_phase::placed) {
        // Nothing was sent yet.
        back_to_waiting(step, index, now);
        return;
    }
    if (task.phase != task_phase::stopping) {
        task.phase = task_phase::stopping;
        task.since = now;
        task.stop_acknowledged.reset();
    }
    task.stop_sent = now;
    const auto& vm = workers[task.worker].vm;
    if (!vm.address.empty()) {
        stops.push_back({.worker = {.id = vm.id, .address = vm.address},
                         .task = {.step = step.key, .index = index},
                         .run = task.run,
                         .epoch = options.epoch});
    }
}

void dispatcher::books::stop_all(job_book& job, time_point now)
{
    for (auto& step : job.steps) {
        ready.erase(&step);
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            if (step.tasks[i].holds_room()) {
                stop_task(step, i, now);
            }
        }
    }
}

void dispatcher::books::cancel_job(job_book& job, time_point now)
{
    job.cancelled = true;
    note(job.record.id, "cancelling",
         "active tasks " + std::to_string(job.active));
    stop_all(job, now);
    check_finished(job);
}

void dispatcher::books::fail_job(job_book& job, time_point now)
{
    job.failed = true;
    finish_job(job, job_state::failed);
    note(job.record.id, "failed", "a task failed in each of its attempts");
    stop_all(job, now);
}

void dispatcher::set_workers(std::span<const worker_vm> vms, time_point now)
{
    auto& state = *books_;
    for (auto& [id, it] : state.workers) {
        it.listed = false;
    }
    for (const auto& vm : vms) {
        auto& it = state.workers[vm.id];
        const bool known = !it.vm.address.empty();
        if (known && vm.incarnation != 0 && it.vm.incarnation != 0 &&
            vm.incarnation > it.vm.incarnation) {
            state.lose_tasks(it, now, "worker restarted");
        }
        const auto incarnation = std::max(vm.incarnation, it.vm.incarnation);
        it.vm = vm;
        it.vm.incarnation = incarnation;
        it.listed = true;
    }
    std::erase_if(state.workers, [&state, now](const auto& it) {
        const auto& worker = it.second;
        const bool gone = !worker.listed && worker.load.empty() &&
                          !worker.hold_in_flight && worker.lease_until < now;
        if (gone) {
            state.removals.push_back(
                {.key = encode_key(
                     {.kind = entry_kind::worker, .worker = it.first}),
                 .value = std::nullopt});
        }
        return gone;
    });
    state.replan = true;
}

std::int64_t dispatcher::books::lease_end(worker_book& worker,
                                          time_point now) const
{
    const auto clock =
        *worker.clock_ms + to_milliseconds(now - worker.clock_at);
    const auto bound = now +
                       std::chrono::duration_cast<duration>(
                           (options.lease + (now - worker.clock_at)) *
                           (1 + options.clock_drift)) -
                       (now - worker.clock_at) + options.lease_margin;
    worker.lease_until = std::max(worker.lease_until, bound);
    return clock + to_milliseconds(options.lease);
}

bool dispatcher::books::can_start(const step_book& step, std::uint32_t index,
                                  time_point now) const
{
    const auto& task = step.tasks[index];
    const auto worker = workers.find(task.worker);
    if (task.phase != task_phase::placed || step.job->ended() ||
        worker == workers.end() || !is_usable(worker->second, step, now)) {
        return false;
    }
    return !step.job->record.queue.advice ||
           (step.tickets_until > now && step.tickets.contains(task.worker));
}

// Members of a gang that wait for one that does not come only take room.
void dispatcher::books::abort_gang(step_book& step, time_point now)
{
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        const auto phase = step.tasks[i].phase;
        if (phase == task_phase::placed || phase == task_phase::ordered ||
            phase == task_phase::running || phase == task_phase::unsure) {
            stop_task(step, i, now);
        }
    }
}

void dispatcher::books::order_start(const task_key& key, time_point now)
{
    auto* step = find_step(key.step);
    if (step == nullptr || step->tasks[key.index].phase != task_phase::placed) {
        return;
    }
    auto& task = step->tasks[key.index];
    bool possible = can_start(*step, key.index, now);
    if (step->spec->gang && key.index == 0) {
        for (std::uint32_t i = 0; i < step->tasks.size(); ++i) {
            possible = possible && can_start(*step, i, now);
        }
    }
    if (!possible) {
        if (step->spec->gang) {
            abort_gang(*step, now);
        } else {
            back_to_waiting(*step, key.index, now);
        }
        return;
    }
    auto& worker = workers[task.worker];
    std::string ticket;
    if (step->job->record.queue.advice) {
        ticket = step->tickets[task.worker];
    }
    task.phase = task_phase::ordered;
    task.since = now;
    starts.push_back(
        {.worker = {.id = worker.vm.id, .address = worker.vm.address},
         .task = key,
         .run = task.run,
         .payload = step->job->payload,
         .lease_end_ms = lease_end(worker, now),
         .epoch = options.epoch,
         .checkpoint = step->spec->checkpoints ? task.checkpoint : "",
         .ticket = std::move(ticket)});
}

void dispatcher::on_start_result(const start_order& order, start_result result,
                                 time_point now)
{
    auto& state = *books_;
    auto* step = state.find_step(order.task.step);
    if (step == nullptr) {
        return;
    }
    auto& task = step->tasks[order.task.index];
    if (task.run != order.run || task.worker != order.worker.id) {
        return;
    }
    const bool ordered = task.phase == task_phase::ordered;
    const bool stopping = task.phase == task_phase::stopping;
    if (result == start_result::started) {
        if (ordered) {
            task.phase = task_phase::running;
            task.since = now;
        }
        return;
    }
    if (result == start_result::unknown) {
        // It may be carried out later: only a stop that is acknowledged, or
        // the end of the lease, rules that out.
        if (ordered) {
            state.note(order.task.step.job, "start unanswered",
                       to_text(order.task) + " on " + order.worker.id);
            state.stop_task(*step, order.task.index, now);
            if (step->spec->gang) {
                state.abort_gang(*step, now);
            }
        }
        return;
    }
    state.note(order.task.step.job, "start refused",
               to_text(order.task) + " on " + order.worker.id + " result " +
                   std::to_string(static_cast<int>(result)));
    auto& worker = state.workers[order.worker.id];
    switch (result) {
    case start_result::fenced:
        state.deposed = true;
        break;
    case start_result::ticket_refused:
        // The tickets of one answer lapse together.
        if (const auto it = step->tickets.find(order.worker.id);
            it != step->tickets.end() && it->second == order.ticket) {
            step->tickets_until = now;
        }
        break;
    case start_result::no_room:
    case start_result::unhealthy:
    case start_result::invalid:
        state.note_failure(worker, order.task.step.job, now);
        break;
    default:
        break;
    }
    if (ordered || stopping) {
        state.back_to_waiting(*step, order.task.index, now);
        if (step->spec->gang) {
            state.abort_gang(*step, now);
        }
        state.check_finished(*step->job);
    }
}

void dispatcher::on_stop_result(const stop_order& order, bool answered,
                                time_point now)
{
    auto* task = books_->find_task(order.task);
    if (task != nullptr && answered && task->run == order.run &&
        task->phase == task_phase::stopping && !task->stop_acknowledged) {
        task->stop_acknowledged = now;
        // The end shows in the next hold.
        if (const auto it = books_->workers.find(order.worker.id);
            it != books_->workers.end()) {
            it->second.next_hold = now;
        }
    }
}

void dispatcher::books::note_failure(worker_book& worker, std::uint64_t job,
                                     time_point now)
{
    ++worker.failures_in_a_row;
    worker.failed_jobs.insert(job);
    // One job that fails everywhere says nothing of a worker.
    if (worker.failures_in_a_row < options.suspect_failures ||
        worker.failed_jobs.size() < 2) {
        return;
    }
    const auto set_aside =
        std::ranges::count_if(workers, [now](const auto& it) {
            return it.second.quarantined_until > now;
        });
    if (static_cast<double>(set_aside + 1) >
        options.quarantine_share * static_cast<double>(workers.size())) {
        return;
    }
    worker.quarantined_until = now + options.quarantine;
    worker.failures_in_a_row = 0;
    worker.failed_jobs.clear();
    note(job, "worker set aside", worker.vm.id);
}

void dispatcher::books::on_run_failed(worker_book& worker, step_book& step,
                                      std::uint32_t index, time_point now)
{
    auto& task = step.tasks[index];
    task.failed_on = worker.vm.id;
    note_failure(worker, step.key.job, now);
    if (step.spec->gang) {
        for (auto& it : step.tasks) {
            ++it.failures;
        }
    } else {
        ++task.failures;
    }
    const auto failures = task.failures;
    back_to_waiting(step, index, now);
    if (!step.spec->long_running &&
        failures >= step.job->record.queue.max_attempts && !step.job->ended()) {
        fail_job(*step.job, now);
    }
}

void dispatcher::books::on_ended(worker_book& worker, const ended_row& row,
                                 time_point now)
{
    auto* step = find_step(row.task.step);
    if (step == nullptr || row.task.index >= step->tasks.size()) {
        return;
    }
    const auto index = row.task.index;
    auto& task = step->tasks[index];
    if (task.worker != worker.vm.id || task.run != row.run) {
        return;
    }
    if (!row.checkpoint.empty()) {
        task.checkpoint = row.checkpoint;
    }
    if (row.how == run_end::done && !step->spec->long_running) {
        worker.failures_in_a_row = 0;
        worker.failed_jobs.clear();
        task.done_on = worker.vm.id;
        task.done_after = now - task.since;
        set_done(*step, index);
        if (step->spec->gang) {
            // One member's end stands for all; the others are listed later.
            for (std::uint32_t i = 0; i < step->tasks.size(); ++i) {
                auto& other = step->tasks[i];
                if (other.phase != task_phase::done) {
                    set_done(*step, i);
                }
            }
        }
        if (step->complete() && !step->job->ended()) {
            step->done_at = now;
            learn_speeds(*step);
            ready.erase(step);
            update_ready(*step->job, 0);
        }
    } else if (row.how == run_end::failed) {
        on_run_failed(worker, *step, index, now);
    } else {
        back_to_waiting(*step, index, now);
    }
    check_finished(*step->job);
}

void dispatcher::books::compare_running(worker_book& worker,
                                        const hold_answer& answer,
                                        time_point sent_at, time_point now)
{
    std::set<task_key> present;
    worker.strangers = 0;
    for (const auto& row : answer.running) {
        auto* step = find_step(row.task.step);
        auto* task = find_task(row.task);
        if (task == nullptr || task->worker != worker.vm.id ||
            task->run != row.run) {
            ++worker.strangers;
            stops.push_back(
                {.worker = {.id = worker.vm.id, .address = worker.vm.address},
                 .task = row.task,
                 .run = row.run,
                 .epoch = options.epoch});
            continue;
        }
        present.insert(row.task);
        if (!row.checkpoint.empty()) {
            task->checkpoint = row.checkpoint;
        }
        task->percent = row.percent;
        note_progress(worker, *step, row, now);
        if (task->phase == task_phase::ordered ||
            task->phase == task_phase::unsure) {
            task->phase = task_phase::running;
            task->since = sent_at;
        } else if (task->phase == task_phase::stopping &&
                   now - task->stop_sent > options.stop_retry) {
            stop_task(*step, row.task.index, now);
        }
    }
    const std::vector<task_key> load{worker.load.begin(), worker.load.end()};
    for (const auto& key : load) {
        auto* step = find_step(key.step);
        if (step == nullptr || present.contains(key)) {
            continue;
        }
        auto& task = step->tasks[key.index];
        const bool gone =
            task.phase == task_phase::unsure ||
            (task.phase == task_phase::running && task.since < sent_at) ||
            (task.phase == task_phase::stopping && task.stop_acknowledged &&
             *task.stop_acknowledged <= sent_at);
        if (gone) {
            back_to_waiting(*step, key.index, now);
            if (step->spec->gang) {
                abort_gang(*step, now);
            }
            check_finished(*step->job);
        } else if (task.phase == task_phase::stopping &&
                   now - task.stop_sent > options.stop_retry) {
            stop_task(*step, key.index, now);
        }
    }
}

// Answers filling tasks that slow a serving task on the same worker: they are
// held back before the serving task has missed its target for long, and are
// let go again step by step.
void dispatcher::books::pace_scavengers(worker_book& worker,
                                        const hold_answer& answer,
                                        time_point now)
{
    constexpr double worry = 0.8;
    constexpr double calm = 0.5;
    constexpr std::uint32_t full_pace = 100;
    constexpr std::uint32_t step_up = 25;
    constexpr duration settle = std::chrono::milliseconds{1500};
    double worst = 0;
    for (const auto& row : answer.running) {
        const auto* step = find_step(row.task.step);
        if (step != nullptr && step->spec->long_running &&
            step->spec->target_ms > 0) {
            worst =
                std::max(worst, static_cast<double>(row.usage) /
                                    static_cast<double>(step->spec->target_ms));
        }
    }
    if (worst > worry && worker.scavenger_pace > 0) {
        worker.scavenger_pace = 0;
        worker.pace_changed = now;
    } else if (worst < calm && worker.scavenger_pace < full_pace &&
               now - worker.pace_changed > settle) {
        worker.scavenger_pace += step_up;
        worker.pace_changed = now;
    }
    for (const auto& row : answer.running) {
        const auto* step = find_step(row.task.step);
        auto* task = find_task(row.task);
        if (step == nullptr || task == nullptr || !step->spec->scavenger ||
            task->phase != task_phase::running ||
            task->pace == worker.scavenger_pace) {
            continue;
        }
        task->pace = worker.scavenger_pace;
        paces.push_back(
            {.worker = {.id = worker.vm.id, .address = worker.vm.address},
             .task = row.task,
             .run = row.run,
             .percent = task->pace,
             .epoch = options.epoch});
    }
}

void dispatcher::books::lose_tasks(worker_book& worker, time_point now,
                                   std::string_view cause)
{
    const std::vector<task_key> load{worker.load.begin(), worker.load.end()};
    for (const auto& key : load) {
        auto* step = find_step(key.step);
        if (step == nullptr) {
            continue;
        }
        back_to_waiting(*step, key.index, now);
        if (step->spec->gang) {
            abort_gang(*step, now);
        }
        check_finished(*step->job);
    }
    if (!load.empty()) {
        note(0, "tasks lost",
             worker.vm.id + " tasks " + std::to_string(load.size()) + ": " +
                 std::string{cause});
    }
    worker.fenced = false;
    worker.renewable = false;
    worker.strangers = 0;
    worker.seen = 0;
    worker.recorded = 0;
    worker.in_batch.clear();
    worker.clock_ms.reset();
}

// A worker that stays silent is recorded as renewed no longer, so that a
// successor need not wait out this leader's news for it.
void dispatcher::books::on_unanswered(worker_book& worker)
{
    ++worker.unanswered;
    if (worker.unanswered == options.silent_after && worker.renewable) {
        worker.renewable = false;
        silent.push_back(worker.vm.id);
    }
}

ledger_entry dispatcher::books::entry_of(const std::string& worker,
                                         bool renewing)
{
    return {.key = encode_key(
                {.kind = entry_kind::worker, .step = {}, .worker = worker}),
            .value = encode(worker_record{.epoch = options.epoch,
                                          .address = workers[worker].vm.address,
                                          .renewing = renewing})};
}

void dispatcher::on_hold_result(const hold_order& order, hold_result result,
                                const hold_answer& answer, time_point sent_at,
                                time_point now)
{
    auto& state = *books_;
    const auto found = state.workers.find(order.worker.id);
    if (found == state.workers.end()) {
        return;
    }
    auto& worker = found->second;
    worker.hold_in_flight = false;
    if (result != hold_result::answered) {
        state.on_unanswered(worker);
        worker.next_hold = now + state.options.hold_retry;
        state.deposed = state.deposed || result == hold_result::fenced;
        return;
    }
    if (answer.incarnation && worker.vm.incarnation != 0 &&
        *answer.incarnation != worker.vm.incarnation) {
        if (*answer.incarnation < worker.vm.incarnation) {
            return;
        }
        state.lose_tasks(worker, now, "worker restarted");
    }
    if (answer.incarnation) {
        worker.vm.incarnation = *answer.incarnation;
    }
    if (worker.unanswered > 0 || !worker.fenced) {
        state.replan = true;
    }
    if (!worker.fenced) {
        // No former leader renews from here on.
        worker.lease_until =
            std::min(worker.lease_until, now + state.longest_lease());
    }
    if (!worker.renewable &&
        std::ranges::find(state.reached, worker.vm.id) == state.reached.end()) {
        state.reached.push_back(worker.vm.id);
    }
    worker.fenced = true;
    worker.unanswered = 0;
    worker.clock_ms = answer.clock_ms;
    worker.clock_at = now;
    worker.next_hold = now + state.options.hold_spacing;
    for (const auto& row : answer.ended) {
        if (row.number > worker.seen) {
            worker.seen = row.number;
            state.on_ended(worker, row, now);
        }
    }
    state.compare_running(worker, answer, sent_at, now);
    state.pace_scavengers(worker, answer, now);
}

ledger_batch dispatcher::take_batch(std::int64_t unix_ms)
{
    auto& state = *books_;
    ledger_batch result{.number = state.next_batch++, .entries = {}};
    auto& open = state.batches[result.number];
    std::ranges::move(state.removals, std::back_inserter(result.entries));
    state.removals.clear();
    open.placed.swap(state.placed);
    open.workers.swap(state.reached);
    for (const auto& id : state.silent) {
        result.entries.push_back(state.entry_of(id, false));
    }
    state.silent.clear();
    for (const auto& id : open.workers) {
        result.entries.push_back(state.entry_of(id, true));
    }
    std::vector<task_progress> rows;
    for (auto* step : state.dirty) {
        step->dirty = false;
        if (step->job->outcome) {
            continue;
        }
        rows.clear();
        for (const auto& task : step->tasks) {
            rows.push_back({.done = task.phase == task_phase::done,
                            .run = task.run,
                            .failures = task.failures,
                            .worker = task.worker,
                            .checkpoint = step->spec->checkpoints
                                              ? task.checkpoint
                                              : std::string{}});
        }
        result.entries.push_back(
            {.key =
                 encode_key({.kind = entry_kind::progress, .step = step->key}),
             .value = encode(rows)});
    }
    state.dirty.clear();
    for (auto* job : state.finished) {
        const auto id = job->record.id;
        const auto add = [&](entry_kind kind, const step_key& key) {
            result.entries.push_back(
                {.key = encode_key({.kind = kind, .step = key}),
                 .value = std::nullopt});
        };
        result.entries.push_back(
            {.key =
                 encode_key({.kind = entry_kind::outcome, .step = {.job = id}}),
             .value = encode(
                 job_outcome{.state = *job->outcome, .unix_ms = unix_ms})});
        add(entry_kind::job, {.job = id});
        if (job->cancelled) {
            add(entry_kind::cancellation, {.job = id});
        }
        for (const auto& step : job->steps) {
            add(entry_kind::progress, step.key);
            if (job->record.queue.advice) {
                add(entry_kind::advice, step.key);
            }
        }
        job->outcome_written = true;
        open.finished.push_back(id);
        const auto timing = state.timing_of(*job);
        state.note(id, "ended", state.story_of(*job, timing));
        state.timings.push_back(timing);
    }
    state.finished.clear();
    for (auto& [id, worker] : state.workers) {
        if (worker.seen > worker.recorded) {
            worker.in_batch[result.number] = worker.seen;
        }
    }
    return result;
}

void dispatcher::on_recorded(std::uint64_t number, time_point now)
{
    auto& state = *books_;
    for (auto& [id, worker] : state.workers) {
        while (!worker.in_batch.empty() &&
               worker.in_batch.begin()->first <= number) {
            worker.recorded =
                std::max(worker.recorded, worker.in_batch.begin()->second);
            worker.in_batch.erase(worker.in_batch.begin());
        }
    }
    while (!state.batches.empty() && state.batches.begin()->first <= number) {
        const auto batch = std::move(state.batches.begin()->second);
        state.batches.erase(state.batches.begin());
        for (const auto& id : batch.workers) {
            auto& worker = state.workers[id];
            worker.renewable = worker.fenced && worker.unanswered == 0;
            state.replan = true;
        }
        for (const auto& key : batch.placed) {
            state.order_start(key, now);
        }
        for (const auto id : batch.finished) {
            const auto it = state.jobs.find(id);
            // A failed job stays until its tasks have been stopped.
            if (it != state.jobs.end() && it->second->active == 0) {
                for (auto& step : it->second->steps) {
                    state.dirty.erase(&step);
                    state.ready.erase(&step);
                }
                state.jobs.erase(it);
            }
        }
    }
}

dispatcher_orders dispatcher::take_orders(time_point now)
{
    auto& state = *books_;
    std::erase_if(state.ended, [&](const auto& it) {
        return it.second + state.options.ended_memory < now;
    });
    const auto& options = state.options;
    dispatcher_orders result;
    for (auto& [id, worker] : state.workers) {
        const bool silent = worker.unanswered > 0 || worker.vm.address.empty();
        if (worker.lease_until < now && silent && !worker.load.empty()) {
            state.lose_tasks(worker, now, "lease has lapsed");
        }
        if (worker.vm.address.empty() || worker.hold_in_flight ||
            now < worker.next_hold || (!worker.listed && worker.load.empty())) {
            continue;
        }
        const bool to_record = worker.seen > worker.recorded;
        const bool renewal_due = now - worker.last_renewal >= options.hold_wait;
        if (to_record && !renewal_due) {
            continue;
        }
        hold_order order{
            .worker = {.id = worker.vm.id, .address = worker.vm.address},
            .epoch = options.epoch,
            .acknowledged = worker.recorded,
            .lease_end_ms = std::nullopt,
            .wait =
                to_record || !worker.fenced ? duration{} : options.hold_wait};
        // A worker that does not answer gets no further lease, so that there
        // is an end to wait for.
        if (worker.renewable && worker.unanswered == 0 && worker.clock_ms) {
            order.lease_end_ms = state.lease_end(worker, now);
        }
        worker.last_renewal = now;
        worker.hold_in_flight = true;
        result.holds.push_back(std::move(order));
    }
    result.starts.swap(state.starts);
    result.stops.swap(state.stops);
    result.paces.swap(state.paces);
    result.questions.swap(state.questions);
    return result;
}

std::vector<decision> dispatcher::take_decisions()
{
    return std::exchange(books_->decisions, {});
}

std::vector<job_timing> dispatcher::take_timings()
{
    return std::exchange(books_->timings, {});
}

bool dispatcher::deposed() const noexcept
{
    return books_->deposed;
}

dispatcher_counts dispatcher::count() const
{
    dispatcher_counts result;
    result.jobs = books_->jobs.size();
    for (const auto* step : books_->ready) {
        result.waiting += step->waiting;
    }
    for (const auto& [id, worker] : books_->workers) {
        ++result.workers;
        result.fenced_workers += worker.fenced ? 1U : 0U;
        result.placed += worker.load.size();
    }
    return result;
}

} // namespace rosemarytrail::fleet
