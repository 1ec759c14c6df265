#include <rosemarytrail/fleet/job_index.hpp>

#include <rosemarytrail/fleet/job_limits.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::fleet {

namespace {

[[nodiscard]] task_key first_task_of(const entry_key& it)
{
    return {.step = it.step, .index = it.first_task};
}

} // namespace

bool job_entry::has_started() const noexcept
{
    return started || completed_occurrences > 0 ||
           std::ranges::any_of(progress, [](const auto& step) {
               return std::ranges::any_of(step.second,
                                          &task_progress::has_begun);
           });
}

job_state job_entry::state() const noexcept
{
    if (outcome) {
        return outcome->state;
    }
    if (cancelled) {
        return job_state::cancelled;
    }
    return has_started() ? job_state::running : job_state::queued;
}

const task_progress*
job_entry::find_progress(const task_key& task) const noexcept
{
    auto it = progress.upper_bound(task);
    if (it == progress.begin()) {
        return nullptr;
    }
    --it;
    const auto& [first, rows] = *it;
    const auto n = task.index - first.index;
    return first.step == task.step && n < rows.size() ? &rows[n] : nullptr;
}

void job_index::apply_job(std::uint64_t id,
                          std::optional<std::string_view> value)
{
    auto& entry = jobs_[id];
    if (!value) {
        entry.record.reset();
        return;
    }
    // A repeated submission has no effect, even after the job has ended.
    if (!entry.outcome && !entry.record) {
        entry.record = decode_job(*value);
    }
}

// The progress of these occurrences is removed by records of its own.
void job_index::apply_occurrences(job_entry& entry, std::uint32_t completed)
{
    entry.completed_occurrences = completed;
    std::erase_if(entry.advice, [completed](const auto& it) {
        return it.first.occurrence < completed;
    });
}

std::uint64_t job_index::count_live_tasks(std::uint64_t id) const
{
    const auto it = jobs_.find(id);
    const bool live =
        it != jobs_.end() && it->second.record && !it->second.outcome;
    return live ? count_tasks(it->second.record->spec) : 0;
}

void job_index::drop_if_empty(std::uint64_t id)
{
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) {
        return;
    }
    const auto& entry = it->second;
    if (!entry.record && !entry.outcome && !entry.cancelled &&
        (entry.progress.empty() || !keeps_progress_) && entry.advice.empty() &&
        entry.completed_occurrences == 0) {
        jobs_.erase(it);
    }
}

