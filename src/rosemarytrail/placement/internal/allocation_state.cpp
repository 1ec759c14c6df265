#include <rosemarytrail/placement/internal/allocation_state.hpp>

#include <algorithm>

namespace rosemarytrail::placement::internal {

namespace {

constexpr double job_retry_burst = 50.0;
constexpr double job_retries_per_second = 2.0;

void remove_ready(job_state& job, std::uint32_t task)
{
    if (job.ready.back() == task) {
        job.ready.pop_back();
        return;
    }
    std::erase(job.ready, task);
}

} // namespace

index allocation_state::add_job(const job_id& id, const job_spec& spec,
                                bool before_takeover, time_point now)
{
    const index n = jobs.add(id);
    if (n == no_index) {
        return n;
    }
    auto& job = jobs[n];
    job.spec = spec;
    job.team = teams.intern(spec.team);
    job.before_takeover = before_takeover;
    job.added = now;
    job.wait_since = now;
    job.budget = {job_retry_burst, job_retries_per_second};
    job.tasks.resize(spec.tasks);
    for (auto it = spec.tasks; it > 0; --it) {
        job.ready.push_back(it - 1);
    }
    teams[job.team].queued += spec.request * spec.tasks;
    add_to_queue(n);
    return n;
}

void allocation_state::commit(task_key key, index vm, time_point now)
{
    auto& job = jobs[key.job];
    remove_ready(job, key.task);
    teams[job.team].queued -= job.spec.request;
    ++job.tasks[key.task].attempt;
    attach(key, vm, now);
    if (job.ready.empty()) {
        remove_from_queue(key.job);
    }
}

void allocation_state::adopt(task_key key, std::uint32_t attempt, index vm,
                             time_point now)
{
    auto& job = jobs[key.job];
    auto& state = job.tasks[key.task];
    if (state.phase == task_phase::ready) {
        remove_ready(job, key.task);
    } else {
        --job.retrying;
    }
    teams[job.team].queued -= job.spec.request;
    state.attempt = attempt;
    attach(key, vm, now);
    state.phase = task_phase::running;
    if (job.ready.empty()) {
        remove_from_queue(key.job);
    }
}

void allocation_state::stop(task_key key)
{
    auto& job = jobs[key.job];
    job.tasks[key.task].phase = task_phase::stopping;
    teams[job.team].stopping += job.spec.request;
}

void allocation_state::finish(task_key key)
{
    detach(key);
    auto& job = jobs[key.job];
    job.tasks[key.task].phase = task_phase::ended;
    ++job.ended;
}

void allocation_state::requeue(task_key key)
{
    detach(key);
    auto& job = jobs[key.job];
    job.tasks[key.task].phase = task_phase::ready;
    job.ready.push_back(key.task);
    teams[job.team].queued += job.spec.request;
    add_to_queue(key.job);
}

void allocation_state::defer(task_key key)
{
    detach(key);
    auto& job = jobs[key.job];
    job.tasks[key.task].phase = task_phase::retrying;
    ++job.retrying;
    teams[job.team].queued += job.spec.request;
}

void allocation_state::make_ready(task_key key)
{
    auto& job = jobs[key.job];
    --job.retrying;
    job.tasks[key.task].phase = task_phase::ready;
    job.ready.push_back(key.task);
    add_to_queue(key.job);
}

void allocation_state::skip(task_key key)
{
    auto& job = jobs[key.job];
    auto& state = job.tasks[key.task];
    if (state.phase == task_phase::ready) {
        remove_ready(job, key.task);
    } else {
        --job.retrying;
    }
    state.phase = task_phase::ended;
    ++job.ended;
    teams[job.team].queued -= job.spec.request;
    if (job.ready.empty()) {
        remove_from_queue(key.job);
    }
}

void allocation_state::drop_queued(index n)
{
    auto& job = jobs[n];
    remove_from_queue(n);
    teams[job.team].queued -= job.spec.request * job.queued();
    for (auto& it : job.tasks) {
        if (it.phase == task_phase::ready || it.phase == task_phase::retrying) {
            it.phase = task_phase::ended;
            ++job.ended;
        }
    }
    job.ready.clear();
    job.retrying = 0;
}

bool allocation_state::forget_if_done(index n)
{
    const auto& job = jobs[n];
    if (job.committed > 0 || job.unended() > 0) {
        return false;
    }
    remove_from_queue(n);
    jobs.remove(n);
    return true;
}

void allocation_state::set_wait(index n, result_code code, time_point now)
{
    auto& job = jobs[n];
    if (job.wait_code != code) {
        job.wait_code = code;
        job.wait_since = now;
    }
}

void allocation_state::attach(task_key key, index vm, time_point now)
{
    auto& job = jobs[key.job];
    auto& state = job.tasks[key.task];
    state.phase = task_phase::committed;
    state.vm = vm;
    state.since = now;
    state.backfilled = false;
    state.committed_index = static_cast<std::uint32_t>(committed_.size());
    committed_.push_back(key);
    ++job.committed;
    ++teams[job.team].committed;
    teams.use(job.team, job.spec.request);
    update_spread(job, vm, true);
    vms.commit(vm, key, job.spec.request, expected_end(job, now));
}

void allocation_state::detach(task_key key)
{
    auto& job = jobs[key.job];
    auto& state = job.tasks[key.task];
    const auto last = committed_.back();
    committed_[state.committed_index] = last;
    task(last).committed_index = state.committed_index;
    committed_.pop_back();
    --job.committed;
    --teams[job.team].committed;
    if (state.phase == task_phase::stopping) {
        teams[job.team].stopping -= job.spec.request;
    }
    teams.use(job.team, resources{} - job.spec.request);
    update_spread(job, state.vm, false);
    vms.release(state.vm, key, job.spec.request);
    state.vm = no_index;
    teams[job.team].urgent.is_dirty = true;
    teams[job.team].normal.is_dirty = true;
    capacity_changed();
}

void allocation_state::update_spread(job_state& job, index vm, bool add) const
{
    if (job.spec.policy != job_class::service) {
        return;
    }
    const auto& state = vms[vm];
    if (state.rack == no_index) {
        return;
    }
    job.by_rack.resize(std::max(job.by_rack.size(), vms.racks()));
    job.by_zone.resize(std::max(job.by_zone.size(), vms.zones()));
    const std::uint32_t one = add ? 1 : static_cast<std::uint32_t>(-1);
    job.by_rack[state.rack] += one;
    job.by_zone[state.zone] += one;
}

void allocation_state::add_to_queue(index n)
{
    auto& job = jobs[n];
    auto& queue = teams[job.team].queue(job.spec.urgent);
    queue.is_dirty = true;
    if (!job.is_queued && !job.ready.empty()) {
        queue.jobs.insert(job.key(n));
        job.is_queued = true;
    }
}

void allocation_state::remove_from_queue(index n)
{
    auto& job = jobs[n];
    if (job.is_queued) {
        teams[job.team].queue(job.spec.urgent).jobs.erase(job.key(n));
        job.is_queued = false;
    }
}

} // namespace rosemarytrail::placement::internal
