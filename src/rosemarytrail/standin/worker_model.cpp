#include <rosemarytrail/standin/worker_model.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace rosemarytrail::standin {

namespace {

using backends::command_kind;
using backends::task_phase;

/** @brief Time after which a task that fails does so. */
constexpr duration failure_delay = std::chrono::milliseconds{50};
/** @brief Use is between a quarter and all of the request, by task. */
constexpr std::int64_t least_use_percent = 25;
constexpr std::int64_t percent = 100;

[[nodiscard]] std::int64_t use_percent(const task_ref& task) noexcept
{
    const auto spread = static_cast<std::size_t>(percent - least_use_percent);
    const auto part = std::hash<task_ref>{}(task) % (spread + 1);
    return least_use_percent + static_cast<std::int64_t>(part);
}

[[nodiscard]] duration scaled(duration span, double factor)
{
    return std::chrono::duration_cast<duration>(span * factor);
}

} // namespace

worker_model::worker_model(const worker_options& options,
                           const worker_faults& faults)
    : options_{options}
    , faults_{faults}
    , chance_{faults.seed}
    , next_token_{std::max<std::uint64_t>(options.first_token, 1)}
{}

void worker_model::set_faults(const worker_faults& faults)
{
    if (faults.seed != faults_.seed) {
        chance_ = chance{faults.seed};
    }
    faults_ = faults;
}

bool worker_model::token_counts(std::uint64_t token, time_point now) const
{
    return std::any_of(tokens_.begin(), tokens_.end(), [&](const auto& it) {
        return it.token == token && now < it.until;
    });
}

std::uint64_t worker_model::issue_token(time_point now)
{
    const auto token = next_token_++;
    tokens_.push_back({.token = token, .until = now + options_.token_span});
    return token;
}

backends::worker_outcome worker_model::refuse(result_code code) const
{
    backends::worker_outcome result;
    result.code = code;
    result.epoch = epoch_;
    result.capacity = options_.capacity;
    return result;
}

backends::worker_outcome
worker_model::apply(const backends::worker_batch& batch, time_point now)
{
    advance(now);
    forget(now);
    if (batch.epoch < epoch_) {
        return refuse(result_code::worker_epoch_refused);
    }
    const bool commanding = batch.token != 0;
    if (commanding && !token_counts(batch.token, now)) {
        return refuse(result_code::worker_token_refused);
    }
    if (batch.epoch > epoch_) {
        epoch_ = batch.epoch;
        tokens_.clear();
    }
    backends::worker_outcome result;
    result.code = result_code::ok;
    if (commanding) {
        if (batch.renew) {
            renew(batch.lease, now);
        }
        for (const auto& it : batch.commands) {
            result.commands.push_back({carry_out(it, batch.lease, now)});
        }
    }
    result.epoch = epoch_;
    result.token = issue_token(now);
    result.token_span = options_.token_span;
    result.capacity = options_.capacity;
    result.busy_slots = busy_slots_;
    for (const auto& [key, task] : tasks_) {
        result.tasks.push_back(report(key, task, now));
    }
    return result;
}

result_code worker_model::carry_out(const backends::worker_command& command,
                                    duration lease, time_point now)
{
    const attempt_key key{command.task, command.attempt};
    switch (command.kind) {
    case command_kind::start:
        return start(command, lease, now);
    case command_kind::checkpoint:
        return end_by_command(key, task_phase::checkpointed, now);
    case command_kind::stop:
        return end_by_command(key, task_phase::stopped, now);
    case command_kind::throttle:
        return throttle(command, now);
    case command_kind::acknowledge:
        return acknowledge(key, now);
    }
    return result_code::worker_answer_malformed;
}

