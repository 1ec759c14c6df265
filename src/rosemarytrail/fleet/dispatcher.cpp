#include <rosemarytrail/fleet/dispatcher.hpp>

#include <rosemarytrail/fleet/internal/books.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace rosemarytrail::fleet {

namespace {

/** @return Longest chain of dependent declared work, in milliseconds. */
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

dispatcher::~dispatcher() = default;

void dispatcher::books::note(std::uint64_t job, std::string_view what,
                             std::string detail)
{
    decisions.push_back(
        {.job = job, .what = what, .detail = std::move(detail)});
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
    step.allowed_as_of = 0;
    for (const auto& row : advice.grant.rows) {
        step.tickets.emplace(row.worker, row.ticket);
        step.granted.insert(row.worker);
    }
    learn_grants(step, advice.grant);
    close_question(step);
    if (step.advised_at == time_point{}) {
        step.advised_at = last_plan;
    }
    step.tickets_until = advice.read_at +
                         std::chrono::milliseconds{advice.grant.valid_ms} -
                         options.ticket_margin;
    replan = true;
}

void dispatcher::books::learn_grants(step_book& step, const advice_grant& grant)
{
    // The accepting node may have sent a request of its own, with other
    // workers.
    const bool answers_question =
        !step.named.empty() &&
        std::ranges::all_of(grant.rows, [&step](const auto& row) {
            return step.named.contains(row.worker);
        });
    if (!answers_question) {
        return;
    }
    const auto part = static_cast<double>(grant.rows.size()) /
                      static_cast<double>(step.named.size());
    auto& share =
        granted_share
            .try_emplace(step.job->record.queue.name, options.granted_share)
            .first->second;
    share += (part - share) * options.granted_weight;
    for (const auto& id : step.named) {
        if (!step.granted.contains(id)) {
            step.refused.insert(id);
        }
    }
    step.named.clear();
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
    // New submissions are read within milliseconds, so the age matters only for
    // jobs found at a takeover. It is clamped because the nodes' clocks may
    // differ.
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
    if (spec.occurrences > 0) {
        scheduled.insert(job.record.id);
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

dispatcher_orders dispatcher::take_orders(time_point now)
{
    auto& state = *books_;
    const auto& options = state.options;
    dispatcher_orders result;
    for (auto& [id, worker] : state.workers) {
        const bool silent = worker.unanswered > 0 || worker.vm.address.empty();
        if (worker.lease_until < now && silent && !worker.load.empty()) {
            state.lose_tasks(worker, now, "lease expired");
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
        // An unresponsive worker may have restarted and numbers its ended runs
        // from one again.
        hold_order order{
            .worker = {.id = worker.vm.id, .address = worker.vm.address},
            .epoch = options.epoch,
            .acknowledged = worker.unanswered > 0 ? 0 : worker.recorded,
            .lease_end_ms = std::nullopt,
            .wait =
                to_record || !worker.fenced ? duration{} : options.hold_wait};
        // The lease of an unresponsive worker is not renewed, so that it
        // expires.
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

bool dispatcher::deposed() const noexcept
{
    return books_->deposed;
}

dispatcher_counts dispatcher::count(time_point now) const
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
        if (books_->takes_work(worker, now)) {
            ++result.usable_workers;
            result.capacity += worker.vm.capacity;
            result.used += worker.used;
        }
    }
    return result;
}

} // namespace rosemarytrail::fleet
