#include <test/lib/cell.hpp>

#include <algorithm>

namespace rosemarytrail::test {

namespace {

/** Target of the brief's "within seconds", as letter 1 states it. */
constexpr duration in_force_within = std::chrono::seconds{4};
/** Span between two checks of what changes slowly. */
constexpr duration slow_check_period = std::chrono::milliseconds{200};

} // namespace

void cell::note_start(const backends::worker_command& start,
                      const cell_worker& worker)
{
    const auto& task = start.task;
    most_attempts_ = std::max(most_attempts_, start.attempt);
    const auto grace = in_force_within + vm_list.faults().lag;
    if (worker.leaving_since && time.now() > *worker.leaving_since + grace) {
        broken_.insert("promise 8: started on leaving " +
                       worker.entry.vm.str());
    }
    auto& it = known_tasks_[task];
    it.request = start.request;
    if (const auto job = teams_of_jobs_.find(task.job);
        job != teams_of_jobs_.end()) {
        it.team = job->second;
    }
}

void cell::check()
{
    check_capacity();
    check_single_run();
    check_limits();
    if (time.now() >= next_slow_check_) {
        next_slow_check_ = time.now() + slow_check_period;
        check_config();
        check_keys();
    }
}

void cell::check_config()
{
    seen_.resize(daemons.size());
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        if (!running(n)) {
            continue;
        }
        record_number revision = 0;
        for (const auto& it : daemons[n].controller->config()) {
            if (it.name == watched_document) {
                revision = it.revision;
            }
        }
        auto& seen = seen_[n];
        const bool same = seen.generation == daemons[n].generation;
        const bool ready =
            !daemons[n].controller->not_ready(time.now()).has_value();
        if (same && revision < seen.revision) {
            broken_.insert("promise 10: reverted on daemon " +
                           std::to_string(n));
        }
        const bool late = newest_revision != 0 && ready &&
                          time.now() > newest_since + in_force_within;
        if (late && revision < newest_revision) {
            broken_.insert("promise 10: not in force on daemon " +
                           std::to_string(n));
        }
        seen = {.generation = daemons[n].generation, .revision = revision};
    }
}

void cell::check_keys()
{
    if (!key_withdrawn_since ||
        time.now() <= *key_withdrawn_since + in_force_within) {
        return;
    }
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        if (!running(n)) {
            continue;
        }
        const auto answer = request(n, "GET", "");
        const bool refused_at_once = answer->arrived;
        const int unauthorized = 401;
        const int unavailable = 503;
        if (!refused_at_once || (answer->answer.status != unauthorized &&
                                 answer->answer.status != unavailable)) {
            broken_.insert("promise 3: withdrawn key works on daemon " +
                           std::to_string(n));
        }
    }
}

void cell::check_capacity()
{
    for (const auto& it : workers) {
        if (it.model && !it.model->committed().fits_in(it.entry.capacity)) {
            broken_.insert("promise 1: over-committed " + it.entry.vm.str());
        }
    }
}

void cell::check_single_run()
{
    for (const auto& [task, it] : known_tasks_) {
        if (places_of(task) > 1) {
            broken_.insert("promise 2: runs twice: " + task.job.str() + "/" +
                           std::to_string(task.index));
        }
    }
}

void cell::check_limits()
{
    for (const auto& [team, limit] : limits) {
        const auto grace = limit_grace.find(team);
        if (grace != limit_grace.end() && time.now() < grace->second) {
            continue;
        }
        if (!running_of(team).fits_in(limit)) {
            broken_.insert("promise 4: over its limit: " + team.str());
        }
    }
}

} // namespace rosemarytrail::test