result_code worker_model::start(const backends::worker_command& command,
                                duration lease, time_point now)
{
    const attempt_key key{command.task, command.attempt};
    if (tasks_.contains(key)) {
        return result_code::ok;
    }
    if (over_.contains(key) || runs(command.task)) {
        return result_code::worker_attempt_refused;
    }
    if (!(committed_ + command.request).fits_in(options_.capacity)) {
        return result_code::worker_full;
    }
    task_state task{.request = command.request,
                    .service = command.service,
                    .started = now,
                    .lease_until = now + lease};
    if (command.run_time > duration::zero()) {
        task.due = now + scaled(command.run_time, faults_.slow_factor);
    }
    if (chance_.hit(faults_.fail_tasks)) {
        task.due =
            std::min(task.due.value_or(time_point::max()), now + failure_delay);
        task.due_phase = task_phase::failed;
    }
    committed_ += task.request;
    tasks_.emplace(key, std::move(task));
    return result_code::ok;
}

result_code worker_model::end_by_command(const attempt_key& key,
                                         task_phase phase, time_point now)
{
    const auto found = tasks_.find(key);
    if (found == tasks_.end()) {
        over_[key] = now + options_.token_span;
        return result_code::ok;
    }
    if (found->second.phase == task_phase::running) {
        end(found->second, phase, now);
    }
    return result_code::ok;
}

result_code worker_model::throttle(const backends::worker_command& command,
                                   time_point now)
{
    const auto found = tasks_.find({command.task, command.attempt});
    if (found == tasks_.end()) {
        return result_code::worker_attempt_refused;
    }
    found->second.throttled = now;
    found->second.throttled_millicores = command.request.millicores;
    return result_code::ok;
}

result_code worker_model::acknowledge(const attempt_key& key, time_point now)
{
    const auto found = tasks_.find(key);
    if (found == tasks_.end()) {
        return result_code::ok;
    }
    if (found->second.phase == task_phase::running) {
        return result_code::worker_attempt_refused;
    }
    tasks_.erase(found);
    over_[key] = now + options_.token_span;
    return result_code::ok;
}

void worker_model::end(task_state& task, task_phase phase, time_point at)
{
    task.phase = phase;
    task.ended = at;
    committed_ -= task.request;
}

void worker_model::renew(duration lease, time_point now)
{
    for (auto& [key, task] : tasks_) {
        if (task.phase == task_phase::running) {
            task.lease_until = std::max(task.lease_until, now + lease);
        }
    }
}

void worker_model::advance(time_point now)
{
    for (auto& [key, task] : tasks_) {
        if (task.phase != task_phase::running) {
            continue;
        }
        const auto due = task.due.value_or(time_point::max());
        if (due <= now && due <= task.lease_until) {
            end(task, task.due_phase, due);
        } else if (task.lease_until <= now) {
            end(task, task_phase::lapsed, task.lease_until);
        }
    }
}

void worker_model::forget(time_point now)
{
    while (!tokens_.empty() && tokens_.front().until <= now) {
        tokens_.pop_front();
    }
    std::erase_if(over_, [now](const auto& it) { return it.second <= now; });
}

bool worker_model::serves(const service_id& service) const
{
    return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& it) {
        return it.second.phase == task_phase::running &&
               it.second.service == service;
    });
}

bool worker_model::runs(const task_ref& task) const
{
    for (auto it = tasks_.lower_bound({task, 0});
         it != tasks_.end() && it->first.task == task; ++it) {
        if (it->second.phase == task_phase::running) {
            return true;
        }
    }
    return false;
}

backends::task_report worker_model::report(const attempt_key& key,
                                           const task_state& task,
                                           time_point now) const
{
    backends::task_report result{.task = key.task,
                                 .attempt = key.attempt,
                                 .phase = task.phase,
                                 .request = task.request,
                                 .service = task.service};
    const bool running = task.phase == task_phase::running;
    result.age = (running ? now : task.ended) - task.started;
    const auto measured = now - options_.usage_lag;
    if (!running || measured < task.started) {
        return result;
    }
    const auto part = use_percent(key.task);
    result.used = {task.request.millicores * part / percent,
                   task.request.memory_mib * part / percent, 0};
    if (task.throttled && *task.throttled <= measured) {
        result.used.millicores =
            std::min(result.used.millicores, task.throttled_millicores);
    }
    return result;
}

} // namespace rosemarytrail::standin
