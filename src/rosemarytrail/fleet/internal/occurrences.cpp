#include <rosemarytrail/fleet/internal/dispatcher_state.hpp>

#include <rosemarytrail/fleet/job_limits.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace rosemarytrail::fleet {

// A schedule may have tens of thousands of occurrences, of which few are due
// and not complete. Only those are tracked, and the ledger holds the progress
// of no others.

void dispatcher::state::track_next_occurrence(tracked_job& job)
{
    const auto occurrence = job.next_occurrence();
    const auto& spec = job.record.spec;
    // Steps are referred to by their address, which does not change any more.
    std::vector<tracked_step> steps(spec.steps.size());
    for (std::uint32_t n = 0; n < steps.size(); ++n) {
        auto& step = steps[n];
        step.key = {.job = job.record.id, .occurrence = occurrence, .step = n};
        step.spec = &spec.steps[n];
        step.job = &job;
        step.tasks.resize(step.spec->tasks);
        step.waiting = step.tasks.size();
        step.tasks_per_entry = tasks_per_entry(job.record.queue.max_attempts);
    }
    job.occurrences.push_back(std::move(steps));
}

bool dispatcher::state::tracks_next(const tracked_job& job,
                                    std::int64_t unix_ms) const
{
    constexpr std::size_t always_tracked = 2;
    const auto& spec = job.record.spec;
    const auto n = job.occurrences.size();
    return job.next_occurrence() < spec.rounds() &&
           spec.due(job.next_occurrence(), unix_ms) &&
           (n < always_tracked ||
            (n + 1) * count_tasks(spec) <= options.max_open_tasks);
}

void dispatcher::state::drop_first_occurrence(tracked_job& job)
{
    for (auto& step : job.occurrences.front()) {
        close_request(step);
        dirty.erase(&step);
        ready.erase(&step);
        for (const auto first : step.recorded_entries) {
            job.obsolete_entries.push_back({.step = step.key, .index = first});
        }
    }
    job.occurrences.erase(job.occurrences.begin());
    ++job.first_occurrence;
    advanced_jobs.insert(job.record.id);
}

void dispatcher::state::update_occurrences(tracked_job& job,
                                           std::int64_t unix_ms)
{
    while (job.first_occurrence + 1 < job.record.spec.rounds() &&
           internal::is_complete(job.occurrences.front())) {
        drop_first_occurrence(job);
        if (job.occurrences.empty()) {
            track_next_occurrence(job);
        }
    }
    while (tracks_next(job, unix_ms)) {
        track_next_occurrence(job);
    }
}

void dispatcher::state::restore_occurrences(tracked_job& job,
                                            const job_entry& entry,
                                            time_point now)
{
    const auto last = job.record.spec.rounds() - 1;
    job.first_occurrence = std::min(entry.completed_occurrences, last);
    job.occurrences_recorded = entry.completed_occurrences > 0;
    track_next_occurrence(job);
    for (const auto& [first, rows] : entry.progress) {
        const auto occurrence = first.step.occurrence;
        if (occurrence < job.first_occurrence) {
            job.obsolete_entries.push_back(first);
            advanced_jobs.insert(job.record.id);
            continue;
        }
        while (job.next_occurrence() <= std::min(occurrence, last)) {
            track_next_occurrence(job);
        }
    }
    job.each_step([&](tracked_step& step) {
        for (auto it = entry.progress.lower_bound({.step = step.key});
             it != entry.progress.end() && it->first.step == step.key &&
             it->first.index < step.tasks.size();
             ++it) {
            restore_tasks(step, it->first.index, it->second, now);
        }
        if (const auto it = entry.advice.find(step.key);
            it != entry.advice.end()) {
            apply_advice(step, it->second);
        }
    });
}

// The number precedes the removals: if only a part of them is appended, a
// successor removes the rest.
void dispatcher::state::add_occurrences(tracked_job& job,
                                        std::vector<ledger_entry>& entries)
{
    entries.push_back({.key = encode_key({.kind = entry_kind::occurrences,
                                          .step = {.job = job.record.id}}),
                       .value = encode_occurrences(job.first_occurrence)});
    job.occurrences_recorded = true;
    for (const auto& it : job.obsolete_entries) {
        entries.push_back(progress_removal(it));
    }
    job.obsolete_entries.clear();
}

} // namespace rosemarytrail::fleet