std::optional<entry_key> job_index::apply(std::string_view key,
                                          std::optional<std::string_view> value,
                                          time_point now,
                                          std::optional<std::int64_t> unix_ms)
{
    auto decoded_key = decode_key(key);
    if (!decoded_key) {
        return std::nullopt;
    }
    const auto id = decoded_key->step.job;
    const bool may_change_liveness = decoded_key->kind == entry_kind::job ||
                                     decoded_key->kind == entry_kind::outcome;
    const auto live_tasks_before =
        may_change_liveness ? count_live_tasks(id) : 0;
    bool readable = true;
    switch (decoded_key->kind) {
    case entry_kind::batch_mark:
        return decoded_key;
    case entry_kind::worker:
        if (const auto it = value ? decode_worker(*value) : std::nullopt) {
            workers_[decoded_key->worker] = {.record = *it, .read_at = now};
            return decoded_key;
        }
        workers_.erase(decoded_key->worker);
        return value ? std::nullopt : decoded_key;
    case entry_kind::run_times:
        if (auto it = value ? decode_run_times(*value) : std::nullopt) {
            run_times_ = std::move(*it);
            return decoded_key;
        }
        return std::nullopt;
    case entry_kind::leader:
        if (const auto it = value ? decode_leader(*value) : std::nullopt) {
            leader_ = *it;
            claims_.try_emplace(it->epoch, now);
            return decoded_key;
        }
        return std::nullopt;
    case entry_kind::job:
        apply_job(id, value);
        readable = !value || jobs_[id].outcome || jobs_[id].record;
        break;
    case entry_kind::cancellation:
        jobs_[id].cancelled = value.has_value();
        break;
    case entry_kind::progress:
        if (!keeps_progress_) {
            auto& entry = jobs_[id];
            entry.placed = entry.placed || value.has_value();
            entry.started = entry.started || (value && records_start(*value));
            break;
        }
        if (auto it = value ? decode_progress(*value) : std::nullopt) {
            jobs_[id].progress[first_task_of(*decoded_key)] = std::move(*it);
        } else {
            jobs_[id].progress.erase(first_task_of(*decoded_key));
            readable = !value;
        }
        break;
    case entry_kind::advice:
        // Tickets may be granted after the end of the job.
        if (jobs_[id].outcome) {
            break;
        }
        if (auto it = value ? decode_advice(*value) : std::nullopt) {
            const auto age_ms = std::max<std::int64_t>(
                unix_ms ? *unix_ms - it->granted_unix_ms : 0, 0);
            jobs_[id].advice[decoded_key->step] = {
                .grant = std::move(*it),
                .read_at = now - std::chrono::milliseconds{age_ms}};
        } else {
            jobs_[id].advice.erase(decoded_key->step);
            readable = !value;
        }
        break;
    case entry_kind::occurrences: {
        const auto it = value ? decode_occurrences(*value) : std::nullopt;
        readable = !value || it;
        apply_occurrences(jobs_[id], it.value_or(0));
        break;
    }
    case entry_kind::outcome:
        jobs_[id].outcome = value ? decode_outcome(*value) : std::nullopt;
        readable = !value || jobs_[id].outcome;
        if (jobs_[id].outcome) {
            jobs_[id].advice.clear();
        }
        break;
    }
    if (may_change_liveness) {
        live_tasks_ = live_tasks_ - live_tasks_before + count_live_tasks(id);
    }
    drop_if_empty(id);
    return readable ? decoded_key : std::nullopt;
}

void job_index::discard_progress()
{
    keeps_progress_ = false;
    for (auto& [id, entry] : jobs_) {
        entry.placed = entry.placed || !entry.progress.empty();
        entry.started = entry.has_started();
        entry.progress.clear();
    }
}

const job_entry* job_index::find(std::uint64_t id) const noexcept
{
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

std::optional<time_point> job_index::claimed_at(std::uint64_t epoch) const
{
    const auto it = claims_.lower_bound(epoch);
    return it == claims_.end() ? std::nullopt : std::optional{it->second};
}

bool job_index::is_pending(const job_entry& entry, std::string_view queue)
{
    return entry.record && !entry.outcome && !entry.cancelled &&
           entry.record->queue.name == queue && !entry.has_started();
}

std::size_t job_index::pending(std::string_view queue) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(jobs_, [queue](const auto& it) {
            return is_pending(it.second, queue);
        }));
}

std::size_t job_index::due(std::string_view queue, std::int64_t unix_ms) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(jobs_, [queue, unix_ms](const auto& it) {
            return is_pending(it.second, queue) &&
                   it.second.record->spec.due(0, unix_ms);
        }));
}

void job_index::each_live(
    const std::function<void(std::uint64_t, const job_entry&)>& visit) const
{
    for (const auto& [id, entry] : jobs_) {
        if (entry.record && !entry.outcome) {
            visit(id, entry);
        }
    }
}

void job_index::each_leftover(
    const std::function<void(const task_key&)>& visit) const
{
    for (const auto& [id, entry] : jobs_) {
        if (entry.outcome) {
            for (const auto& [first, rows] : entry.progress) {
                visit(first);
            }
        }
    }
}

std::vector<std::uint64_t>
job_index::outcomes_before(std::int64_t before_unix_ms) const
{
    std::vector<std::uint64_t> result;
    for (const auto& [id, entry] : jobs_) {
        if (entry.outcome && entry.outcome->unix_ms < before_unix_ms) {
            result.push_back(id);
        }
    }
    return result;
}

} // namespace rosemarytrail::fleet
